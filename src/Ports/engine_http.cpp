#include "Ports/engine_http.hpp"

#include "Ports/endpoint_notice_fields.hpp"
#include "Ports/engine_stream.hpp"
#include "Ports/json_fields.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// One event holds one token; an engine that sends no end of event is broken.
constexpr std::size_t largest_event = 256U << 10U;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_precondition_failed = 412;
constexpr int status_unavailable = 503;

std::string priority_text(urgency how_urgent) {
    return std::string(to_string(how_urgent));
}

http_request start_request(engine_request const& wanted) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.fields.add("X-Request-Id", wanted.id.str());
    request.fields.add("X-Priority", priority_text(wanted.how_urgent));
    request.fields.add("Content-Type", "application/json");
    json::object body = parse_json_object(wanted.body).value_or(json::object());
    body["model"] = engine_model(wanted.adapter);
    body["stream"] = true;
    request.body = json::serialize(body);
    return request;
}

http_request resume_request(engine_request const& wanted) {
    http_request request;
    request.target = fmt::format(
        "/v1/streams/{}?from={}", wanted.id.str(), wanted.from_token);
    request.fields.add("X-Request-Id", wanted.id.str());
    return request;
}

/// @param names_request whether the answer names the request; one that does not
///        says nothing about whether the request has run
attempt_result end_of_status(int status, bool resumed, bool names_request) {
    switch (status) {
    case status_conflict:
        return names_request ? attempt_result::refused_not_loaded
                             : attempt_result::failed;
    case status_unavailable:
        return names_request ? attempt_result::refused_busy
                             : attempt_result::failed;
    default:
        // The engine no longer keeps the stream: it has run, and its rest
        // cannot be had.
        return resumed && status == status_not_found ? attempt_result::truncated
                                                     : attempt_result::failed;
    }
}

/// @returns how an attempt ends whose answer goes wrong at an event
attempt_result end_of(stream_verdict verdict) {
    return verdict == stream_verdict::mismatch ? attempt_result::mismatch
                                               : attempt_result::truncated;
}

attempt_result end_of_loss(
    http_call const& call, engine_request const& request, attempt_result loss) {
    if (call.cancelled()) {
        return attempt_result::cancelled;
    }
    return boot_clock::now() >= request.deadline ? attempt_result::timed_out
                                                 : loss;
}

std::vector<adapter_ref>
parse_adapters(json::object const& report, std::string_view key) {
    std::vector<adapter_ref> result;
    for (json::object const* each : json_objects(report, key)) {
        auto const version = json_number(*each, "version").value_or(0);
        result.push_back(
            {adapter_id(json_text(*each, "adapter")),
             static_cast<std::uint32_t>(version)});
    }
    return result;
}

std::uint32_t small_number(json::object const& object, std::string_view key) {
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::min(json_number(object, key).value_or(0), most));
}

order_result result_of_status(int status) {
    switch (status) {
    case status_ok:
        return order_result::done;
    case status_conflict:
        return order_result::refused_busy;
    case status_precondition_failed:
        return order_result::refused_fencing;
    default:
        return order_result::failed;
    }
}

http_request order_request(engine_order const& order) {
    http_request request;
    request.method = "POST";
    request.target = "/orders";
    request.fields.add("Content-Type", "application/json");
    bool const load = order.kind == engine_order_kind::load;
    request.body = json::serialize(json::object{
        {"order", load ? "load" : "evict"},
        {"adapter", order.adapter.id.str()},
        {"version", order.adapter.version},
        {"fencing", order.fencing.value}});
    return request;
}

} // namespace

std::optional<engine_report>
parse_engine_report(std::string_view body, endpoint_id replica) {
    auto const answer = parse_json_object(body);
    if (!answer || !json_number(*answer, "incarnation")) {
        return std::nullopt;
    }
    engine_report report;
    report.replica = std::move(replica);
    report.incarnation = *json_number(*answer, "incarnation");
    report.running = small_number(*answer, "running");
    report.queued = small_number(*answer, "queued");
    report.resident = parse_adapters(*answer, "resident");
    report.loading = parse_adapters(*answer, "loading");
    report.in_use = parse_adapters(*answer, "in_use");
    report.age = std::chrono::milliseconds(small_number(*answer, "age_ms"));
    return report;
}

engine_http::engine_http(
    asio::any_io_executor executor, http_pool& pool,
    std::chrono::milliseconds timeout)
    : executor_(std::move(executor))
    , pool_(&pool)
    , timeout_(timeout) {}

