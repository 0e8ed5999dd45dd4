#include "Fleet/replica_cost.hpp"

#include "Fleet/replica_selector.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

namespace {

using seconds_real = std::chrono::duration<double>;

/// Time that a request waits at a replica with one full batch before it.
constexpr seconds_real full_batch_time{1};
/// Cost of a suspected replica: it is chosen only when no other replica is
/// available.
constexpr seconds_real suspicion_cost{1'000};
/// Cost of a replica that limits the rate of its requests: it is chosen before
/// a suspected one only.
constexpr seconds_real rate_limit_cost{500};
/// Smaller differences in the failure fraction are taken for chance.
constexpr double min_noticed_excess = 0.02;

/// Bound of the probability by which a repeated request is expected to fail
/// again: the next attempt goes to another replica.
constexpr double max_repeated_failure = 0.9;
/// Patience of a caller that has stated none.
constexpr seconds_real usual_patience{5};

/// @returns the time that the caller loses when the attempt fails
seconds_real loss_by_failure(request_work const& work, double probability) {
    bool const stated = work.patience > duration::zero();
    seconds_real const patience = stated ? work.patience : usual_patience;
    seconds_real const attempt = work.objective;
    double const again = std::min(probability, max_repeated_failure);
    return work.repeatable ? std::min(patience, attempt / (1 - again))
                           : patience;
}

seconds_real failure_time(
    replica const& at, request_work const& work, double mean, instant now) {
    if (at.probe_permitted(now)) {
        return seconds_real(0);
    }
    double const probability = at.failure_probability(now);
    double const above_mean = probability - mean;
    return above_mean < min_noticed_excess
               ? seconds_real(0)
               : above_mean * loss_by_failure(work, probability);
}

seconds_real queueing_time(replica const& at, instant now) {
    return replica_selector::utilization(at, now) * full_batch_time;
}

/// @returns what the request's slot costs beyond the same at the median
///          replica, since the request holds it for longer there
seconds_real extra_slot_time(replica const& at, instant now) {
    double const part = 1.0 / std::max(1U, at.record.slots);
    return (at.slowness(now) - 1) * part * full_batch_time;
}

/// @returns by how much the request's prompt pauses the streams that run there,
///          all together, beyond the pauses that their route accepts
seconds_real
pause_time(replica const& at, request_work const& work, instant now) {
    if (work.accepted_gap <= duration::zero()) {
        return seconds_real(0);
    }
    duration const own = at.prompt_time(work.prompt_tokens, now);
    duration const pause = at.backlog_time(now) + own;
    duration const beyond =
        std::clamp(pause - work.accepted_gap, duration::zero(), own);
    return seconds_real(beyond) * at.running();
}

} // namespace

duration expected_answer_time(
    replica const& at, request_work const& work, double mean_failures,
    instant now) {
    seconds_real result = failure_time(at, work, mean_failures, now);
    bool const suspected = at.health.suspected(now) && !at.probe_permitted(now);
    result += suspected ? suspicion_cost : seconds_real(0);
    result += at.yields_to_others(now) ? rate_limit_cost : seconds_real(0);
    result += queueing_time(at, now);
    result += extra_slot_time(at, now);
    result += at.prompt_time(work.prompt_tokens, now);
    result += pause_time(at, work, now);
    return std::chrono::duration_cast<duration>(result);
}

} // namespace camphorpoint
