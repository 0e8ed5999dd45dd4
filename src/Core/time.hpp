#pragma once

#include <chrono>

namespace camphorpoint {

/// The clock of every lease, grant and deadline. It never goes back, and unlike
/// the standard steady clock it counts the time for which the machine was
/// suspended. Guards against a node that wakes from a suspension and takes a
/// lapsed lease for its own: two nodes would order loads on one replica. It
/// holds as long as the lease is compared right before the act.
/// Source: clock_gettime(2), CLOCK_BOOTTIME.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @returns the time since the machine started
    static time_point now() noexcept;
};

/// A reading of the boot clock. Decision services are given it with each event
/// and never read a clock themselves, so that tests and the bench run on
/// virtual time.
using instant = boot_clock::time_point;
/// A span of time on the boot clock.
using duration = boot_clock::duration;
/// A reading of the calendar clock, as it stands in logs and in keys.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// @returns the calendar clock's reading
wall_time wall_now() noexcept;

/// @returns how long it is until the time; zero when that has passed, an hour
///          at the most, so that the result fits into any timer
duration time_until(instant when) noexcept;

} // namespace camphorpoint
