#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// What a weight store bears, and how its owner deals it out.
struct store_limits {
    /// Loads that may start in a second.
    double loads_per_second = 5;
    /// Loads that the store serves at once at full speed.
    std::uint32_t concurrency = 2;
    /// How long a permission may lie unused at the replica's owner.
    std::chrono::milliseconds valid_for{500};
    /// A want that is not repeated within this time is forgotten.
    std::chrono::milliseconds request_lifetime{2'000};
    /// A permission of which nothing more is heard counts as running this long.
    std::chrono::milliseconds longest_load{20'000};
    /// A wait of this length doubles a want's weight.
    std::chrono::milliseconds aging{1'000};
    /// How far ahead expected demand counts as if it waited already.
    std::chrono::milliseconds demand_horizon{500};
    /// Share of the rate that loads ahead of demand may take.
    double prefetch_fraction = 0.5;
    /// First and longest pause after loads of several adapters failed in a row.
    std::chrono::milliseconds first_pause{500};
    std::chrono::milliseconds longest_pause{10'000};
    /// Failures in a row, of different adapters, that mean the store is down.
    std::uint32_t failures_when_down = 3;
};

/// What one node may load by itself while the store's owner is out of reach:
/// an equal share of the rate, one load at a time.
/// All nodes together then never start more loads a second than the store
/// allows; they may have more at once, at most one each.
/// @param nodes how many nodes share the store; 0 counts as 1
/// @param whole the store's limits
/// @returns limits for a store_budget of the node's own
store_limits fallback_limits(std::size_t nodes, store_limits const& total);

} // namespace camphorpoint
