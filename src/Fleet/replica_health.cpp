#include "Fleet/replica_health.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

namespace {

/// A share over about the last sixteen attempts: less jumps with each failure,
/// more lets a failing replica take dozens of requests before it shows.
constexpr double newest_weight = 1.0 / 16;
/// Failures count for half after this: long enough that a replica which fails
/// four in ten is tried only now and then, short enough that one which is well
/// again takes its part within seconds.
constexpr duration failures_fade = std::chrono::seconds(4);
/// The first silence rests a replica for as long as two polls of the list take,
/// in which a crashed one leaves it.
constexpr duration first_rest = std::chrono::milliseconds(1'500);
/// Of replicas that lose three answers in a hundred one in a thousand loses two
/// in a row; one that has ended breaks off all.
constexpr unsigned broken_in_row = 2;
/// Longer than any restart takes nobody waits before asking again.
constexpr duration longest_rest = std::chrono::seconds(6);

} // namespace

double replica_health::failure_fraction(instant now) const {
    std::chrono::duration<double> const passed = now - noted_;
    std::chrono::duration<double> const half = failures_fade;
    return failures_ * std::exp2(-passed.count() / half.count());
}

bool replica_health::add_outcome(health_signal what, instant now) {
    double const failed = what == health_signal::answered ? 0.0 : 1.0;
    failures_ = failure_fraction(now);
    failures_ += (failed - failures_) * newest_weight;
    noted_ = now;
    if (what == health_signal::answered || what == health_signal::failed) {
        silences_ = 0;
        broken_ = 0;
        until_ = {};
        return false;
    }
    // Guards against replicas that all rest because each has lost a few answers
    // in a hundred: too few are left for the load, and callers are refused
    // though half of the places are free.
    if (what == health_signal::truncated && ++broken_ < broken_in_row) {
        return false;
    }
    if (suspected(now)) {
        // Attempts that were under way together tell of one failure.
        return false;
    }
    duration const rest = first_rest * (1U << std::min(silences_, 4U));
    ++silences_;
    until_ = now + std::min(rest, longest_rest);
    return true;
}

void replica_health::adopt_suspicion(instant until) {
    until_ = std::max(until_, until);
}

} // namespace camphorpoint
