#include "instances/instances_http.hpp"

#include "common/json_body.hpp"
#include "common/standin_main.hpp"

#include <boost/json/serialize.hpp>

namespace standins {

namespace asio = boost::asio;

asio::awaitable<void>
instances_http::answer(camphorpoint::http_exchange& exchange) {
    camphorpoint::http_request const& request = exchange.request();
    std::string_view const path = camphorpoint::path_of(request.target);
    if (path == "/admin") {
        co_await exchange.respond(administer(request.body.text()));
    } else if (path != "/instances") {
        co_await exchange.respond(json_response(404, "{}"));
    } else if (request.method == "PUT") {
        co_await exchange.respond(replace(request.body.text()));
    } else if (outage_) {
        co_await exchange.respond(json_response(503, "{}"));
    } else {
        std::string const text =
            boost::json::serialize(list_.read(clock_now()));
        co_await exchange.respond(json_response(200, text));
    }
}

camphorpoint::http_response instances_http::replace(std::string const& body) {
    json_body const list(body);
    if (!list.valid()) {
        return json_response(400, "{\"error\":\"not a JSON object\"}");
    }
    list_.put(list.object(), clock_now());
    return json_response(200, "{}");
}

camphorpoint::http_response
instances_http::administer(std::string const& body) {
    json_body const order(body);
    bool found = order.valid();
    if (order.has("lag_ms")) {
        list_.set_lag(std::chrono::milliseconds(order.integer("lag_ms", 0)));
    }
    outage_ = order.flag("outage", outage_);
    if (order.has("leaving")) {
        found = list_.set_state(order.text("leaving"), "leaving", clock_now());
    }
    if (order.has("remove")) {
        found = list_.remove(order.text("remove"), clock_now()) && found;
    }
    return json_response(found ? 200 : 404, "{}");
}

} // namespace standins
