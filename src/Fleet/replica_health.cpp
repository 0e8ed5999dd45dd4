#include "Fleet/replica_health.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

namespace {

/// Averages over about the last sixteen attempts. With fewer the fraction jumps
/// with each failure; with more a failing replica gets dozens of requests
/// before it shows.
constexpr double newest_weight = 1.0 / 16;
/// Long enough that a replica which fails four in ten requests is tried only
/// now and then, short enough that a replica which has recovered gets its
/// normal load within seconds.
constexpr duration failure_half_life = std::chrono::seconds(4);
/// The time of two registry polls, within which a crashed replica is removed
/// from the registry.
constexpr duration first_suspicion_period = std::chrono::milliseconds(1'500);
/// Of the replicas that truncate three answers in a hundred, one in a thousand
/// truncates two in a row; a crashed replica truncates all of them.
constexpr unsigned truncations_to_suspect = 2;
/// As long as the slowest restart takes; after this time the replica is tried
/// again.
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
    if (signal != health_signal::truncated &&
        signal != health_signal::no_response) {
        suspicions_ = 0;
        truncated_in_row_ = 0;
        suspected_until_ = {};
        return false;
    }
    // Guards against all replicas being suspected because each has truncated a
    // few answers in a hundred: too few replicas would be left for the load,
    // and callers would be refused although half of the slots are free.
    if (signal == health_signal::truncated &&
        ++truncated_in_row_ < truncations_to_suspect) {
        return false;
    }
    if (suspected(now)) {
        // Attempts that were running at the same time report the same failure.
        return false;
    }
    duration const period =
        first_suspicion_period * (1U << std::min(suspicions_, 4U));
    ++suspicions_;
    suspected_until_ = now + std::min(period, max_suspicion_period);
    return true;
}

void replica_health::clear_suspicion() {
    suspicions_ = 0;
    truncated_in_row_ = 0;
    suspected_until_ = {};
}

void replica_health::adopt_suspicion(instant until) {
    suspected_until_ = std::max(suspected_until_, until);
}

} // namespace camphorpoint
