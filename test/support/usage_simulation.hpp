#pragma once

#include "test/support/leased_counters.hpp"

#include <Camphorpoint/Teams>

#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

namespace camphorpoint::testing {

/// How nodes keep a usage cap that is common to all of them.
enum class usage_policy : std::uint8_t {
    /// One node per team grants the units of each request (in use).
    counted,
    /// One node per team lends each node the units of its next second.
    lent,
    /// Each node has an equal share of the cap.
    equal_shares,
    /// Nodes grant at once and report; one node tells them when the cap is
    /// reached.
    counted_afterwards
};

/// One team's requests at many nodes, in virtual time.
struct usage_scenario {
    usage_policy policy = usage_policy::counted;
    unsigned nodes = 87;
    usage_cap cap{usage_unit::tokens, 4'200, 4'200, 200};
    /// Demand as a multiple of the cap.
    double demand = 4;
    /// The demand from a time on.
    double later_demand = 4;
    std::chrono::seconds demand_change{1'000};
    /// Units of a request, drawn evenly.
    unsigned min_units = 800;
    unsigned max_units = 2'400;
    double lost_datagrams = 0;
    /// Interval at which another node begins to count the team.
    std::chrono::seconds counter_change{1'000};
    /// The counting node answers nobody during this part of the run.
    std::chrono::seconds counter_silent_from{1'000};
    std::chrono::seconds counter_silent_for{0};
    /// Part of the nodes that is cut off from the counting node, and when.
    double cut_nodes = 0;
    std::chrono::seconds cut_from{1'000};
    std::chrono::seconds cut_for{0};
    /// Nodes that lose the store. The counting node is then decided by leases,
    /// and `counter_change` has no effect.
    store_loss loss;
    /// The cap changes to this multiple of its rate; 0 lifts it.
    double changed_cap = 1;
    std::chrono::seconds cap_change{1'000};
    std::chrono::seconds length{60};
};

/// Result of one run.
struct usage_result {
    /// Most units granted in a window, as a part of the allowance.
    double worst_window = 0;
    /// Granted units as a part of the cap over the run.
    double used = 0;
    /// Granted units as a part of those asked for.
    double served = 0;
    /// The same of a single meter that sees each request at once.
    double ideally_served = 0;
    /// Messages per second and node.
    double messages = 0;
    /// Waiting times of requests for their answer.
    std::chrono::microseconds wait_p50{0};
    std::chrono::microseconds wait_p99{0};
};

/// The platform judges usage in windows of this length, and allows this part
/// above the cap and these units in each.
inline constexpr std::chrono::seconds usage_window{8};
inline constexpr double usage_overshoot = 0.1;
inline constexpr double usage_slack = 17'000;

/// Plays one scenario.
/// @param seed of the random numbers
usage_result simulate_usage(usage_scenario const& scenario, std::uint64_t seed);

} // namespace camphorpoint::testing
