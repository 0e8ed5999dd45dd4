#pragma once

#include "trace.hpp"

namespace camphorpoint::bench {

/// What no policy can do better; docs/MEASUREMENTS.md argues for each.
struct bounds {
    /// Lower bound of the mean load stall of a scheduler that knows the trace
    /// and refuses nothing.
    duration mean_stall{};
    /// Mean load stall of one that knows the true popularity but not the
    /// arrivals: it holds the most wanted adapters, and each request for
    /// another one waits for one load at full speed. A reference, not a bound.
    duration popularity_stall{};
    /// Upper bound of the batch efficiency.
    double batch_efficiency = 1;
};

/// @param workload the preset of the trace
/// @param input    what came
/// @returns bounds over the measured time
bounds find_bounds(preset const& workload, trace const& input);

} // namespace camphorpoint::bench
