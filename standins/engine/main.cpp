#include "Ports/event_stream.hpp"
#include "common/standin_main.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <chrono>
#include <set>
#include <string>

ABSL_FLAG(std::string, listen, "127.0.0.1:7101", "address to serve on");
ABSL_FLAG(int, step_ms, 20, "time between two tokens of one answer");
ABSL_FLAG(int, load_ms, 200, "time that an adapter takes to load");

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;

/// A model engine: loads adapters on order, and streams answers.
class engine_standin {
public:
    explicit engine_standin(asio::io_context& io)
        : io_(io) {}

    asio::awaitable<void> answer(camphorpoint::http_exchange& exchange) {
        camphorpoint::http_request const& request = exchange.request();
        auto const path = camphorpoint::path_of(request.target);
        if (request.method == "POST" && path == "/orders") {
            co_await take_order(exchange);
        } else if (request.method == "POST" && path == "/v1/chat/completions") {
            co_await complete(exchange);
        } else {
            co_await exchange.respond(json_response(404, "{}"));
        }
    }

private:
    asio::awaitable<void> pause(std::chrono::milliseconds time) {
        asio::steady_timer timer(io_, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    asio::awaitable<void> take_order(camphorpoint::http_exchange& exchange) {
        json::error_code error;
        json::value const order = json::parse(exchange.request().body, error);
        if (error || !order.is_object()) {
            co_await exchange.respond(json_response(400, "{}"));
            co_return;
        }
        std::string const adapter(order.at("adapter").as_string());
        if (order.at("order").as_string() == "load") {
            co_await pause(
                std::chrono::milliseconds(absl::GetFlag(FLAGS_load_ms)));
            loaded_.insert(adapter);
        } else {
            loaded_.erase(adapter);
        }
        co_await exchange.respond(json_response(200, "{\"ok\":true}"));
    }

    asio::awaitable<void> complete(camphorpoint::http_exchange& exchange) {
        json::error_code error;
        json::value const body = json::parse(exchange.request().body, error);
        if (error || !body.is_object() || !body.as_object().contains("model")) {
            co_await exchange.respond(json_response(400, "{}"));
            co_return;
        }
        std::string const adapter(body.at("model").as_string());
        std::string const id(exchange.request().fields.get("X-Request-Id"));
        if (!loaded_.contains(adapter)) {
            co_await exchange.respond(
                json_response(409, "{\"error\":\"not-loaded\"}"));
            co_return;
        }
        camphorpoint::http_fields fields;
        fields.add("Content-Type", "text/event-stream");
        fields.add("X-Request-Id", id);
        co_await exchange.begin_stream(200, fields);
        int tokens = 16;
        if (auto const* most = body.as_object().if_contains("max_tokens")) {
            tokens = static_cast<int>(most->to_number<std::int64_t>(error));
        }
        for (int index = 0; index < tokens; ++index) {
            co_await pause(
                std::chrono::milliseconds(absl::GetFlag(FLAGS_step_ms)));
            json::object chunk{
                {"id", id}, {"model", adapter}, {"token", index}};
            chunk["choices"] = json::array{json::object{
                {"index", 0},
                {"delta", {{"content", fmt::format("w{} ", index)}}}}};
            camphorpoint::stream_event const event{
                std::to_string(index), "", json::serialize(chunk)};
            std::string const text = camphorpoint::write_event(event);
            bool const sent = co_await exchange.write_piece(text);
            if (!sent) {
                co_return;
            }
        }
        camphorpoint::stream_event const last{"", "", "[DONE]"};
        std::string const text = camphorpoint::write_event(last);
        co_await exchange.write_piece(text);
        co_await exchange.end_stream();
    }

    asio::io_context& io_;
    std::set<std::string> loaded_;
};

} // namespace standins

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context io(1);
    standins::engine_standin engine(io);
    return standins::serve_standin(
        io, absl::GetFlag(FLAGS_listen),
        [&](camphorpoint::http_exchange& exchange) {
            return engine.answer(exchange);
        });
}
