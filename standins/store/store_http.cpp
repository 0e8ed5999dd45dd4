#include "store/store_http.hpp"

#include "common/json_body.hpp"
#include "common/standin_main.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace standins {

namespace asio = boost::asio;

asio::awaitable<void>
store_http::answer(camphorpoint::http_exchange& exchange) {
    camphorpoint::http_request const& request = exchange.request();
    std::string_view const path = camphorpoint::path_of(request.target);
    if (path == "/fetch") {
        co_await fetch(exchange);
    } else if (path == "/records") {
        co_await exchange.respond(json_response(200, records()));
    } else if (path == "/admin") {
        json_body const order(request.body);
        down_ = order.flag("down", down_);
        slow_ = order.number("slow", slow_);
        co_await exchange.respond(json_response(200, "{}"));
    } else {
        co_await exchange.respond(json_response(404, "{}"));
    }
}

asio::awaitable<void> store_http::fetch(camphorpoint::http_exchange& exchange) {
    if (down_) {
        ++refused_;
        co_await exchange.respond(json_response(503, "{\"error\":\"down\"}"));
        co_return;
    }
    camphorpoint::duration const time = pace_.begin(clock_now(), slow_);
    co_await wait_for(
        std::chrono::duration_cast<std::chrono::milliseconds>(time));
    pace_.end();
    ++fetches_;
    co_await exchange.respond(json_response(200, "{\"fetched\":true}"));
}

std::string store_http::records() const {
    return boost::json::serialize(boost::json::object{
        {"fetches", fetches_},
        {"refused", refused_},
        {"active", pace_.active()}});
}

} // namespace standins
