#pragma once

// The final answer of a request, and what it leaves to be tidied up.

#include "Serving/request_tracker.hpp"

#include <algorithm>

namespace camphorpoint {

template <request_environment Environment>
void request_tracker<Environment>::release(
    live_request& request, bool adapter_was_loaded, instant now) {
    if (!request.grant) {
        return;
    }
    grant_released ended;
    ended.request = request.asked.id;
    ended.attempt = request.grant->attempt;
    ended.replica = request.grant->replica;
    ended.grant = request.grant->grant;
    ended.tokens = request.received;
    ended.adapter_was_loaded = adapter_was_loaded;
    request.grant.reset();
    environment_.send_to_owner(ended.replica, ended, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_caller_disconnected(
    request_id const& id, instant now) {
    live_request* const request = find_live(id);
    if (request == nullptr || request->phase == request_phase::closing) {
        return;
    }
    // A caller on a poor network comes back with the same key, through any
    // node: what runs goes on, and its answer is kept for the repeat.
    if (request->asked.key && request->attempt_open()) {
        request->detached = true;
        return;
    }
    // Guards against a break of the caller's connection that ends its answer:
    // a run that is cancelled has no rest to resume, and the caller sees a cut
    // answer. Only who has got a token has an event id to resume by; a caller
    // that is gone for good costs the engine its grace and no more.
    request->resumable_by_caller =
        request->what.kind == endpoint_kind::engine && request->tokens > 0;
    finish(
        *request, request->may_run() ? outcome::unknown : outcome::not_run,
        reason::caller_gone, {}, now);
}

template <request_environment Environment>
void request_tracker<Environment>::on_tick(instant now) {
    while (auto const due = timers_.take_due(now)) {
        live_request* const request = find_live(*due);
        if (request != nullptr) {
            wake(*request, now);
        }
    }
}

template <request_environment Environment>
void request_tracker<Environment>::wake(live_request& request, instant now) {
    if (request.phase == request_phase::closing) {
        attempt_ended silent;
        silent.id = request.asked.id;
        silent.attempt = request.attempt;
        silent.how = attempt_result::cancelled;
        environment_.record_attempt_end(request, silent, now);
        release(request, true, now);
        forget(request);
        return;
    }
    if (request.phase == request_phase::resume_wait && now < request.deadline) {
        resume(request);
        return;
    }
    if (request.phase == request_phase::repeat_wait && now < request.deadline) {
        seek(request, now);
        return;
    }
    bool const ran = request.may_run();
    bool const again = !ran || request.what.idempotent;
    finish(
        request, ran ? outcome::unknown : outcome::not_run,
        reason::deadline_passed,
        again ? settings_.retry_after : std::chrono::milliseconds(0), now);
}

// Takes back whatever is under way for a request that gets its final answer.
template <request_environment Environment>
void request_tracker<Environment>::stop_attempt(
    live_request& request, instant now) {
    switch (request.phase) {
    case request_phase::key_asked:
        environment_.cancel_key_request(request.asked.id, now);
        request.asked.key.reset();
        forget(request);
        return;
    case request_phase::routing:
    case request_phase::repeat_wait:
        forget(request);
        return;
    case request_phase::asking:
        withdraw_ask(request, now);
        forget(request);
        return;
    case request_phase::resume_wait:
        release(request, true, now);
        forget(request);
        return;
    default:
        environment_.act(cancel_attempt{
            request.asked.id, request.attempt, request.resumable_by_caller});
        enter(request, request_phase::closing, now + settings_.close_timeout);
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
    finish_request last;
    last.id = request.asked.id;
    last.how = how;
    last.why = why;
    last.retry_after = retry_after;
    last.kept_answer = kept;
    environment_.act(last);
    bool const leave_taken =
        request.asked.key && request.phase != request_phase::key_asked;
    if (leave_taken) {
        environment_.on_keyed_request_ended(
            request.asked.id, how, why, answer, now);
    }
    stop_attempt(request, now);
}

template <request_environment Environment>
void request_tracker<Environment>::forget(live_request& request) {
    timers_.remove(request.asked.id, request.wake_at);
    request_id const id = request.asked.id;
    live_.erase(id);
}

template <request_environment Environment>
void request_tracker<Environment>::enter(
    live_request& request, request_phase phase, instant wake_at) {
    request.phase = phase;
    timers_.set(request.asked.id, request.wake_at, wake_at);
    request.wake_at = wake_at;
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
        return each.second.phase == request_phase::key_asked ||
               each.second.phase == request_phase::asking;
    };
    return static_cast<std::size_t>(std::ranges::count_if(live_, waits));
}

template <request_environment Environment>
std::set<endpoint_id> request_tracker<Environment>::waited_for() const {
    std::set<endpoint_id> replicas;
    for (auto const& [id, request] : live_) {
        if (request.phase == request_phase::asking &&
            request.what.kind == endpoint_kind::engine) {
            replicas.insert(request.endpoint);
        }
    }
    return replicas;
}

template <request_environment Environment>
std::vector<grant_in_use> request_tracker<Environment>::grants_in_use() const {
    std::vector<grant_in_use> all;
    for (auto const& [id, request] : live_) {
        bool const waits = request.phase == request_phase::asking;
        if (request.what.kind == endpoint_kind::service) {
            continue;
        }
        if (!waits && !request.grant && !request.resumed) {
            continue;
        }
        grant_in_use one;
        one.request = id;
        one.attempt = request.grant ? request.grant->attempt : request.attempt;
        one.replica = request.endpoint;
        one.adapter = request.what.adapter;
        one.sent = !waits;
        all.push_back(std::move(one));
    }
    return all;
}

} // namespace camphorpoint
