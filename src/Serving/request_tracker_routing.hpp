#pragma once

// The way of a request to its start: admission, key, grant.

#include "Serving/request_tracker.hpp"

#include <algorithm>
#include <variant>

namespace camphorpoint {

template <request_environment Environment>
reason request_tracker<Environment>::check(caller_request const& asked) const {
    if (asked.deadline && (asked.deadline->count() <= 0 ||
                           *asked.deadline > settings_.max_deadline)) {
        return reason::deadline_invalid;
    }
    if (live_.contains(asked.id)) {
        return reason::already_running;
    }
    if (live_.size() >= settings_.max_requests) {
        return reason::limit_reached;
    }
    return reason::none;
}

template <request_environment Environment>
void request_tracker<Environment>::refuse(
    caller_request const& asked, reason why,
    std::chrono::milliseconds retry_after) {
    count(count_reason::kind::refusal, why);
    finish_request last;
    last.id = asked.id;
    last.how = outcome::not_run;
    last.why = why;
    last.retry_after = retry_after;
    environment_.act(last);
}

template <request_environment Environment>
void request_tracker<Environment>::on_request(
    caller_request const& asked, instant now) {
    if (reason const wrong = check(asked); wrong != reason::none) {
        bool const later = wrong == reason::limit_reached;
        refuse(
            asked, wrong,
            later ? settings_.retry_after : std::chrono::milliseconds(0));
        return;
    }
    admission entry = environment_.admit(asked.profile, now);
    if (entry.why != reason::none) {
        refuse(asked, entry.why, entry.retry_after);
        return;
    }
    live_request& request = live_[asked.id];
    request.asked = asked;
    request.engine_id = asked.id;
    request.what = std::move(entry.what);
    request.configuration = entry.configuration;
    request.admitted = now;
    request.deadline =
        now + asked.deadline.value_or(request.what.default_deadline);
    if (asked.key) {
        enter(request, request_phase::key_asked, request.deadline);
        environment_.request_key(request, now);
        return;
    }
    seek(request, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_key_settled(
    key_decision const& settled, instant now) {
    live_request* const request = find_live(settled.request);
    if (request == nullptr || request->phase != request_phase::key_asked) {
        count(count_reason::kind::dropped, reason::late_answer);
        return;
    }
    if (settled.verdict == key_verdict::run) {
        seek(*request, now);
        return;
    }
    request->asked.key.reset();
    finish(
        *request, outcome_of(settled.verdict), settled.why, settled.retry_after,
        now, {}, settled.answer);
}

template <request_environment Environment>
void request_tracker<Environment>::seek(live_request& request, instant now) {
    request.phase = request_phase::routing;
    while (now < request.deadline) {
        if (auto const held = environment_.quarantined_for(request, now)) {
            give_up_held(request, *held, now);
            return;
        }
        if (request.asks == settings_.max_grant_requests) {
            give_up_seeking(request, reason::no_endpoint, {}, now);
            return;
        }
        ++request.asks;
        ++request.attempt;
        if (request.what.kind == endpoint_kind::service) {
            enter(request, request_phase::asking, request.deadline);
            environment_.submit_service(request, now);
            return;
        }
        route const next = environment_.choose(request, now);
        if (next.endpoint.empty()) {
            give_up_seeking(request, next.why, next.retry_after, now);
            return;
        }
        request.endpoint = next.endpoint;
        request.address = next.address;
        if (!next.needs_grant) {
            start(request, request.deadline);
            return;
        }
        if (ask(request, now)) {
            return;
        }
        request.refusal = reason::owner_unreachable;
        request.tried.push_back(request.endpoint);
    }
    give_up_seeking(request, reason::deadline_passed, {}, now);
}

template <request_environment Environment>
bool request_tracker<Environment>::ask(live_request& request, instant now) {
    request.asked_at = now;
    grant_request ask;
    ask.request = request.asked.id;
    ask.attempt = request.attempt;
    ask.replica = request.endpoint;
    ask.adapter = request.what.adapter;
    ask.how_urgent = request.what.how_urgent;
    ask.time_left = request.time_left(now);
    ask.expected_tokens = request.asked.expected_tokens;
    ask.prefix_hash = request.asked.prefix_hash;
    ask.configuration = request.configuration;
    if (!environment_.send_to_owner(request.endpoint, ask, now)) {
        return false;
    }
    enter(request, request_phase::asking, request.deadline);
    return true;
}

// Guards against one request that ends endpoint after endpoint; see
// request_quarantine.
template <request_environment Environment>
void request_tracker<Environment>::give_up_held(
    live_request& request, duration held, instant now) {
    finish(
        request, request.may_have_run ? outcome::unknown : outcome::not_run,
        reason::content_held,
        std::chrono::ceil<std::chrono::milliseconds>(held), now);
}

// The last replica's own reason says more than that nothing is left.
template <request_environment Environment>
void request_tracker<Environment>::give_up_seeking(
    live_request& request, reason why, std::chrono::milliseconds retry_after,
    instant now) {
    bool const refused =
        request.refusal != reason::none && why == reason::no_endpoint;
    auto back = std::max(retry_after, request.refusal_retry);
    if (back.count() == 0) {
        back = settings_.retry_after;
    }
    finish(
        request, request.may_have_run ? outcome::unknown : outcome::not_run,
        refused ? request.refusal : why, back, now);
}

template <request_environment Environment>
live_request* request_tracker<Environment>::waiting_for(
    request_id const& id, std::uint32_t attempt, endpoint_id const& replica) {
    live_request* const request = find_live(id);
    bool const waits =
        request != nullptr && request->phase == request_phase::asking &&
        request->attempt == attempt && request->endpoint == replica;
    return waits ? request : nullptr;
}

template <request_environment Environment>
void request_tracker<Environment>::on_grant(
    node_id const& /*from*/, grant_issued const& given, instant now) {
    live_request* const request =
        waiting_for(given.request, given.attempt, given.replica);
    if (request == nullptr) {
        // Guards against a grant that crossed its withdrawal: unless it is
        // given back, the owner counts the slot as taken until a heartbeat
        // says otherwise. One that came twice is in use and stays.
        live_request const* const held = find_live(given.request);
        bool const in_use = held != nullptr && held->grant &&
                            held->grant->attempt == given.attempt;
        if (!in_use) {
            count(count_reason::kind::dropped, reason::late_answer);
            environment_.send_to_owner(
                given.replica,
                grant_cancelled{given.request, given.attempt, given.replica},
                now);
        }
        return;
    }
    // The owner counts from its reply's sending. Seen from here that was at the
    // latest `queued` after the ask went out, so that a reply which was long
    // under way, or read late by a paused node, is known to have lapsed.
    instant const send_before = std::min(
        request->asked_at + given.queued + given.send_within,
        request->deadline);
    request->grant =
        held_grant{request->endpoint, request->attempt, given.grant};
    if (now >= send_before) {
        count(count_reason::kind::retry, reason::grant_expired);
        withdraw_ask(*request, now);
        seek(*request, now);
        return;
    }
    // It may have been held while this request waited for its grant.
    if (auto const held = environment_.quarantined_for(*request, now)) {
        withdraw_ask(*request, now);
        request->phase = request_phase::routing;
        give_up_held(*request, *held, now);
        return;
    }
    environment_.act(
        observe_time{observe_time::kind::queueing, now - request->admitted});
    start(*request, send_before);
}

template <request_environment Environment>
void request_tracker<Environment>::on_refusal(
    node_id const& /*from*/, grant_refused const& refused, instant now) {
    live_request* const request =
        waiting_for(refused.request, refused.attempt, refused.replica);
    if (request == nullptr) {
        count(count_reason::kind::dropped, reason::late_answer);
        return;
    }
    request->refusal = refused.why;
    request->refusal_retry =
        std::max(request->refusal_retry, refused.retry_after);
    request->phase = request_phase::routing;
    request->tried.push_back(refused.replica);
    count(count_reason::kind::retry, refused.why);
    seek(*request, now);
}

template <request_environment Environment>
bool request_tracker<Environment>::on_dispatch(
    service_dispatch const& dispatch, std::string const& address, instant now) {
    live_request* const request = find_live(dispatch.id);
    if (request == nullptr || request->phase != request_phase::asking) {
        return false;
    }
    if (auto const held = environment_.quarantined_for(*request, now)) {
        request->phase = request_phase::routing;
        give_up_held(*request, *held, now);
        return false;
    }
    request->endpoint = dispatch.endpoint;
    request->address = address;
    environment_.act(
        observe_time{observe_time::kind::queueing, dispatch.queued});
    start(*request, request->deadline);
    return true;
}

template <request_environment Environment>
void request_tracker<Environment>::on_service_refusal(
    service_refusal const& refusal, instant now) {
    live_request* const request = find_live(refusal.id);
    if (request == nullptr || request->phase != request_phase::asking) {
        return;
    }
    request->phase = request_phase::routing;
    give_up_seeking(*request, refusal.why, refusal.retry_after, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_owner_lost(
    endpoint_id const& replica, instant now) {
    std::vector<request_id> waiting;
    for (auto const& [id, request] : live_) {
        if (request.phase == request_phase::asking &&
            request.endpoint == replica) {
            waiting.push_back(id);
        }
    }
    for (request_id const& id : waiting) {
        live_request* const request = find_live(id);
        if (request == nullptr || request->phase != request_phase::asking) {
            continue;
        }
        withdraw_ask(*request, now);
        request->refusal = reason::owner_unreachable;
        request->tried.push_back(replica);
        count(count_reason::kind::retry, reason::owner_unreachable);
        seek(*request, now);
    }
}

template <request_environment Environment>
void request_tracker<Environment>::withdraw_ask(
    live_request& request, instant now) {
    grant_cancelled taken_back;
    taken_back.request = request.asked.id;
    taken_back.attempt = request.attempt;
    taken_back.replica = request.endpoint;
    request.grant.reset();
    if (request.what.kind == endpoint_kind::service) {
        environment_.cancel_service_request(request);
        return;
    }
    environment_.send_to_owner(request.endpoint, taken_back, now);
}

template <request_environment Environment>
void request_tracker<Environment>::give_back_grant(
    live_request& request, instant now) {
    if (request.grant) {
        withdraw_ask(request, now);
    }
}

template <request_environment Environment>
void request_tracker<Environment>::start(
    live_request& request, instant send_before) {
    start_attempt order;
    order.id = request.asked.id;
    order.attempt = request.attempt;
    order.endpoint = request.endpoint;
    order.address = request.address;
    order.kind = request.what.kind;
    order.adapter = request.what.adapter;
    order.how_urgent = request.what.how_urgent;
    order.from_token = request.resumed ? request.received : 0;
    order.engine_id = request.engine_id;
    order.send_before = send_before;
    order.deadline = request.deadline;
    order.return_answer = request.asked.key.has_value();
    enter(request, request_phase::sent, request.deadline);
    environment_.act(order);
}

} // namespace camphorpoint
