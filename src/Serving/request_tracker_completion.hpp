#pragma once

// The outcome of a request, and the cleanup after it.

#include "Serving/request_tracker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace camphorpoint {

template <request_environment Environment>
void request_tracker<Environment>::release(
    live_request& request, bool adapter_was_loaded, instant now) {
    if (!request.grant) {
        return;
    }
    grant_released message;
    message.request = request.submitted.id;
    message.attempt = request.grant->attempt;
    message.replica = request.grant->replica;
    message.grant = request.grant->grant;
    message.tokens = request.received;
    message.adapter_was_loaded = adapter_was_loaded;
    request.grant.reset();
    environment_.send_to_owner(message.replica, message, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_caller_disconnected(
    request_id const& id, instant now) {
    live_request* const request = find_live(id);
    if (request == nullptr || request->phase == request_phase::closing) {
        return;
    }
    // A caller with an unreliable connection may repeat the request with the
    // same key through any node. The attempt therefore continues, and its
    // answer is stored for the repeat.
    if (request->submitted.key && request->attempt_open()) {
        request->detached = true;
        return;
    }
    // Guards against an answer that is lost with the caller's connection: a
    // cancelled stream cannot be resumed, so the caller would get a truncated
    // answer. A caller can resume only after it has received a token, since it
    // needs an event id. If the caller does not return, the cost is the
    // engine's grace period.
    request->resumable_by_caller =
        request->target_profile.kind == endpoint_kind::engine &&
        request->tokens > 0;
    finish(
        *request,
        request->may_have_reached_endpoint() ? outcome::unknown
                                             : outcome::not_run,
        reason::caller_gone, {}, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_tick(instant now) {
    while (auto const due = timers_.pop_due(now)) {
        live_request* const request = find_live(*due);
        if (request != nullptr) {
            on_timer(*request, now);
        }
    }
}

template <request_environment Environment>
void request_tracker<Environment>::on_timer(
    live_request& request, instant now) {
    if (request.phase == request_phase::closing) {
        attempt_ended lost_end;
        lost_end.id = request.submitted.id;
        lost_end.attempt = request.attempt;
        lost_end.how = attempt_result::cancelled;
        environment_.record_attempt_end(request, lost_end, now);
        release(request, true, now);
        erase_request(request);
        return;
    }
    if (request.phase == request_phase::awaiting_resume &&
        now < request.deadline) {
        resume(request);
        return;
    }
    if (request.phase == request_phase::awaiting_quarantine &&
        now < request.deadline) {
        route_request(request, now);
        return;
    }
    bool const ran = request.may_have_reached_endpoint();
    bool const again = !ran || request.target_profile.idempotent;
    finish(
        request, ran ? outcome::unknown : outcome::not_run,
        reason::deadline_passed,
        again ? settings_.retry_after : std::chrono::milliseconds(0), now);
}

// Cancels the pending step of a request that gets its outcome.
template <request_environment Environment>
void request_tracker<Environment>::stop_attempt(
    live_request& request, instant now) {
    switch (request.phase) {
    case request_phase::awaiting_key:
        environment_.cancel_key_request(request.submitted.id, now);
        request.submitted.key.reset();
        erase_request(request);
        return;
    case request_phase::routing:
    case request_phase::awaiting_quarantine:
        erase_request(request);
        return;
    case request_phase::awaiting_grant:
        cancel_grant_request(request, now);
        erase_request(request);
        return;
    case request_phase::awaiting_resume:
        release(request, true, now);
        erase_request(request);
        return;
    default:
        environment_.act(cancel_attempt{
            request.submitted.id, request.attempt,
            request.resumable_by_caller});
        set_phase(
            request, request_phase::closing, now + settings_.close_timeout);
    }
}

template <request_environment Environment>
void request_tracker<Environment>::finish(
    live_request& request, outcome how, reason why,
    std::chrono::milliseconds retry_after, instant now,
    std::string const& answer, std::string const& kept) {
    if (how != outcome::done) {
        count(count_reason::kind::refusal, why);
    }
    if (how == outcome::unknown) {
        log_unknown_outcome(request, why, now);
    }
    finish_request last;
    last.id = request.submitted.id;
    last.how = how;
    last.why = why;
    last.retry_after = retry_after;
    last.kept_answer = kept;
    environment_.act(last);
    bool const key_granted =
        request.submitted.key && request.phase != request_phase::awaiting_key;
    if (key_granted) {
        environment_.on_keyed_request_ended(
            request.submitted.id, how, why, answer, now);
    }
    stop_attempt(request, now);
}

template <request_environment Environment>
void request_tracker<Environment>::log_unknown_outcome(
    live_request const& request, reason why, instant now) {
    auto const age =
        std::chrono::floor<std::chrono::milliseconds>(now - request.admitted);
    environment_.act(log_event{
        event_code::outcome_unknown,
        why == reason::caller_gone ? log_level::info : log_level::warning,
        fmt::format(
            "request={} profile={} reason={} endpoint={} attempt={} "
            "resumes={} idempotent={} received={} delivered={} "
            "caller_left={} age_ms={} configuration={}",
            request.submitted.id.str(), request.submitted.profile.str(),
            to_string(why), request.endpoint.str(), request.attempt,
            request.resumes, request.target_profile.idempotent,
            request.received, request.tokens,
            request.detached || why == reason::caller_gone, age.count(),
            request.configuration.value)});
}

template <request_environment Environment>
void request_tracker<Environment>::erase_request(live_request& request) {
    timers_.remove(request.submitted.id, request.timer_at);
    request_id const id = request.submitted.id;
    live_.erase(id);
}

template <request_environment Environment>
void request_tracker<Environment>::set_phase(
    live_request& request, request_phase phase, instant timer_at) {
    request.phase = phase;
    timers_.set(request.submitted.id, request.timer_at, timer_at);
    request.timer_at = timer_at;
}

template <request_environment Environment>
void request_tracker<Environment>::count(count_reason::kind what, reason why) {
    environment_.act(count_reason{what, why});
}

template <request_environment Environment>
live_request* request_tracker<Environment>::find_live(request_id const& id) {
    auto const found = live_.find(id);
    return found == live_.end() ? nullptr : &found->second;
}

template <request_environment Environment>
live_request const*
request_tracker<Environment>::find(request_id const& id) const {
    auto const found = live_.find(id);
    return found == live_.end() ? nullptr : &found->second;
}

template <request_environment Environment>
std::size_t request_tracker<Environment>::waiting() const {
    auto const waits = [](auto const& each) {
        return each.second.phase == request_phase::awaiting_key ||
               each.second.phase == request_phase::awaiting_grant;
    };
    return static_cast<std::size_t>(std::ranges::count_if(live_, waits));
}

template <request_environment Environment>
std::set<endpoint_id> request_tracker<Environment>::awaited_replicas() const {
    std::set<endpoint_id> replicas;
    for (auto const& [id, request] : live_) {
        if (request.phase == request_phase::awaiting_grant &&
            request.target_profile.kind == endpoint_kind::engine) {
            replicas.insert(request.endpoint);
        }
    }
    return replicas;
}

template <request_environment Environment>
std::vector<grant_in_use> request_tracker<Environment>::grants_in_use() const {
    std::vector<grant_in_use> all;
    for (auto const& [id, request] : live_) {
        bool const waits = request.phase == request_phase::awaiting_grant;
        if (request.target_profile.kind == endpoint_kind::service) {
            continue;
        }
        if (!waits && !request.grant && !request.resumed) {
            continue;
        }
        grant_in_use one;
        one.request = id;
        one.attempt = request.grant ? request.grant->attempt : request.attempt;
        one.replica = request.endpoint;
        one.adapter = request.target_profile.adapter;
        one.sent = !waits;
        all.push_back(std::move(one));
    }
    return all;
}

} // namespace camphorpoint
