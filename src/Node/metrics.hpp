#pragma once

#include "Serving/node_action.hpp"
#include "Serving/node_status.hpp"

#include <cstddef>
#include <memory>
#include <string>

namespace camphorpoint {

/// What the ports know of themselves.
struct port_figures {
    std::size_t caller_connections = 0;
    std::size_t idle_connections = 0;
    std::size_t running_attempts = 0;
    std::size_t queued_peer_bytes = 0;
};

/// The node's counters, histograms and gauges, in the registry of
/// prometheus-cpp. docs/API.md lists them.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// Counts a refusal or a retry under its reason.
    void count(count_reason const& what);
    /// Records a time.
    void observe(observe_time const& what);
    /// @returns all of it in the text format of Prometheus
    std::string text(node_status const& status, port_figures const& figures);

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace camphorpoint
