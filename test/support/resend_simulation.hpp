#pragma once

#include "Core/time.hpp"
#include "Delivery/resend_budget.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace camphorpoint::testing {

/// A span of the simulation, counted from its start.
struct time_span {
    std::chrono::milliseconds begin{0};
    std::chrono::milliseconds end{0};
};

/// Nodes whose processes do not run for a while; a later process of the node
/// has no memory of the earlier one.
struct node_outage {
    std::size_t first_node = 0;
    std::size_t node_count = 0;
    time_span when;
};

/// Nodes that cannot reach the store: their leases expire while they run.
struct store_cut {
    std::size_t first_node = 0;
    std::size_t node_count = 0;
    time_span when;
};

/// Requests of callers to one service through many nodes.
struct resend_scenario {
    std::size_t nodes = 9;
    double requests_per_second = 140;
    /// When replicas reject requests, and the fraction that they reject.
    time_span rejecting;
    double rejected_fraction = 0.8;
    std::vector<node_outage> outages;
    std::vector<store_cut> store_cuts;
    std::chrono::seconds length{60};
    std::uint64_t seed = 1;
};

/// Result of a simulation, in steps of 10 ms.
struct resend_trace {
    std::vector<double> requests;
    std::vector<double> resends;

    /// @returns resends less the allowed ones, in the window for which that is
    ///          the most; negative when every window is within the limits
    double worst_excess(resend_limits const& limits) const;
    /// @returns resends in the span, divided by what the limits allow there
    double used_fraction(resend_limits const& limits, time_span span) const;
};

/// Plays a scenario without a network: requests arrive at random nodes that
/// run, and each rejected one is sent again while the node's budget allows it,
/// three times at most.
resend_trace
simulate_resends(resend_scenario const& scenario, resend_limits limits);

/// @returns outages of all nodes, one after the other
std::vector<node_outage> rolling_restart(
    std::size_t nodes, std::chrono::milliseconds begin,
    std::chrono::milliseconds interval, std::chrono::milliseconds down);

} // namespace camphorpoint::testing
