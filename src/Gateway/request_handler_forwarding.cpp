#include "Gateway/request_handler.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using platform::answer_kind;
using std::chrono::milliseconds;

asio::awaitable<attempt_outcome>
request_handler::read_answer(attempt_ref attempt) {
    auto const caller = caller_;
    auto const call = attempt->call;
    int const status = call->status();
    answer_kind const kind =
        platform::judge_answer(status, call->fields(), call->names_request());
    attempt->note_head(status, boot_clock::now());
    attempt->trace.states_not_run = platform::states_not_run(call->fields());
    note_limits(*attempt, kind, call->fields());
    note_rest(*attempt, status, call->fields());
    if (kind != answer_kind::misdirected) {
        state_->replicas.attempt_heard(
            attempt->replica, attempt->serial, boot_clock::now());
    }
    state_->replicas.attempt_answered(attempt->replica, attempt->serial);
    if (kind == answer_kind::success) {
        state_->answer_times[need_.service].add(*attempt->trace.head_after);
    }
    if (kind == answer_kind::not_executed || kind == answer_kind::misdirected) {
        tracker_.on_not_executed(attempt->number);
        if (kind == answer_kind::misdirected && !need_.adapter.empty()) {
            state_->replicas.mark_unloading(
                attempt->replica, need_.adapter, boot_clock::now());
        }
        co_await call->skip_rest();
        co_return attempt_outcome::refused;
    }
    co_return co_await forward_answer(attempt, kind);
}

asio::awaitable<attempt_outcome>
request_handler::forward_answer(attempt_ref attempt, answer_kind kind) {
    auto const caller = caller_;
    tracker_.on_answering(attempt->number);
    state_->metrics.count_untrusted_answers(
        "unstated", kind == answer_kind::unstated ? 1 : 0);
    if (kind == answer_kind::spoiled || kind == answer_kind::unstated) {
        co_return attempt_outcome::failed;
    }
    if (response_started_ && kind == answer_kind::failure) {
        // The caller has already received the head of an earlier attempt's
        // answer.
        co_return attempt_outcome::failed;
    }
    bool const stream =
        route_->kind == route_kind::streaming && kind == answer_kind::success;
    if (!stream) {
        co_return co_await forward_buffered(attempt);
    }
    if (!may_replace_stalled(*attempt) || !co_await take_over(attempt)) {
        co_return attempt_outcome::superseded;
    }
    co_return co_await forward_stream(attempt);
}

asio::awaitable<bool> request_handler::take_over(attempt_ref attempt) {
    auto const caller = caller_;
    if (attempt->superseded) {
        co_return false;
    }
    if (attempt == stalled_) {
        // Its answer has come before that of the attempt that was to replace
        // it.
        cancel_replacement();
    } else {
        co_await stop_stalled();
    }
    co_return !response_complete_ && !attempt->superseded;
}

asio::awaitable<bool> request_handler::write_to_caller(std::string_view piece) {
    auto const caller = caller_;
    if (piece.empty()) {
        co_return true;
    }
    instant const now = boot_clock::now();
    if (first_sent_at_ == instant{}) {
        first_sent_at_ = now;
    } else {
        longest_pause_ = std::max(longest_pause_, now - last_sent_at_);
    }
    last_sent_at_ = now;
    report_first_output();
    bool const passed = co_await exchange_->write_piece(piece);
    caller->gone = caller->gone || !passed;
    co_return passed;
}

asio::awaitable<bool>
request_handler::forward_events(attempt_ref attempt, joined_events events) {
    auto const caller = caller_;
    auto const call = attempt->call;
    note_output(*attempt);
    attempt->timing.add(events.count, boot_clock::now());
    note_stream_event(*attempt);
    if (!response_started_) {
        response_started_ = true;
        status_ = call->status();
        state_->metrics.observe_first_byte(boot_clock::now() - arrived_at_);
        http_fields fields = platform::pass_fields(call->fields());
        if (relayed_ && route_->resumable) {
            fields.add(
                std::string(platform::relay_field),
                encode_relayed_software(*attempt->software));
        }
        bool const started =
            co_await exchange_->begin_stream(status_, std::move(fields));
        caller->gone = caller->gone || !started;
    }
    bool const passed = co_await write_to_caller(events.text);
    bool const moves = events.position.last() != position_.last();
    position_ = passed ? events.position : position_;
    confirms_end_ = confirms_end_ && !moves;
    if (moves && attempt == stalled_) {
        cancel_replacement();
    }
    co_return passed && !caller->gone;
}

