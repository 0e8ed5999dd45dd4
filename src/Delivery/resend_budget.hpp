#pragma once

#include "Core/time.hpp"
#include "Routing/routing_configuration.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace camphorpoint {

/// Limits on the sends, by all nodes together, beyond the first send of each
/// request.
struct resend_limits {
    /// Resends per request, in any window.
    double ratio = 0.2;
    /// Resends in a window that are allowed however few requests arrive.
    double slack = 50;
    std::chrono::seconds window{10};
};

/// This node's quota share of the resends to each service.
/// Prevents a retry storm when many replicas fail at once, in which each
/// request would reach the remaining replicas several times. Nodes need no
/// coordination: each respects the ratio for its own requests and uses an equal
/// part of the slack, so that the sum over all nodes is within the limit.
class resend_budget {
public:
    explicit resend_budget(resend_limits limits)
        : limits_(limits) {}

    /// Records a request for the service.
    void on_request(service_id const& service, instant now);
    /// @param service service to resend to
    /// @param nodes   number of nodes that share the slack, including this one
    /// @param now     the current time
    /// @returns true when a resend is available
    bool available(service_id const& service, unsigned nodes, instant now);
    /// Consumes one resend if one is available.
    /// @param service service to resend to
    /// @param nodes   number of nodes that share the slack, including this one
    /// @param now     the current time
    /// @returns true when the request may be sent again
    bool try_consume(service_id const& service, unsigned nodes, instant now);
    /// Replaces the limits after a change of the settings.
    void set_limits(resend_limits limits) { limits_ = limits; }

private:
    /// Counts of one step, a tenth of a window.
    struct step {
        std::int64_t number = 0;
        double requests = 0;
        double resends = 0;
    };
    struct history {
        std::deque<step> steps;
    };
    step& current(history& past, instant now) const;

    resend_limits limits_;
    std::unordered_map<service_id, history> services_;
};

} // namespace camphorpoint
