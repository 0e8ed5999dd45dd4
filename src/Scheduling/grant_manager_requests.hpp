#pragma once

#include "Scheduling/grant_manager.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint::internal {

// Asks and grants of grant_manager.

/// Part of the expected time that a request surely needs: below it the
/// deadline is taken for out of reach, so that an estimate that is somewhat
/// too long refuses nothing that could still be done.
inline constexpr double sure_part = 0.7;

/// @returns the part of an expected time that is surely needed
inline duration surely(duration expected) {
    double const part = sure_part * static_cast<double>(expected.count());
    return duration(static_cast<duration::rep>(part));
}

template <batch_policy Batch>
duration grant_manager<Batch>::expected_wait(
    replica_state const& state, urgency how_urgent, instant deadline) const {
    std::uint32_t const limit = std::max(1U, state.settings.batch_limit);
    std::size_t const ahead = state.queue.ahead(how_urgent, deadline);
    std::size_t const taken = state.grants.taken();
    if (taken + ahead < limit) {
        return duration{};
    }
    // Places get free at the batch's size per time of a request.
    std::size_t const places = taken + ahead - limit + 1;
    return state.times.service() * static_cast<std::int64_t>(places) /
           static_cast<std::int64_t>(limit);
}

template <batch_policy Batch>
bool grant_manager<Batch>::sent_elsewhere(
    replica_state const& state, grant_request const& ask, duration queued,
    instant now) const {
    // Entry nodes know queues only from replies, which at many nodes are few
    // and old; only the owner knows its queue now. Refusing costs one round
    // trip, waiting here may cost seconds. The last ask is always taken, so
    // that a request isn't passed round for ever when all are busy.
    if (ask.attempt > state.settings.redirect_attempts) {
        return false;
    }
    // A copy elsewhere takes a load and a slot: adapters in steady demand pay
    // that back and leave this replica to those that have no other.
    double const limit = state.settings.batch_limit;
    double const service =
        std::chrono::duration<double>(state.times.service()).count();
    double const share = state.history.rate(ask.adapter, now) * service / limit;
    double const taken =
        state.grants.taken() + static_cast<double>(state.queue.size());
    bool const crowded = taken >= state.settings.nearly_full_fraction * limit;
    bool const worth_copy = share >= state.settings.replication_batch_fraction;
    return (worth_copy && crowded) || queued > state.settings.redirect_wait;
}

template <batch_policy Batch>
reason grant_manager<Batch>::refusal(
    replica_state const& state, grant_request const& ask, bool ready,
    instant now) const {
    if (state.stopped) {
        return reason::draining;
    }
    if (!state.may_grant(now)) {
        return reason::owner_unreachable;
    }
    if (state.history.load_abandoned(ask.adapter, now) && !ready) {
        return reason::load_failed;
    }
    if (state.queue.size(ask.how_urgent) >= state.settings.queue_limit) {
        return reason::queue_full;
    }
    instant const deadline = now + ask.time_left;
    duration const queued = expected_wait(state, ask.how_urgent, deadline);
    if (sent_elsewhere(state, ask, queued, now)) {
        return reason::queue_full;
    }
    duration const wait = ready ? queued : std::max(queued, state.times.load());
    duration const needed = wait + state.times.service(ask.expected_tokens);
    bool const too_late = now + surely(needed) > deadline;
    return too_late ? reason::deadline_unreachable : reason::none;
}

template <batch_policy Batch>
typename grant_manager<Batch>::ask_result
grant_manager<Batch>::on_grant_request(
    replica_state& state, node_id const& from, grant_request const& ask,
    bool ready, replica_feedback const& feedback, instant now) {
    heard_.insert_or_assign(from, now);
    if (answer_repeat(state, from, ask, now)) {
        return ask_result::answered;
    }
    state.history.record_request(ask.adapter, now);
    last_ask_[static_cast<std::size_t>(ask.how_urgent)] = now;
    reason const why = refusal(state, ask, ready, now);
    if (why != reason::none) {
        // One that is sent elsewhere needs no pause.
        bool const early = ask.attempt <= state.settings.redirect_attempts;
        bool const full = (why == reason::queue_full && !early) ||
                          why == reason::deadline_unreachable;
        duration const back =
            full ? expected_wait(state, ask.how_urgent, now + ask.time_left)
                 : duration{};
        refuse(state, from, ask, why, back, feedback);
        return ask_result::answered;
    }
    instant const deadline = now + ask.time_left;
    duration const service = state.times.service(ask.expected_tokens);
    state.queue.add(
        {.from = from,
         .ask = ask,
         .arrived = now,
         .deadline = deadline,
         .latest_start = deadline - surely(service)},
        ready, now);
    return ask_result::queued;
}

