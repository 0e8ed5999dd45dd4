#pragma once

#include "Core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Counters and histograms of a gateway node, in prometheus-cpp's registry.
/// docs/API.md lists them.
class gateway_metrics {
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(gateway_metrics const&) = delete;
    gateway_metrics& operator=(gateway_metrics const&) = delete;

    /// Counts a final answer under its reason.
    void count_request(std::string_view reason);
    /// Counts a further send under its reason.
    void count_resend(std::string_view reason);
    /// Counts an order by what the replica said.
    /// The store has come back from an older copy.
    void count_store_rollback();
    void count_command(std::string_view answer);
    /// Records the wait for an adapter's load.
    void observe_load_wait(duration time);
    /// Records the time from a request's arrival to its answer's beginning.
    void observe_first_byte(duration time);
    /// Sets a gauge.
    void set_gauge(std::string_view gauge, double value);
    /// @returns all of it in the text format of Prometheus
    std::string to_text() const;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace camphorpoint
