#pragma once

#include "Core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Counters, gauges and histograms of a gateway node, in a prometheus-cpp
/// registry. docs/API.md lists them.
class gateway_metrics {
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(gateway_metrics const&) = delete;
    gateway_metrics& operator=(gateway_metrics const&) = delete;

    /// Counts a completed request by the reason of its result.
    void count_request(std::string_view reason);
    /// Counts a stream that its caller resumes, by whether the software version
    /// that began it is known.
    void count_resumption(std::string_view origin);
    /// Counts a resend by the reason for it.
    void count_resend(std::string_view reason);
    /// Counts a restore of the store from an older snapshot.
    void count_store_rollback();
    /// Counts a command to a replica by the replica's answer.
    void count_command(std::string_view answer);
    /// Counts the end of a connection by its reason.
    void count_connection_end(std::string_view why);
    /// Records how long a request waited for its adapter to be loaded.
    void observe_load_wait(duration time);
    /// Records the time from a request's arrival to the first byte of its
    /// answer.
    void observe_first_byte(duration time);
    /// Counts an answer whose figures of the replica's load can't be read.
    void count_unreadable_load();
    /// Counts answers that say nothing about the request for which they came:
    /// "stray", of another request or of none, or "unstated", a status that
    /// would promise what the replica has not stated.
    void count_untrusted_answers(std::string_view kind, unsigned number);
    /// Sets the gauge with this name.
    void set_gauge(std::string_view gauge, double value);
    /// @returns all metrics in the Prometheus text format
    std::string to_text() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace camphorpoint
