#pragma once

#include "Core/time.hpp"

namespace camphorpoint {

/// Moves a measured time's average an eighth of the way to each new value, as
/// TCP does with round-trip times.
/// Reference: V. Jacobson, "Congestion avoidance and control", SIGCOMM 1988.
/// @param average the average so far
/// @param value   the new measurement
/// @returns the new average
constexpr duration move_average(duration average, duration value) {
    constexpr int steps = 8;
    return average + (value - average) / steps;
}

} // namespace camphorpoint
