#pragma once

#include "Scheduling/grant_manager.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint::internal {

// Member functions of grant_manager that handle grant requests and send grants
// and refusals.

/// Fraction of the estimated time that a request is certain to need. A request
/// is refused only if its deadline leaves less than this fraction, so that an
/// estimate that is somewhat too long does not refuse requests that could still
/// complete in time.
inline constexpr double certain_fraction = 0.7;

/// @returns the part of an estimated time that a request is certain to need
inline duration minimum_time(duration expected) {
    double const part =
        certain_fraction * static_cast<double>(expected.count());
    return duration(static_cast<duration::rep>(part));
}

template <batch_policy Batch>
duration grant_manager<Batch>::expected_wait(
    replica_state const& state, urgency how_urgent, instant deadline) const {
    std::uint32_t const limit = std::max(1U, state.settings.batch_limit);
    std::size_t const count_ahead =
        state.queue.count_ahead(how_urgent, deadline);
    std::size_t const occupied = state.grants.occupied();
    if (occupied + count_ahead < limit) {
        return duration{};
    }
    // Requests complete at a rate of one batch per service time.
    std::size_t const completions_needed = occupied + count_ahead - limit + 1;
    return state.times.service() *
           static_cast<std::int64_t>(completions_needed) /
           static_cast<std::int64_t>(limit);
}

template <batch_policy Batch>
bool grant_manager<Batch>::should_redirect(
    replica_state const& state, grant_request const& request, duration queued,
    instant now) const {
    // Entry nodes know queue lengths only from replies, which are few and old
    // when there are many nodes; only the owner knows the current length of its
    // queue. A refusal costs one round trip, whereas waiting here may cost
    // seconds. After the maximum number of redirects a request is always
    // accepted, so that requests are not redirected forever when all replicas
    // are busy.
    if (request.attempt > state.settings.redirect_attempts) {
        return false;
    }
    // Loading the adapter at another replica costs a load and an adapter slot.
    // This pays off for an adapter in steady demand, and it leaves the capacity
    // of this replica to adapters that are resident nowhere else.
    double const limit = state.settings.batch_limit;
    double const service =
        std::chrono::duration<double>(state.times.service()).count();
    double const batch_fraction =
        state.history.rate(request.adapter, now) * service / limit;
    double const occupied =
        state.grants.occupied() + static_cast<double>(state.queue.size());
    bool const nearly_full =
        occupied >= state.settings.nearly_full_fraction * limit;
    bool const worth_replicating =
        batch_fraction >= state.settings.replication_batch_fraction;
    return (worth_replicating && nearly_full) ||
           queued > state.settings.redirect_wait;
}

template <batch_policy Batch>
reason grant_manager<Batch>::refusal(
    replica_state const& state, grant_request const& request, bool ready,
    instant now) const {
    if (state.granting_stopped) {
        return reason::draining;
    }
    if (!state.may_grant(now)) {
        return reason::owner_unreachable;
    }
    if (state.history.load_abandoned(request.adapter, now) && !ready) {
        return reason::load_failed;
    }
    if (state.queue.size(request.how_urgent) >= state.settings.queue_limit) {
        return reason::queue_full;
    }
    instant const deadline = now + request.time_left;
    duration const queued = expected_wait(state, request.how_urgent, deadline);
    if (should_redirect(state, request, queued, now)) {
        return reason::queue_full;
    }
    duration const wait = ready ? queued : std::max(queued, state.times.load());
    duration const needed = wait + state.times.service(request.expected_tokens);
    bool const too_late = now + minimum_time(needed) > deadline;
    return too_late ? reason::deadline_unreachable : reason::none;
}

template <batch_policy Batch>
typename grant_manager<Batch>::request_result
grant_manager<Batch>::on_grant_request(
    replica_state& state, node_id const& from, grant_request const& request,
    bool ready, replica_feedback const& feedback, instant now) {
    last_received_.insert_or_assign(from, now);
    if (answer_repeated_request(state, from, request, now)) {
        return request_result::answered;
    }
    state.history.record_request(request.adapter, now);
    last_request_[static_cast<std::size_t>(request.how_urgent)] = now;
    reason const why = refusal(state, request, ready, now);
    if (why != reason::none) {
        // A redirected request may try another replica without delay.
        bool const redirectable =
            request.attempt <= state.settings.redirect_attempts;
        bool const full = (why == reason::queue_full && !redirectable) ||
                          why == reason::deadline_unreachable;
        duration const retry_after =
            full ? expected_wait(
                       state, request.how_urgent, now + request.time_left)
                 : duration{};
        refuse(state, from, request, why, retry_after, feedback);
        return request_result::answered;
    }
    instant const deadline = now + request.time_left;
    duration const service = state.times.service(request.expected_tokens);
    state.queue.add(
        {.from = from,
         .message = request,
         .arrived = now,
         .deadline = deadline,
         .latest_start = deadline - minimum_time(service)},
        ready, now);
    return request_result::queued;
}

template <batch_policy Batch>
bool grant_manager<Batch>::answer_repeated_request(
    replica_state& state, node_id const& from, grant_request const& request,
    instant now) {
    if (waiting_request const* known = state.queue.find(request.request)) {
        if (request.attempt <= known->message.attempt) {
            return true;
        }
        state.queue.remove(request.request);
        return false;
    }
    running_grant const* const grant =
        std::as_const(state.grants).find(request.request);
    if (!grant) {
        return false;
    }
    if (request.attempt > grant->attempt) {
        // The entry node has abandoned the earlier attempt.
        state.grants.end(request.request, now);
        return false;
    }
    // The grant was lost, or it crossed the repeated request in transit. A
    // second grant would allow the request to run twice. Sending the same grant
    // again, with the time that remains for its use, does not.
    if (request.attempt == grant->attempt && grant->node == from) {
        send_grant(state, *grant, duration{}, now);
    }
    return true;
}

