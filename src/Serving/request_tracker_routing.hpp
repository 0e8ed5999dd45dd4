#pragma once

// Requests from their submission to the start of an attempt: admission, key,
// grant.

#include "Serving/request_tracker.hpp"

#include <algorithm>
#include <variant>

namespace camphorpoint {

template <request_environment Environment>
reason
request_tracker<Environment>::validate(caller_request const& submitted) const {
    if (submitted.deadline && (submitted.deadline->count() <= 0 ||
                               *submitted.deadline > settings_.max_deadline)) {
        return reason::deadline_invalid;
    }
    if (live_.contains(submitted.id)) {
        return reason::already_running;
    }
    if (live_.size() >= settings_.max_requests) {
        return reason::limit_reached;
    }
    return reason::none;
}

template <request_environment Environment>
void request_tracker<Environment>::refuse(
    caller_request const& submitted, reason why,
    std::chrono::milliseconds retry_after) {
    count(count_reason::kind::refusal, why);
    finish_request last;
    last.id = submitted.id;
    last.how = outcome::not_run;
    last.why = why;
    last.retry_after = retry_after;
    environment_.act(last);
}

template <request_environment Environment>
void request_tracker<Environment>::on_request(
    caller_request const& submitted, instant now) {
    if (reason const wrong = validate(submitted); wrong != reason::none) {
        bool const later = wrong == reason::limit_reached;
        refuse(
            submitted, wrong,
            later ? settings_.retry_after : std::chrono::milliseconds(0));
        return;
    }
    admission entry = environment_.admit(submitted.profile, now);
    if (entry.why != reason::none) {
        refuse(submitted, entry.why, entry.retry_after);
        return;
    }
    live_request& request = live_[submitted.id];
    request.submitted = submitted;
    request.engine_id = submitted.id;
    request.target_profile = std::move(entry.target_profile);
    request.configuration = entry.configuration;
    request.admitted = now;
    request.deadline = now + submitted.deadline.value_or(
                                 request.target_profile.default_deadline);
    if (submitted.key) {
        set_phase(request, request_phase::awaiting_key, request.deadline);
        environment_.request_key(request, now);
        return;
    }
    route_request(request, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_key_decision(
    key_decision const& decision, instant now) {
    live_request* const request = find_live(decision.request);
    if (request == nullptr || request->phase != request_phase::awaiting_key) {
        count(count_reason::kind::dropped, reason::late_answer);
        return;
    }
    if (decision.verdict == key_verdict::run) {
        route_request(*request, now);
        return;
    }
    request->submitted.key.reset();
    finish(
        *request, outcome_of(decision.verdict), decision.why,
        decision.retry_after, now, {}, decision.answer);
}

template <request_environment Environment>
void request_tracker<Environment>::route_request(
    live_request& request, instant now) {
    request.phase = request_phase::routing;
    while (now < request.deadline) {
        if (auto const remaining = environment_.quarantined_for(request, now)) {
            finish_quarantined(request, *remaining, now);
            return;
        }
        if (request.grant_requests == settings_.max_grant_requests) {
            finish_unroutable(request, reason::no_endpoint, {}, now);
            return;
        }
        ++request.grant_requests;
        ++request.attempt;
        if (request.target_profile.kind == endpoint_kind::service) {
            set_phase(request, request_phase::awaiting_grant, request.deadline);
            environment_.submit_service(request, now);
            return;
        }
        route const next = environment_.choose(request, now);
        if (next.endpoint.empty()) {
            finish_unroutable(request, next.why, next.retry_after, now);
            return;
        }
        request.endpoint = next.endpoint;
        request.address = next.address;
        if (!next.needs_grant) {
            start(request, request.deadline);
            return;
        }
        if (request_grant(request, now)) {
            return;
        }
        request.refusal = reason::owner_unreachable;
        request.tried.push_back(request.endpoint);
    }
    finish_unroutable(request, reason::deadline_passed, {}, now);
}

template <request_environment Environment>
bool request_tracker<Environment>::request_grant(
    live_request& request, instant now) {
    request.grant_requested_at = now;
    grant_request message;
    message.request = request.submitted.id;
    message.attempt = request.attempt;
    message.replica = request.endpoint;
    message.adapter = request.target_profile.adapter;
    message.how_urgent = request.target_profile.how_urgent;
    message.time_left = request.time_left(now);
    message.expected_tokens = request.submitted.expected_tokens;
    message.prefix_hash = request.submitted.prefix_hash;
    message.configuration = request.configuration;
    if (!environment_.send_to_owner(request.endpoint, message, now)) {
        return false;
    }
    set_phase(request, request_phase::awaiting_grant, request.deadline);
    return true;
}

// Guards against a request that crashes one endpoint after another; see
// request_quarantine.
template <request_environment Environment>
void request_tracker<Environment>::finish_quarantined(
    live_request& request, duration remaining, instant now) {
    finish(
        request, request.may_have_run ? outcome::unknown : outcome::not_run,
        reason::content_held,
        std::chrono::ceil<std::chrono::milliseconds>(remaining), now);
}

// The reason of the last replica's refusal is more specific than that no
// endpoint is left.
template <request_environment Environment>
void request_tracker<Environment>::finish_unroutable(
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
live_request* request_tracker<Environment>::find_awaiting_grant(
    request_id const& id, std::uint32_t attempt, endpoint_id const& replica) {
    live_request* const request = find_live(id);
    bool const waits =
        request != nullptr && request->phase == request_phase::awaiting_grant &&
        request->attempt == attempt && request->endpoint == replica;
    return waits ? request : nullptr;
}

template <request_environment Environment>
void request_tracker<Environment>::on_grant(
    node_id const& /*from*/, grant_issued const& issued, instant now) {
    live_request* const request =
        find_awaiting_grant(issued.request, issued.attempt, issued.replica);
    if (request == nullptr) {
        // Guards against a grant that crossed its cancellation: unless the
        // grant is returned, the owner counts its slot as used until a
        // heartbeat corrects it. A duplicate of a grant that is in use is kept.
        live_request const* const known = find_live(issued.request);
        bool const in_use = known != nullptr && known->grant &&
                            known->grant->attempt == issued.attempt;
        if (!in_use) {
            count(count_reason::kind::dropped, reason::late_answer);
            environment_.send_to_owner(
                issued.replica,
                grant_cancelled{issued.request, issued.attempt, issued.replica},
                now);
        }
        return;
    }
    // The owner's time limit starts when it sends the grant, which is at the
    // earliest `queued` after this node sent its grant request. Counting from
    // there, a grant that was delayed in transit, or read late by a paused
    // node, is recognized as expired.
    instant const send_before = std::min(
        request->grant_requested_at + issued.queued + issued.send_within,
        request->deadline);
    request->grant =
        active_grant{request->endpoint, request->attempt, issued.grant};
    if (now >= send_before) {
        count(count_reason::kind::retry, reason::grant_expired);
        cancel_grant_request(*request, now);
        route_request(*request, now);
        return;
    }
    // The engine may have asked for rest while the request waited for the
    // grant.
    if (!environment_.accepts_requests(request->endpoint, now)) {
        request->refusal = reason::no_endpoint;
        request->refusal_retry = std::max(
            request->refusal_retry,
            std::chrono::ceil<std::chrono::milliseconds>(
                environment_.rest_remaining(request->endpoint, now)));
        request->tried.push_back(request->endpoint);
        cancel_grant_request(*request, now);
        route_request(*request, now);
        return;
    }
    // The request may have been quarantined while it waited for the grant.
    if (auto const remaining = environment_.quarantined_for(*request, now)) {
        cancel_grant_request(*request, now);
        request->phase = request_phase::routing;
        finish_quarantined(*request, *remaining, now);
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
        find_awaiting_grant(refused.request, refused.attempt, refused.replica);
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
    route_request(*request, now);
}

template <request_environment Environment>
bool request_tracker<Environment>::on_dispatch(
    service_dispatch const& dispatch, std::string const& address, instant now) {
    live_request* const request = find_live(dispatch.id);
    if (request == nullptr || request->phase != request_phase::awaiting_grant) {
        return false;
    }
    if (auto const remaining = environment_.quarantined_for(*request, now)) {
        request->phase = request_phase::routing;
        finish_quarantined(*request, *remaining, now);
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
    if (request == nullptr || request->phase != request_phase::awaiting_grant) {
        return;
    }
    request->phase = request_phase::routing;
    finish_unroutable(*request, refusal.why, refusal.retry_after, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_owner_unreachable(
    endpoint_id const& replica, instant now) {
    std::vector<request_id> waiting;
    for (auto const& [id, request] : live_) {
        if (request.phase == request_phase::awaiting_grant &&
            request.endpoint == replica) {
            waiting.push_back(id);
        }
    }
    for (request_id const& id : waiting) {
        live_request* const request = find_live(id);
        if (request == nullptr ||
            request->phase != request_phase::awaiting_grant) {
            continue;
        }
        cancel_grant_request(*request, now);
        request->refusal = reason::owner_unreachable;
        request->tried.push_back(replica);
        count(count_reason::kind::retry, reason::owner_unreachable);
        route_request(*request, now);
    }
}

template <request_environment Environment>
void request_tracker<Environment>::cancel_grant_request(
    live_request& request, instant now) {
    grant_cancelled cancellation;
    cancellation.request = request.submitted.id;
    cancellation.attempt = request.attempt;
    cancellation.replica = request.endpoint;
    request.grant.reset();
    if (request.target_profile.kind == endpoint_kind::service) {
        environment_.cancel_service_request(request);
        return;
    }
    environment_.send_to_owner(request.endpoint, cancellation, now);
}

template <request_environment Environment>
void request_tracker<Environment>::return_grant(
    live_request& request, instant now) {
    if (request.grant) {
        cancel_grant_request(request, now);
    }
}

template <request_environment Environment>
void request_tracker<Environment>::start(
    live_request& request, instant send_before) {
    start_attempt attempt;
    attempt.id = request.submitted.id;
    attempt.attempt = request.attempt;
    attempt.endpoint = request.endpoint;
    attempt.address = request.address;
    attempt.kind = request.target_profile.kind;
    attempt.adapter = request.target_profile.adapter;
    attempt.how_urgent = request.target_profile.how_urgent;
    attempt.from_token = request.resumed ? request.received : 0;
    attempt.engine_id = request.engine_id;
    attempt.send_before = send_before;
    attempt.deadline = request.deadline;
    attempt.return_answer = request.submitted.key.has_value();
    set_phase(request, request_phase::sent, request.deadline);
    environment_.act(attempt);
}

} // namespace camphorpoint
