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
constexpr duration failure_half_life = std::chrono::seconds(4);
/// The first silence rests a replica for as long as two polls of the list take,
/// in which a crashed one leaves it.
constexpr duration first_suspicion_period = std::chrono::milliseconds(1'500);
/// Of replicas that lose three answers in a hundred one in a thousand loses two
/// in a row; one that has ended breaks off all.
constexpr unsigned truncations_to_suspect = 2;
/// Longer than any restart takes nobody waits before asking again.
constexpr duration max_suspicion_period = std::chrono::seconds(6);

} // namespace

double replica_health::failure_fraction(instant now) const {
    std::chrono::duration<double> const passed = now - updated_at_;
    std::chrono::duration<double> const half = failure_half_life;
    return failures_ * std::exp2(-passed.count() / half.count());
}

bool replica_health::add_outcome(health_signal signal, instant now) {
    double const failed = signal == health_signal::answered ? 0.0 : 1.0;
    failures_ = failure_fraction(now);
    failures_ += (failed - failures_) * newest_weight;
    updated_at_ = now;
    if (signal == health_signal::answered || signal == health_signal::failed) {
        suspicions_ = 0;
        truncated_in_row_ = 0;
        suspected_until_ = {};
        return false;
    }
    // Guards against replicas that all rest because each has lost a few answers
    // in a hundred: too few are left for the load, and callers are refused
    // though half of the places are free.
    if (signal == health_signal::truncated &&
        ++truncated_in_row_ < truncations_to_suspect) {
        return false;
    }
    if (suspected(now)) {
        // Attempts that were under way together tell of one failure.
        return false;
    }
    duration const period =
        first_suspicion_period * (1U << std::min(suspicions_, 4U));
    ++suspicions_;
    suspected_until_ = now + std::min(period, max_suspicion_period);
    return true;
}

void replica_health::adopt_suspicion(instant until) {
    suspected_until_ = std::max(suspected_until_, until);
}

} // namespace camphorpoint
