#include "app/load/stream_caller.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds connect_timeout{2'000};
constexpr std::chrono::milliseconds answer_timeout{60'000};
constexpr std::chrono::milliseconds before_resume{200};
constexpr std::uint32_t most_resumes = 8;

asio::awaitable<void>
pause(asio::any_io_executor executor, std::chrono::milliseconds time) {
    asio::steady_timer timer(executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

stream_caller::stream_caller(
    asio::any_io_executor executor, entry_nodes const& nodes,
    planned_request const& planned, std::vector<std::uint32_t> versions)
    : executor_(std::move(executor))
    , nodes_(&nodes)
    , planned_(&planned)
    , check_(
          planned.wanted.adapter.id, std::move(versions), work_of(planned),
          planned.tokens) {}

asio::awaitable<void>
stream_caller::run(http_request request, request_result& result) {
    began_ = steady_clock::now();
    std::uint64_t node = planned_->entry_node;
    for (std::uint32_t tries = 0; tries <= most_resumes; ++tries) {
        bool const resumes = !last_event_.empty();
        http_request const next =
            resumes ? resume_request(request_id_, last_event_) : request;
        result.resumes += resumes ? 1 : 0;
        link_end const how = co_await follow(next, nodes_->at(node), result);
        if (how == link_end::closed) {
            break;
        }
        if (how == link_end::refused) {
            ++result.refused_connections;
        } else if (last_event_.empty()) {
            // Without an event there is no place to go on from, and what was
            // sent may run: sending it again is not the caller's to decide.
            break;
        }
        ++node;
        co_await pause(executor_, before_resume);
    }
    result.total = duration_cast<microseconds>(steady_clock::now() - began_);
    settle(result);
}

asio::awaitable<stream_caller::link_end> stream_caller::follow(
    http_request request, ip_address to, request_result& result) {
    http_call call(executor_);
    if (!co_await call.connect(to, connect_timeout)) {
        // A stream that has begun and finds no node to go on from is cut.
        result.end = last_event_.empty() ? seen_end::no_node : seen_end::cut;
        co_return link_end::refused;
    }
    result.end = seen_end::cut;
    if (!co_await call.send(std::move(request), answer_timeout)) {
        co_return link_end::broke;
    }
    constexpr int ok = 200;
    if (call.status() != ok) {
        co_return co_await read_error(call, result);
    }
    if (request_id_.empty()) {
        request_id_ = call.field("X-Request-Id");
    }
    last_piece_ = steady_clock::now();
    co_return co_await read_events(call, result);
}

asio::awaitable<stream_caller::link_end>
stream_caller::read_error(http_call& call, request_result& result) {
    end_.stated = true;
    end_.outcome = call.field("X-Outcome");
    end_.why = call.field("X-Reason");
    if (end_.outcome.empty()) {
        end_.outcome = "unknown";
        end_.why = "status-" + std::to_string(call.status());
    }
    if (last_event_.empty() && sends_elsewhere(end_)) {
        end_ = {};
        result.end = seen_end::no_node;
        co_return link_end::refused;
    }
    // A resume that is refused leaves the stream cut, whatever it says of
    // itself.
    if (!last_event_.empty()) {
        end_.stated = false;
        result.why = "resume-" + end_.why;
        co_return link_end::broke;
    }
    co_return link_end::closed;
}

asio::awaitable<stream_caller::link_end>
stream_caller::read_events(http_call& call, request_result& result) {
    event_stream_reader reader;
    while (auto piece = co_await call.next_piece(answer_timeout)) {
        if (piece->empty()) {
            // An answer that ends without saying how is as good as cut; an
            // engine without a node says it with [DONE].
            bool const whole = end_.stated || done_marker_;
            co_return whole ? link_end::closed : link_end::broke;
        }
        reader.push(*piece);
        while (auto event = reader.next()) {
            if (!take_event(*event, result)) {
                call.cancel();
                co_return link_end::broke;
            }
        }
        if (reader.pending_bytes() > largest_answer) {
            call.cancel();
            co_return link_end::broke;
        }
        if (planned_->slowness.count() > 0) {
            co_await pause(executor_, planned_->slowness);
        }
    }
    co_return link_end::broke;
}

bool stream_caller::take_event(
    stream_event const& event, request_result& result) {
    if (event.name == "outcome") {
        end_ = read_outcome_event(event.data);
        return true;
    }
    if (event.data == "[DONE]") {
        done_marker_ = true;
        return true;
    }
    std::uint32_t const before = check_.tokens();
    result.fault = check_.take(event.data);
    if (!event.id.empty()) {
        last_event_ = event.id;
    }
    if (check_.tokens() > before) {
        take_times(result);
    }
    bool const break_now = planned_->break_after && !broke_itself_ &&
                           check_.tokens() >= *planned_->break_after &&
                           !last_event_.empty();
    broke_itself_ = broke_itself_ || break_now;
    return !break_now;
}

void stream_caller::take_times(request_result& result) {
    auto const now = steady_clock::now();
    if (!result.first_token) {
        result.first_token = duration_cast<microseconds>(now - began_);
    } else {
        result.gaps.push_back(duration_cast<microseconds>(now - last_piece_));
    }
    last_piece_ = now;
}

void stream_caller::settle(request_result& result) {
    result.tokens = check_.tokens();
    result.version = check_.version();
    result.odd_caller = broke_itself_ || planned_->slowness.count() > 0;
    bool const said_done =
        end_.outcome == "done" || (!end_.stated && done_marker_);
    if (end_.stated && !said_done) {
        result.why = end_.why;
        result.end =
            end_.outcome == "not-run" ? seen_end::not_run : seen_end::unknown;
    } else if (said_done) {
        result.fault = check_.close();
        result.end = seen_end::done;
    }
    if (result.fault != answer_fault::none) {
        result.end = seen_end::wrong;
    }
}

} // namespace camphorpoint
