#include "service/service_http.hpp"

#include "Core/hash.hpp"
#include "common/standin_main.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace standins {

namespace asio = boost::asio;
using camphorpoint::http_exchange;

namespace {

constexpr std::chrono::milliseconds longest_hold{60'000};

} // namespace

asio::awaitable<void> service_http::answer(http_exchange& exchange) {
    camphorpoint::http_request const& request = exchange.request();
    std::string_view const path = camphorpoint::path_of(request.target);
    if (path == "/calls" && request.method == "POST") {
        co_await call(exchange);
    } else if (path == "/records") {
        std::string const text = records_.describe();
        co_await exchange.respond(json_response(200, text));
    } else if (path == "/admin") {
        administer(json_body(request.body));
        co_await exchange.respond(json_response(200, "{}"));
    } else {
        co_await exchange.respond(json_response(404, "{}"));
    }
}

void service_http::administer(json_body const& order) {
    errors_ = order.integer("errors", errors_);
    cut_answers_ = order.integer("cut_answers", cut_answers_);
    slow_ = std::chrono::milliseconds(order.integer("slow_ms", slow_.count()));
    leaving_ = order.flag("leaving", leaving_);
    if (order.has("capacity")) {
        capacity_.set_at_once(
            static_cast<std::uint32_t>(order.integer("capacity", 1)));
    }
}

asio::awaitable<void> service_http::call(http_exchange& exchange) {
    if (leaving_ || !capacity_.begin()) {
        records_.count_refusal();
        co_await respond_named(
            exchange, json_response(503, "{\"error\":\"busy\"}"));
        co_return;
    }
    camphorpoint::http_request const& request = exchange.request();
    call_record record;
    record.request = std::string(request.fields.get("X-Request-Id"));
    record.key = std::string(request.fields.get("Idempotency-Key"));
    record.body = camphorpoint::hash_text(request.body);
    record.start = clock_now();
    std::size_t const place = records_.begin(record);
    co_await wait_for(capacity_.time() + slow_);
    capacity_.end();
    bool const answered = co_await finish(exchange);
    records_.end(place, answered, clock_now());
}

asio::awaitable<bool> service_http::finish(http_exchange& exchange) {
    if (cut_answers_ > 0) {
        --cut_answers_;
        co_await lose_answer(exchange, longest_hold);
        co_return false;
    }
    if (errors_ > 0) {
        --errors_;
        co_await respond_named(
            exchange, json_response(500, "{\"error\":\"failed\"}"));
        co_return false;
    }
    camphorpoint::http_request const& request = exchange.request();
    std::string const id(request.fields.get("X-Request-Id"));
    camphorpoint::http_response response = json_response(
        200, boost::json::serialize(boost::json::object{
                 {"id", id}, {"echo", request.body.text()}}));
    response.fields.add("X-Request-Id", id);
    co_return co_await exchange.respond(std::move(response));
}

} // namespace standins