template <batch_policy Batch>
void grant_manager<Batch>::refuse(
    replica_state& state, node_id const& to, grant_request const& request,
    reason why, duration retry_after, replica_feedback const& feedback) {
    grant_refused message;
    message.request = request.request;
    message.attempt = request.attempt;
    message.replica = state.settings.replica;
    message.why = why;
    message.retry_after =
        std::chrono::ceil<std::chrono::milliseconds>(retry_after);
    message.feedback = feedback;
    state.actions.emplace_back(reply_refusal{to, message});
}

template <batch_policy Batch>
batch_state grant_manager<Batch>::view(replica_state const& state) const {
    batch_state result;
    result.batch_limit = state.settings.batch_limit;
    result.running = state.grants.occupied();
    for (std::size_t index = 0; index < urgency_count; ++index) {
        class_state& each = result.classes[index];
        each.ready = state.queue.ready(static_cast<urgency>(index));
        each.passed_over = passed_over_[index];
        each.last_request = last_request_[index];
    }
    return result;
}

template <batch_policy Batch>
void grant_manager<Batch>::issue_grants(
    replica_state& state, duration store_pause, instant now) {
    if (!state.may_grant(now)) {
        return;
    }
    refuse_late_requests(state, now);
    batch_state current = view(state);
    while (auto const which = batch_.next_class(current, now)) {
        grant_first_ready(state, *which, store_pause, now);
        current = view(state);
    }
}

template <batch_policy Batch>
void grant_manager<Batch>::grant_first_ready(
    replica_state& state, urgency which, duration store_pause, instant now) {
    request_id const id = state.queue.first_ready(which)->message.request;
    waiting_request const each = *state.queue.remove(id);
    auto const index = static_cast<std::size_t>(which);
    passed_over_[index] = 0;
    for (std::size_t lower = index + 1; lower < urgency_count; ++lower) {
        bool const waits = state.queue.ready(static_cast<urgency>(lower)) > 0;
        passed_over_[lower] = waits ? passed_over_[lower] + 1 : 0;
    }
    running_grant const grant{
        .node = each.from,
        .request = id,
        .attempt = each.message.attempt,
        .grant = next_grant_++,
        .adapter = each.message.adapter,
        .granted = now,
        .requested = each.arrived,
        .expected_tokens = each.message.expected_tokens};
    state.grants.add(grant);
    send_grant(state, grant, store_pause, now);
    duration const waited = now - each.arrived;
    state.actions.emplace_back(observed_wait{
        id, each.message.adapter, which, waited - each.stalled, each.stalled});
}

template <batch_policy Batch>
replica_feedback grant_manager<Batch>::feedback_after_grant(
    replica_state const& state, urgency how_urgent, duration store_pause,
    instant now) const {
    using std::chrono::milliseconds;
    duration const wait = expected_wait(state, how_urgent, instant::max());
    replica_feedback result;
    result.queued = static_cast<std::uint32_t>(state.queue.size());
    result.running = state.grants.occupied();
    result.expected_wait = std::chrono::ceil<milliseconds>(wait);
    result.adapter_resident = true;
    result.expected_load =
        std::chrono::ceil<milliseconds>(state.times.stall(now) + store_pause);
    return result;
}

template <batch_policy Batch>
void grant_manager<Batch>::send_grant(
    replica_state& state, running_grant const& grant, duration store_pause,
    instant now) {
    auto const left = std::chrono::floor<std::chrono::milliseconds>(
        grant.granted + state.settings.send_within - now);
    if (left.count() <= 0) {
        return;
    }
    grant_issued message;
    message.request = grant.request;
    message.attempt = grant.attempt;
    message.replica = state.settings.replica;
    message.grant = grant.grant;
    message.fencing = state.fencing;
    message.queued =
        std::chrono::floor<std::chrono::milliseconds>(now - grant.requested);
    message.send_within = left;
    message.feedback =
        feedback_after_grant(state, urgency::normal, store_pause, now);
    state.actions.emplace_back(reply_grant{grant.node, message});
}

template <batch_policy Batch>
void grant_manager<Batch>::refuse_late_requests(
    replica_state& state, instant now) {
    while (waiting_request const* late = state.queue.first_late(now)) {
        waiting_request const each = *state.queue.remove(late->message.request);
        reason const why = now >= each.deadline ? reason::deadline_passed
                                                : reason::deadline_unreachable;
        duration const retry_after =
            expected_wait(state, each.message.how_urgent, instant::max());
        replica_feedback feedback = feedback_after_grant(
            state, each.message.how_urgent, duration{}, now);
        feedback.adapter_resident = each.ready;
        refuse(state, each.from, each.message, why, retry_after, feedback);
    }
}

template <batch_policy Batch>
void grant_manager<Batch>::refuse_all(
    replica_state& state, reason why, instant now) {
    for (request_id const& id : state.queue.all_ids()) {
        waiting_request const each = *state.queue.remove(id);
        replica_feedback feedback = feedback_after_grant(
            state, each.message.how_urgent, duration{}, now);
        feedback.adapter_resident = each.ready;
        refuse(state, each.from, each.message, why, duration{}, feedback);
    }
}

} // namespace camphorpoint::internal
