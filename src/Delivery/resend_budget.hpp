#pragma once

#include "Core/time.hpp"
#include "Routing/routing_configuration.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace camphorpoint {

/// What all nodes together may send beyond the first send of each request.
struct resend_limits {
    /// Second sends for each request, in any window.
    double ratio = 0.2;
    /// Second sends in a window that are allowed however few requests come.
    double slack = 50;
    std::chrono::seconds window{10};
};

/// This node's share of the second sends to each service. Guards against the
/// storm that shows when many replicas fail at once: each request would come to
/// the rest several times. It holds without a word between nodes, since each
/// keeps to the ratio of its own requests and to an equal part of the slack;
/// the sum over nodes is then within the bound.
class resend_budget {
public:
    explicit resend_budget(resend_limits limits)
        : limits_(limits) {}

    /// A request for the service has come.
    void on_request(service_id const& service, instant now);
    /// @param nodes how many nodes share the slack, this one included
    /// @returns true when a second send is left
    bool available(service_id const& service, unsigned nodes, instant now);
    /// Takes a second send when one is left.
    /// @param nodes how many nodes share the slack, this one included
    /// @returns true when it may be sent
    bool try_consume(service_id const& service, unsigned nodes, instant now);
    /// New limits, from the settings.
    void set_limits(resend_limits limits) { limits_ = limits; }

private:
    /// Counts in steps of a tenth of a window.
    struct step {
        std::int64_t number = 0;
        double requests = 0;
        double resends = 0;
    };
    struct history {
        std::deque<step> steps;
    };
    step& current(history& of, instant now) const;

    resend_limits limits_;
    std::unordered_map<service_id, history> services_;
};

} // namespace camphorpoint
