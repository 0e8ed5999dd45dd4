#include "Ports/service_http.hpp"

#include "Ports/endpoint_notice_fields.hpp"
#include "Ports/json_fields.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

attempt_result end_of_loss(http_call const& call, instant deadline) {
    if (call.cancelled()) {
        return attempt_result::cancelled;
    }
    return boot_clock::now() >= deadline ? attempt_result::timed_out
                                         : attempt_result::truncated;
}

http_request message_of(service_call const& wanted) {
    http_request message;
    message.method = "POST";
    message.target = "/calls";
    message.fields.add("X-Request-Id", wanted.id.str());
    message.fields.add("Content-Type", "application/json");
    if (!wanted.key.empty()) {
        message.fields.add("Idempotency-Key", wanted.key);
    }
    message.body = wanted.body;
    return message;
}

} // namespace

asio::awaitable<service_call_end>
service_http::run(http_call& call, service_call request) {
    call_times times;
    times.send_before = std::min(request.send_before, request.deadline);
    times.close_at = request.deadline;
    times.each_step = std::chrono::hours(1);
    times.echoed = "X-Request-Id";
    call_result const opened = co_await call.open(
        parse_address(request.address), message_of(request), times);
    service_call_end end;
    if (opened != call_result::answered) {
        end.how = opened == call_result::not_sent
                      ? attempt_result::not_sent
                      : end_of_loss(call, request.deadline);
        co_return end;
    }
    end.status = call.status();
    end.notice = read_endpoint_notice(end.status, call.fields());
    if (end.status != status_ok) {
        // The head tells it; a body that does not end takes nothing from it.
        bool const refused =
            end.status == status_unavailable && call.names_request();
        end.how =
            refused ? attempt_result::refused_busy : attempt_result::failed;
        co_await call.skip_rest();
        co_return end;
    }
    kept_body body;
    body_terms const terms;
    bool const whole = co_await read_body(call, body, terms);
    if (!whole) {
        end.how = end_of_loss(call, request.deadline);
        co_return end;
    }
    auto const answer = parse_json_object(body.text);
    // A late answer to an earlier call on the same connection bears that call's
    // id; it is dropped.
    if (!answer || json_text(*answer, "id") != request.id.str()) {
        end.how = attempt_result::mismatch;
        co_return end;
    }
    end.how = attempt_result::completed;
    end.answer = std::move(body.text);
    end.memory = std::move(body.memory);
    co_return end;
}

} // namespace camphorpoint
