#include "common/standin_main.hpp"

#include "Core/time.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <memory>
#include <string_view>
#include <utility>

namespace standins {

namespace asio = boost::asio;

int serve_standin(
    asio::io_context& io, std::string const& address,
    camphorpoint::http_handler handler) {
    camphorpoint::http_server server(
        io.get_executor(), camphorpoint::http_limits(), std::move(handler));
    std::string const problem =
        server.listen(camphorpoint::parse_address(address));
    if (!problem.empty()) {
        fmt::print(stderr, "cannot listen on {}: {}\n", address, problem);
        return 1;
    }
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](auto const&, int) { io.stop(); });
    io.run();
    return 0;
}

camphorpoint::http_response json_response(int status, std::string body) {
    camphorpoint::http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

asio::awaitable<void> respond_named(
    camphorpoint::http_exchange& exchange,
    camphorpoint::http_response response) {
    std::string_view const id = exchange.request().fields.get("X-Request-Id");
    if (!id.empty()) {
        response.fields.add("X-Request-Id", std::string(id));
    }
    co_await exchange.respond(std::move(response));
}

camphorpoint::instant clock_now() noexcept {
    return camphorpoint::boot_clock::now();
}

std::int64_t in_milliseconds(camphorpoint::instant at) noexcept {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               at.time_since_epoch())
        .count();
}

asio::awaitable<void> wait_for(std::chrono::milliseconds time) {
    asio::steady_timer timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> lose_answer(
    camphorpoint::http_exchange& exchange, std::chrono::milliseconds most) {
    auto timer = std::make_shared<asio::steady_timer>(
        co_await asio::this_coro::executor, most);
    exchange.on_caller_gone([timer] { timer->cancel(); });
    co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace standins
