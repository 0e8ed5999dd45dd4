#include "Fleet/replica_outcomes.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace camphorpoint {

namespace {

/// The estimate averages over about this many attempts: with fewer a replica
/// that fails three in ten would be avoided by chance, with more a replica that
/// fails all of them gets dozens of requests before it shows.
constexpr double averaged_attempts = 12;
/// Answered attempts that are assumed of a replica of which nothing is known:
/// the first failure after a start says little.
constexpr double assumed_answers = 4;
/// A replica that gets one request in two seconds and fails them all is still
/// told from a healthy one; what is older does not describe it any more.
constexpr duration outcome_half_life = std::chrono::seconds(10);
/// Above it an attempt is more likely lost than answered.
constexpr double avoided_probability = 0.5;
/// Two attempts a second are too few for callers to notice, and enough for a
/// replica that has recovered to be found within half a second.
constexpr duration failing_probe_interval = std::chrono::milliseconds(500);
/// After an answered probe one more follows at once, so that a replica that has
/// recovered is found by two probes and not by the interval between them.
constexpr duration recovering_probe_interval = std::chrono::milliseconds(50);
/// With a single one, a replica that fails most requests would get its full
/// load again after each answer.
constexpr unsigned probes_to_recover = 2;
/// An avoided replica that no node has asked for in this time is forgotten: it
/// has left, or its service has no requests.
constexpr duration avoidance_lifetime = std::chrono::seconds(60);
/// Smaller counts are treated as zero.
constexpr double negligible_count = 0.05;

} // namespace

double replica_outcomes::remaining(instant now) const {
    std::chrono::duration<double> const passed = now - updated_at_;
    std::chrono::duration<double> const half = outcome_half_life;
    return std::exp2(-passed.count() / half.count());
}

double replica_outcomes::failed_attempts(instant now) const {
    return failed_ * remaining(now);
}

double replica_outcomes::answered_attempts(instant now) const {
    return answered_ * remaining(now);
}

double replica_outcomes::failure_probability(instant now) const {
    double const failed = failed_attempts(now);
    return failed / (failed + answered_attempts(now) + assumed_answers);
}

void replica_outcomes::count(bool failed, instant now) {
    constexpr double kept = 1 - 1 / averaged_attempts;
    double const older = remaining(now) * kept;
    failed_ = failed_ * older + (failed ? 1 : 0);
    answered_ = answered_ * older + (failed ? 0 : 1);
    updated_at_ = now;
}

void replica_outcomes::begin_avoidance(instant now) {
    avoided_ = true;
    avoided_since_ = now;
    next_probe_at_ = now + failing_probe_interval;
    probes_ = 0;
    answered_probes_ = 0;
    probe_follows_ = false;
}

avoidance_change replica_outcomes::add_probe(bool failed, instant now) {
    probe_follows_ = false;
    if (failed) {
        answered_probes_ = 0;
        return avoidance_change::none;
    }
    next_probe_at_ = std::min(next_probe_at_, now);
    if (++answered_probes_ < probes_to_recover) {
        probe_follows_ = true;
        return avoidance_change::none;
    }
    // The failures describe the replica as it was.
    failed_ = 0;
    answered_probes_ = 0;
    readmitted_at_ = now;
    bool const was_avoided = std::exchange(avoided_, false);
    return was_avoided ? avoidance_change::ended : avoidance_change::none;
}

avoidance_change
replica_outcomes::add(attempt_report const& report, instant now) {
    bool const failed = report.signal != health_signal::answered;
    count(failed, now);
    // Streams that began before the failure may still be answered, so only
    // probes show that the replica has recovered.
    avoidance_change const change =
        report.probe ? add_probe(failed, now) : avoidance_change::none;
    if (avoided_ || failure_probability(now) < avoided_probability) {
        return change;
    }
    begin_avoidance(now);
    return avoidance_change::began;
}

// Guards against a replica that is never chosen again after a few failures,
// since its peers have none and are idle: it is tried, too, when no attempt has
// ended there for as long as between two probes.
bool replica_outcomes::take_probe(bool suitable, instant now) {
    bool const cleared = failed_attempts(now) < negligible_count;
    duration const interval =
        probe_follows_ ? recovering_probe_interval : failing_probe_interval;
    instant const idle_from = avoided_ ? instant() : updated_at_ + interval;
    instant const due = std::max(next_probe_at_, idle_from) +
                        (suitable ? duration::zero() : interval);
    if ((!avoided_ && cleared) || now < due) {
        return false;
    }
    // It counts when it ends, which may take as long as a stream: until then
    // further ones are no more frequent than at a failing replica.
    next_probe_at_ = now + failing_probe_interval;
    probe_follows_ = false;
    ++probes_;
    return true;
}

bool replica_outcomes::forgettable(instant now) const {
    if (avoided_) {
        return now >= updated_at_ + avoidance_lifetime;
    }
    return failed_attempts(now) < negligible_count;
}

} // namespace camphorpoint
