#pragma once

#include <chrono>

namespace camphorpoint {

/// A reading of the monotonic clock. Decision services are given it with each
/// event and never read a clock themselves, so that tests and the bench run on
/// virtual time.
using instant = std::chrono::time_point<
    std::chrono::steady_clock, std::chrono::nanoseconds>;
/// A span of monotonic time.
using duration = std::chrono::nanoseconds;
/// A reading of the calendar clock, as it stands in logs and in keys.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace camphorpoint
