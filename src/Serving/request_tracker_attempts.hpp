#pragma once

// Requests from the start of an attempt to its end.

#include "Serving/request_tracker.hpp"

#include <algorithm>

namespace camphorpoint {

namespace internal {

/// @returns the reason code for the result of an attempt
constexpr reason reason_of(attempt_result how) noexcept {
    switch (how) {
    case attempt_result::not_sent:
        return reason::endpoint_unreachable;
    case attempt_result::refused_not_loaded:
        return reason::not_loaded;
    case attempt_result::refused_busy:
        return reason::limit_reached;
    case attempt_result::mismatch:
        return reason::answer_mismatch;
    case attempt_result::truncated:
        return reason::answer_cut;
    case attempt_result::timed_out:
        return reason::deadline_passed;
    case attempt_result::cancelled:
        return reason::caller_gone;
    default:
        return reason::endpoint_failed;
    }
}

/// @returns true when the endpoint cannot have executed any of the request
constexpr bool never_ran(attempt_result how) noexcept {
    return how == attempt_result::not_sent ||
           how == attempt_result::refused_not_loaded ||
           how == attempt_result::refused_busy;
}

/// @returns true when the status means that the request itself is invalid, so
/// that any other endpoint would refuse it, too
constexpr bool is_caller_error(int status) noexcept {
    constexpr int request_timeout = 408;
    constexpr int too_many_requests = 429;
    return status >= 400 && status < 500 && status != request_timeout &&
           status != too_many_requests;
}

} // namespace internal

template <request_environment Environment>
void request_tracker<Environment>::on_resume(
    caller_resume const& submitted, instant now) {
    caller_request plain;
    plain.id = submitted.id;
    plain.deadline = submitted.deadline;
    std::string const address = environment_.address_of(submitted.endpoint);
    reason why = validate(plain);
    if (why == reason::none && submitted.from_token == 0) {
        why = reason::bad_request;
    }
    if (why == reason::none && address.empty()) {
        why = reason::no_endpoint;
    }
    if (why != reason::none) {
        // The stream to resume has been executed, so the outcome "not run"
        // would be wrong.
        count(count_reason::kind::refusal, why);
        environment_.act(
            finish_request{submitted.id, outcome::unknown, why, {}, {}});
        return;
    }
    live_request& request = live_[submitted.id];
    request.submitted = plain;
    request.target_profile.adapter = submitted.adapter;
    request.target_profile.idempotent = false;
    request.admitted = now;
    request.deadline = now + submitted.deadline.value_or(
                                 request.target_profile.default_deadline);
    request.may_have_run = true;
    request.tokens = submitted.from_token;
    request.received = submitted.from_token;
    request.resumed = true;
    request.engine_id = submitted.original;
    request.endpoint = submitted.endpoint;
    request.address = address;
    request.attempt = 1;
    start(request, request.deadline);
}

template <request_environment Environment>
void request_tracker<Environment>::on_progress(
    attempt_progress const& progress, instant now) {
    live_request* const request = find_live(progress.id);
    if (request == nullptr || request->attempt != progress.attempt ||
        !request->attempt_open()) {
        return;
    }
    if (request->phase == request_phase::sent) {
        if (request->tokens == 0) {
            environment_.act(observe_time{
                observe_time::kind::first_token, now - request->admitted});
        }
        environment_.record_output(*request, now);
        set_phase(*request, request_phase::streaming, request->deadline);
    }
    if (progress.tokens > request->tokens) {
        request->tokens = progress.tokens;
        request->resumes = 0;
    }
}

template <request_environment Environment>
void request_tracker<Environment>::on_attempt_ended(
    attempt_ended const& end, instant now) {
    live_request* const request = find_live(end.id);
    // Guards against the end of an attempt whose request has been cancelled or
    // has continued with another attempt. Without the check of the attempt's
    // number the caller could get an outdated answer, or a running attempt
    // would be taken as ended.
    if (request == nullptr || request->attempt != end.attempt ||
        !request->attempt_open()) {
        count(count_reason::kind::dropped, reason::late_answer);
        return;
    }
    request->tokens = std::max(request->tokens, end.tokens);
    request->received =
        std::max({request->received, end.received, request->tokens});
    bool const reported_to_peers =
        environment_.record_attempt_end(*request, end, now);
    if (request->phase == request_phase::closing) {
        if (end.how == attempt_result::completed) {
            count(count_reason::kind::dropped, reason::late_answer);
        }
        release(*request, true, now);
        erase_request(*request);
        return;
    }
    if (end.how == attempt_result::completed) {
        handle_completion(*request, end, now);
    } else if (internal::never_ran(end.how) && !request->resumed) {
        handle_not_run(*request, end, now);
    } else {
        handle_failure(*request, end, reported_to_peers, now);
    }
}

template <request_environment Environment>
void request_tracker<Environment>::handle_completion(
    live_request& request, attempt_ended const& end, instant now) {
    release(request, true, now);
    environment_.act(
        observe_time{observe_time::kind::request, now - request.admitted});
    request.phase = request_phase::routing;
    finish(request, outcome::done, reason::none, {}, now, end.answer);
}

// The endpoint refused the request or was not reached. Any request may be sent
// to another endpoint, unless its caller has disconnected and could not receive
// the answer.
template <request_environment Environment>
void request_tracker<Environment>::handle_not_run(
    live_request& request, attempt_ended const& end, instant now) {
    if (end.how == attempt_result::refused_not_loaded) {
        // The owner assumed that the adapter was loaded. The release corrects
        // that, and the owner loads the adapter, so the same replica remains a
        // candidate.
        release(request, false, now);
    } else {
        request.tried.push_back(request.endpoint);
        return_grant(request, now);
    }
    request.refusal = internal::reason_of(end.how);
    if (request.detached) {
        request.phase = request_phase::routing;
        finish(
            request, request.may_have_run ? outcome::unknown : outcome::not_run,
            request.refusal, {}, now);
        return;
    }
    count(count_reason::kind::retry, request.refusal);
    route_request(request, now);
}

template <request_environment Environment>
void request_tracker<Environment>::handle_failure(
    live_request& request, attempt_ended const& end, bool reported_to_peers,
    instant now) {
    request.may_have_run = true;
    bool const stream_interrupted =
        end.how == attempt_result::truncated ||
        (request.resumed && internal::never_ran(end.how));
    if (stream_interrupted && schedule_resume(request, now)) {
        return;
    }
    retry_or_finish(request, end, reported_to_peers, now);
}

// The grant is kept until the resume: the engine may still be executing the
// stream, so its adapter must not be evicted.
template <request_environment Environment>
bool request_tracker<Environment>::schedule_resume(
    live_request& request, instant now) {
    if (request.target_profile.kind != endpoint_kind::engine ||
        request.received == 0 || request.detached ||
        request.resumes == settings_.max_resumes) {
        return false;
    }
    duration const backoff = settings_.resume_backoff * (1U << request.resumes);
    duration const pause =
        std::max(backoff, environment_.rest_remaining(request.endpoint, now));
    if (now + pause >= request.deadline) {
        return false;
    }
    ++request.resumes;
    count(count_reason::kind::retry, reason::answer_cut);
    set_phase(request, request_phase::awaiting_resume, now + pause);
    return true;
}

template <request_environment Environment>
void request_tracker<Environment>::resume(live_request& request) {
    request.resumed = true;
    ++request.attempt;
    start(request, request.deadline);
}

template <request_environment Environment>
bool request_tracker<Environment>::may_retry(
    live_request const& request, attempt_ended const& end) const {
    bool const not_retryable = end.how == attempt_result::timed_out ||
                               end.how == attempt_result::cancelled;
    // Tokens that the caller has received cannot be withdrawn. A second
    // execution may produce a different text, and its tail would not fit the
    // first part.
    return request.target_profile.idempotent && request.tokens == 0 &&
           !not_retryable && !request.detached &&
           !internal::is_caller_error(end.status);
}

template <request_environment Environment>
void request_tracker<Environment>::retry_or_finish(
    live_request& request, attempt_ended const& end, bool reported_to_peers,
    instant now) {
    release(request, true, now);
    reason why = internal::reason_of(end.how);
    request.phase = request_phase::routing;
    if (may_retry(request, end)) {
        if (environment_.try_consume_retry(request, now)) {
            count(count_reason::kind::retry, why);
            request.resumed = false;
            request.received = 0;
            request.resumes = 0;
            request.refusal = why;
            request.tried.push_back(request.endpoint);
            if (reported_to_peers) {
                set_phase(
                    request, request_phase::awaiting_quarantine,
                    std::min(
                        now + settings_.quarantine_decision_timeout,
                        request.deadline));
                return;
            }
            route_request(request, now);
            return;
        }
        why = reason::retry_budget_empty;
    }
    auto const back = request.target_profile.idempotent
                          ? settings_.retry_after
                          : std::chrono::milliseconds(0);
    finish(request, outcome::unknown, why, back, now);
}

} // namespace camphorpoint