asio::awaitable<attempt_outcome>
request_handler::forward_stream(attempt_ref attempt) {
    auto const caller = caller_;
    auto const call = attempt->call;
    while (true) {
        instant const now = boot_clock::now();
        auto const left = std::chrono::duration_cast<milliseconds>(
            deadline_ + milliseconds(100) - now);
        attempt->begin_wait(now);
        auto const piece =
            co_await call->next_piece(std::max(left, milliseconds(1)));
        // A piece that was received before the call was cancelled may come
        // after the events of another attempt.
        bool const received = piece && !piece->empty() && !call->cancelled();
        attempt->end_wait(received, boot_clock::now());
        if (received) {
            state_->replicas.attempt_heard(
                attempt->replica, attempt->serial, boot_clock::now());
        }
        if (caller->gone) {
            co_return attempt_outcome::finished;
        }
        if (!received) {
            bool const read_to_end = piece && piece->empty();
            co_return co_await finish_stream_attempt(attempt, read_to_end);
        }
        attempt->stream.push(*piece);
        joined_events events = join_events(attempt->stream, position_);
        bool const joined = events.joined;
        bool passed = true;
        if (!events.text.empty()) {
            passed = co_await forward_events(attempt, std::move(events));
        }
        if (!passed) {
            call->cancel();
            co_return attempt_outcome::finished;
        }
        if (!joined) {
            if (attempt->stream.too_long()) {
                call->reject();
            }
            attempt->trace.body = "not-joined";
            call->cancel();
            co_return attempt_outcome::failed;
        }
    }
}

asio::awaitable<attempt_outcome>
request_handler::finish_stream_attempt(attempt_ref attempt, bool read_to_end) {
    auto const caller = caller_;
    auto const call = attempt->call;
    attempt_stream const& stream = attempt->stream;
    attempt_trace& trace = attempt->trace;
    if (stream.incomplete_bytes() > 0) {
        position_.note_truncated_event();
    }
    if (!read_to_end) {
        trace.body = "cut";
        co_return attempt_outcome::silent;
    }
    bool const framed = !call->ends_with_connection();
    trace.body = framed ? "whole" : "connection-end";
    stream_end const end = position_.classify_end(stream, framed);
    if (end == stream_end::unconfirmed) {
        co_return attempt_outcome::unproven;
    }
    if (end == stream_end::truncated) {
        trace.broke_off = !framed;
        co_return framed ? attempt_outcome::failed : attempt_outcome::silent;
    }
    note_completed(*attempt);
    if (response_started_) {
        response_complete_ = co_await exchange_->end_stream();
        caller->gone = caller->gone || !response_complete_;
        if (response_complete_ && origin_recorded_) {
            messenger_->stream_completed(stream_);
        }
        co_return attempt_outcome::finished;
    }
    // A successful answer without any event is passed on unchanged.
    http_response empty;
    empty.status = call->status();
    empty.fields = platform::pass_fields(call->fields());
    status_ = empty.status;
    response_complete_ = co_await exchange_->respond(std::move(empty));
    co_return attempt_outcome::finished;
}

void request_handler::note_completed(forwarded_attempt& attempt) {
    attempt.completed = true;
    tracker_.on_completed(attempt.number);
}

asio::awaitable<attempt_outcome>
request_handler::forward_buffered(attempt_ref attempt) {
    auto const caller = caller_;
    auto const call = attempt->call;
    int const status = call->status();
    http_response answer;
    answer.status = status;
    answer.fields = platform::pass_fields(call->fields());
    kept_body body;
    body_terms const terms;
    bool const whole = co_await read_body(*call, body, terms);
    if (!whole) {
        attempt->trace.body = "cut";
        co_return attempt_outcome::silent;
    }
    answer.body = std::move(body.text);
    answer.memory = std::move(body.memory);
    note_completed(*attempt);
    attempt->timing.add(1, boot_clock::now());
    constexpr int first_failure = 500;
    if (status >= first_failure) {
        failure_response_ = std::move(answer);
        co_return attempt_outcome::failed;
    }
    if (!response_started_ && !co_await take_over(attempt)) {
        co_return attempt_outcome::superseded;
    }
    if (response_complete_) {
        co_return attempt_outcome::superseded;
    }
    if (response_started_) {
        co_return attempt_outcome::failed;
    }
    note_output(*attempt);
    status_ = status;
    state_->metrics.observe_first_byte(boot_clock::now() - arrived_at_);
    response_complete_ = co_await exchange_->respond(std::move(answer));
    caller->gone = caller->gone || !response_complete_;
    co_return attempt_outcome::finished;
}

} // namespace camphorpoint
