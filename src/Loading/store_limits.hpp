#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// Capacity of a weight store and the rules for sharing it among replicas.
struct store_limits {
    /// Maximum number of loads that start per second.
    double loads_per_second = 5;
    /// Number of concurrent loads that the store serves at full speed.
    std::uint32_t concurrency = 2;
    /// Time for which a permission may stay unused at the replica's owner.
    std::chrono::milliseconds valid_for{500};
    /// A load request that is not repeated within this time is dropped.
    std::chrono::milliseconds request_lifetime{2'000};
    /// A permission without a reported result counts as in use for this long.
    std::chrono::milliseconds longest_load{20'000};
    /// A wait of this length doubles the weight of a load request.
    std::chrono::milliseconds aging{1'000};
    /// Expected demand within this time counts like requests that already wait.
    std::chrono::milliseconds demand_horizon{500};
    /// Fraction of the rate that prefetches may use.
    double prefetch_fraction = 0.5;
    /// Initial and maximum pause of all loads after loads of several adapters
    /// failed consecutively.
    std::chrono::milliseconds first_pause{500};
    std::chrono::milliseconds longest_pause{10'000};
    /// Number of consecutive failures, of different adapters, after which the
    /// store counts as down.
    std::uint32_t failures_when_down = 3;
};

/// Limits for the loads of one node while the owner of the store is
/// unreachable: an equal part of the rate, and one load at a time. Together the
/// nodes never start more loads per second than the store permits; but each
/// node may run one load, so that more loads than `concurrency` may run at the
/// same time.
/// @param nodes number of nodes that share the store; 0 counts as 1
/// @param total limits of the store
/// @returns limits for the node's own store_budget
store_limits fallback_limits(std::size_t nodes, store_limits const& total);

} // namespace camphorpoint
