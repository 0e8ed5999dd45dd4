#include "Gateway/request_handler.hpp"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using platform::answer_kind;
using std::chrono::milliseconds;

namespace {

/// A stream that may go on elsewhere is given up after this silence: twice the
/// longest pause that any installation's callers take for good.
constexpr milliseconds stream_silence{1'500};

} // namespace

asio::awaitable<request_handler::attempt_end>
request_handler::read_answer(endpoint_id at, std::shared_ptr<http_call> call) {
    auto const caller = leaving_;
    int const status = call->status();
    answer_kind const kind = platform::judge_answer(status, call->fields());
    if (kind == answer_kind::not_executed || kind == answer_kind::misdirected) {
        ledger_.on_not_executed();
        if (kind == answer_kind::misdirected && !need_.adapter.empty()) {
            state_->replicas.mark_unloading(
                at, need_.adapter, boot_clock::now());
        }
        // Read to its end, so that the connection can be kept.
        while (auto const piece = co_await call->next_piece()) {
            if (piece->empty() || caller->gone) {
                break;
            }
        }
        co_return attempt_end::refused;
    }
    ledger_.on_answering();
    if (kind == answer_kind::spoiled) {
        co_return attempt_end::failed;
    }
    if (begun_ && kind == answer_kind::failure) {
        // The caller has the head of another run's answer already.
        co_return attempt_end::failed;
    }
    bool const stream =
        route_->kind == route_kind::streaming && kind == answer_kind::success;
    if (stream) {
        co_return co_await pass_stream(call);
    }
    co_return co_await pass_whole(call, status);
}

asio::awaitable<bool> request_handler::forward(std::string_view piece) {
    auto const caller = leaving_;
    if (piece.empty()) {
        co_return true;
    }
    instant const now = boot_clock::now();
    if (first_sent_ == instant{}) {
        first_sent_ = now;
    } else {
        longest_pause_ = std::max(longest_pause_, now - last_sent_);
    }
    last_sent_ = now;
    prove_content();
    bool const passed = co_await exchange_->write_piece(piece);
    caller->gone = caller->gone || !passed;
    co_return passed;
}

asio::awaitable<bool> request_handler::hand_on(
    std::shared_ptr<http_call> call, joined_events events) {
    auto const caller = leaving_;
    if (!begun_) {
        begun_ = true;
        status_ = call->status();
        state_->metrics.observe_first_byte(boot_clock::now() - arrived_);
        http_fields fields = platform::pass_fields(call->fields());
        bool const begun =
            co_await exchange_->begin_stream(status_, std::move(fields));
        caller->gone = caller->gone || !begun;
    }
    bool const passed = co_await forward(events.text);
    position_ = passed ? events.position : position_;
    co_return passed && !caller->gone;
}

asio::awaitable<request_handler::attempt_end>
request_handler::pass_stream(std::shared_ptr<http_call> call) {
    auto const caller = leaving_;
    bool const resumable = route_->resumable;
    attempt_stream run;
    while (true) {
        auto const left = std::chrono::duration_cast<milliseconds>(
            deadline_ + milliseconds(100) - boot_clock::now());
        milliseconds const wait =
            resumable ? std::min(left, stream_silence) : left;
        auto const piece =
            co_await call->next_piece(std::max(wait, milliseconds(1)));
        if (caller->gone) {
            co_return attempt_end::finished;
        }
        if (!piece || piece->empty()) {
            bool const read_whole = piece.has_value();
            co_return co_await end_run(call, run, read_whole);
        }
        run.push(*piece);
        joined_events events = join_events(run, position_);
        trace_.half_bytes = run.incomplete_bytes();
        bool const joined = events.joined;
        bool passed = true;
        if (!events.text.empty()) {
            passed = co_await hand_on(call, std::move(events));
        }
        if (!passed) {
            call->cancel();
            co_return attempt_end::finished;
        }
        if (!joined) {
            trace_.body = "not-joined";
            call->cancel();
            co_return attempt_end::failed;
        }
    }
}

asio::awaitable<request_handler::attempt_end> request_handler::end_run(
    std::shared_ptr<http_call> call, attempt_stream const& run,
    bool read_whole) {
    auto const caller = leaving_;
    if (run.incomplete_bytes() > 0) {
        position_.note_truncated_event();
    }
    if (!read_whole) {
        trace_.body = "cut";
        co_return attempt_end::silent;
    }
    bool const framed = !call->ends_with_connection();
    trace_.body = framed ? "whole" : "connection-end";
    stream_end const end = position_.classify_end(run, framed);
    if (end == stream_end::unconfirmed) {
        co_return attempt_end::unproven;
    }
    if (end == stream_end::truncated) {
        co_return framed ? attempt_end::failed : attempt_end::silent;
    }
    ledger_.on_completed();
    if (begun_) {
        ended_ = co_await exchange_->end_stream();
        co_return attempt_end::finished;
    }
    // A success without any event is passed on as it is.
    http_response empty;
    empty.status = call->status();
    empty.fields = platform::pass_fields(call->fields());
    status_ = empty.status;
    ended_ = co_await exchange_->respond(std::move(empty));
    co_return attempt_end::finished;
}

asio::awaitable<request_handler::attempt_end>
request_handler::pass_whole(std::shared_ptr<http_call> call, int status) {
    auto const caller = leaving_;
    http_response answer;
    answer.status = status;
    answer.fields = platform::pass_fields(call->fields());
    while (true) {
        auto const piece = co_await call->next_piece();
        if (!piece || answer.body.size() > largest_answer) {
            co_return attempt_end::silent;
        }
        if (piece->empty()) {
            break;
        }
        answer.body += *piece;
    }
    ledger_.on_completed();
    constexpr int first_failure = 500;
    if (status >= first_failure) {
        failure_ = std::move(answer);
        co_return attempt_end::failed;
    }
    status_ = status;
    state_->metrics.observe_first_byte(boot_clock::now() - arrived_);
    ended_ = co_await exchange_->respond(std::move(answer));
    caller->gone = caller->gone || !ended_;
    co_return attempt_end::finished;
}

} // namespace camphorpoint