asio::awaitable<engine_stream_end>
engine_http::run(http_call& call, engine_request request, engine_sink sink) {
    engine_stream_end end;
    end.tokens = request.from_token;
    bool const resumed = request.resume || request.from_token > 0;
    http_request message =
        resumed ? resume_request(request) : start_request(request);
    call_times times;
    times.send_before = std::min(request.send_before, request.deadline);
    times.close_at = request.deadline;
    // A queued request's first token may take long: the deadline bounds it.
    times.each_step = std::chrono::hours(1);
    times.echoed = "X-Request-Id";
    call_result const opened = co_await call.open(
        parse_address(request.address), std::move(message), times);
    if (opened != call_result::answered) {
        end.how = opened == call_result::not_sent
                      ? attempt_result::not_sent
                      : end_of_loss(call, request, attempt_result::truncated);
        co_return end;
    }
    end.status = call.status();
    end.notice = read_endpoint_notice(end.status, call.fields());
    if (end.status != status_ok) {
        end.how = end_of_status(end.status, resumed, call.names_request());
        call.cancel();
        co_return end;
    }
    endpoint_notice const notice = end.notice;
    end = co_await relay(call, request, std::move(sink));
    end.notice = notice;
    co_return end;
}

asio::awaitable<engine_stream_end> engine_http::relay(
    http_call& call, engine_request const& request, engine_sink sink) {
    engine_stream_end end;
    end.status = status_ok;
    end.how = attempt_result::truncated;
    engine_stream stream(request.id, request.adapter, request.from_token);
    event_stream_reader reader;
    while (auto const piece = co_await call.next_piece()) {
        if (piece->empty()) {
            break;
        }
        reader.push(*piece);
        while (auto const event = reader.next()) {
            stream_verdict const verdict = stream.take(*event);
            bool const good = verdict == stream_verdict::token ||
                              verdict == stream_verdict::last;
            if (!good) {
                call.cancel();
                end.how = end_of(verdict);
                co_return end;
            }
            end.tokens = stream.next_token();
            engine_piece const checked{
                stream.next_token(), event->data, stream.text()};
            if (!co_await sink(checked)) {
                call.cancel();
                end.how = attempt_result::cancelled;
                co_return end;
            }
            if (verdict == stream_verdict::last) {
                // The answer is whole, whatever follows and however the call
                // ends.
                end.how = attempt_result::completed;
                co_await call.skip_rest();
                co_return end;
            }
        }
        if (reader.pending_bytes() > largest_event) {
            call.reject();
            co_return end;
        }
    }
    end.how = end_of_loss(call, request, attempt_result::truncated);
    co_return end;
}

asio::awaitable<void>
engine_http::cancel_stream(std::string address, request_id id) {
    http_request request;
    request.method = "DELETE";
    request.target = "/v1/streams/" + id.str();
    call_times times;
    times.close_at = boot_clock::now() + timeout_;
    times.each_step = timeout_;
    http_call call(executor_, pool_);
    ip_address to = parse_address(address);
    co_await fetch(
        call, std::move(to), std::move(request), times, largest_control_answer);
}

asio::awaitable<order_result>
engine_http::order(engine_order order, std::string address) {
    call_times times;
    // The owner's authority ends at not_after. An order that still travels
    // then could be obeyed after a newer owner's orders by an engine that
    // ignores fencing numbers, so the connection is reset.
    times.send_before = order.not_after;
    times.close_at = order.not_after;
    times.each_step = std::chrono::hours(1);
    http_call call(executor_, pool_);
    http_request request = order_request(order);
    ip_address to = parse_address(address);
    fetch_result const got = co_await fetch(
        call, std::move(to), std::move(request), times, largest_control_answer);
    switch (got.how) {
    case call_result::not_sent:
        co_return order_result::not_sent;
    case call_result::lost:
        co_return order_result::lost;
    case call_result::answered:
        break;
    }
    co_return result_of_status(got.response.status);
}

asio::awaitable<std::optional<engine_report>>
engine_http::report(endpoint_id replica, std::string address) {
    http_request request;
    request.target = "/report";
    instant const asked = boot_clock::now();
    call_times times;
    times.close_at = asked + timeout_;
    times.each_step = timeout_;
    http_call call(executor_, pool_);
    ip_address to = parse_address(address);
    fetch_result const got = co_await fetch(
        call, std::move(to), std::move(request), times, largest_control_answer);
    if (got.how != call_result::answered || got.response.status != status_ok) {
        co_return std::nullopt;
    }
    auto report = parse_engine_report(got.response.body, std::move(replica));
    if (report) {
        // The engine may have measured right after the question, and its
        // answer may have been held up since.
        report->age += boot_clock::now() - asked;
    }
    co_return report;
}

} // namespace camphorpoint