template <batch_policy Batch>
bool grant_manager<Batch>::answer_repeat(
    replica_state& state, node_id const& from, grant_request const& ask,
    instant now) {
    if (waiting_request const* known = state.queue.find(ask.request)) {
        if (ask.attempt <= known->ask.attempt) {
            return true;
        }
        state.queue.remove(ask.request);
        return false;
    }
    running_grant const* const grant =
        std::as_const(state.grants).find(ask.request);
    if (!grant) {
        return false;
    }
    if (ask.attempt > grant->attempt) {
        // The entry node has given the earlier attempt up.
        state.grants.end(ask.request, now);
        return false;
    }
    // The grant was lost on its way, or crossed the repeated ask. A second
    // grant would let the request run twice; the same one, with the time that
    // is left of it, does not.
    if (ask.attempt == grant->attempt && grant->node == from) {
        send_grant(state, *grant, duration{}, now);
    }
    return true;
}

template <batch_policy Batch>
void grant_manager<Batch>::refuse(
    replica_state& state, node_id const& to, grant_request const& ask,
    reason why, duration retry_after, replica_feedback const& feedback) {
    grant_refused message;
    message.request = ask.request;
    message.attempt = ask.attempt;
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
    result.running = state.grants.taken();
    for (std::size_t index = 0; index < urgency_count; ++index) {
        class_state& each = result.classes[index];
        each.ready = state.queue.ready(static_cast<urgency>(index));
        each.passed_over = passed_over_[index];
        each.last_request = last_ask_[index];
    }
    return result;
}

template <batch_policy Batch>
void grant_manager<Batch>::give(
    replica_state& state, duration pause, instant now) {
    if (!state.may_grant(now)) {
        return;
    }
    shed_late(state, now);
    batch_state current = view(state);
    while (auto const which = batch_.next_class(current, now)) {
        grant_first(state, *which, pause, now);
        current = view(state);
    }
}

template <batch_policy Batch>
void grant_manager<Batch>::grant_first(
    replica_state& state, urgency which, duration pause, instant now) {
    request_id const id = state.queue.first_ready(which)->ask.request;
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
        .attempt = each.ask.attempt,
        .grant = next_grant_++,
        .adapter = each.ask.adapter,
        .granted = now,
        .asked = each.arrived,
        .expected_tokens = each.ask.expected_tokens};
    state.grants.add(grant);
    send_grant(state, grant, pause, now);
    duration const waited = now - each.arrived;
    state.actions.emplace_back(observed_wait{
        id, each.ask.adapter, which, waited - each.stalled, each.stalled});
}

template <batch_policy Batch>
replica_feedback grant_manager<Batch>::after_grant(
    replica_state const& state, urgency how_urgent, duration pause,
    instant now) const {
    using std::chrono::milliseconds;
    duration const wait = expected_wait(state, how_urgent, instant::max());
    replica_feedback result;
    result.queued = static_cast<std::uint32_t>(state.queue.size());
    result.running = state.grants.taken();
    result.expected_wait = std::chrono::ceil<milliseconds>(wait);
    result.adapter_resident = true;
    result.expected_load =
        std::chrono::ceil<milliseconds>(state.times.stall(now) + pause);
    return result;
}

template <batch_policy Batch>
void grant_manager<Batch>::send_grant(
    replica_state& state, running_grant const& grant, duration pause,
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
        std::chrono::floor<std::chrono::milliseconds>(now - grant.asked);
    message.send_within = left;
    message.feedback = after_grant(state, urgency::normal, pause, now);
    state.actions.emplace_back(reply_grant{grant.node, message});
}

template <batch_policy Batch>
void grant_manager<Batch>::shed_late(replica_state& state, instant now) {
    while (waiting_request const* late = state.queue.first_late(now)) {
        waiting_request const each = *state.queue.remove(late->ask.request);
        reason const why = now >= each.deadline ? reason::deadline_passed
                                                : reason::deadline_unreachable;
        duration const back =
            expected_wait(state, each.ask.how_urgent, instant::max());
        replica_feedback feedback =
            after_grant(state, each.ask.how_urgent, duration{}, now);
        feedback.adapter_resident = each.ready;
        refuse(state, each.from, each.ask, why, back, feedback);
    }
}

template <batch_policy Batch>
void grant_manager<Batch>::refuse_all(
    replica_state& state, reason why, instant now) {
    for (request_id const& id : state.queue.all_ids()) {
        waiting_request const each = *state.queue.remove(id);
        replica_feedback feedback =
            after_grant(state, each.ask.how_urgent, duration{}, now);
        feedback.adapter_resident = each.ready;
        refuse(state, each.from, each.ask, why, duration{}, feedback);
    }
}

} // namespace camphorpoint::internal
