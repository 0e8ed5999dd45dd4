#include "Core/time.hpp"
#include "Ports/http_server.hpp"
#include "test/ports/loopback.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;
using testing::raw_server;

namespace {

constexpr std::size_t megabyte = std::size_t{1} << 20U;
constexpr std::size_t largest_body = 4 * megabyte;

/// @param bodies null for a budget of the server alone
http_limits limits(std::shared_ptr<body_budget> bodies) {
    http_limits limits;
    limits.body_bytes = largest_body;
    limits.bodies = std::move(bodies);
    return limits;
}

/// Answers each request at once.
struct answering_server {
    explicit answering_server(
        loopback& loop, std::shared_ptr<body_budget> bodies = nullptr)
        : server_(
              loop.executor(), limits(std::move(bodies)),
              [](http_exchange& exchange) { return answer(exchange); }) {
        REQUIRE(server_.listen(testing::local(0)).empty());
    }

    ip_address address() const { return testing::local(server_.port()); }

private:
    static asio::awaitable<void> answer(http_exchange& exchange) {
        http_response response;
        response.body = std::to_string(exchange.request().body.size());
        co_await exchange.respond(std::move(response));
    }

    http_server server_;
};

std::string head_of(std::size_t length) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

/// Sends bytes on a connection of their own.
/// @returns the connection, which the server has not answered
raw_server::socket_type
send(loopback& loop, ip_address const& to, std::string const& text) {
    raw_server::socket_type socket(loop.executor());
    loop.run([&]() -> asio::awaitable<void> {
        socket = co_await testing::connect_to(to);
        co_await testing::write_text(socket, text);
    });
    return socket;
}

/// Sends a request.
/// @returns the answer, up to this text
std::string
ask(loopback& loop, ip_address const& to, std::string const& text,
    std::string const& until) {
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        raw_server::socket_type socket = co_await testing::connect_to(to);
        co_await testing::write_text(socket, text);
        answer = co_await testing::read_until(socket, until);
    });
    return answer;
}

} // namespace

// Guards against callers that announce large bodies, send nothing of them, and
// so use up what all requests share.
TEST_CASE("a body that was only announced takes no memory from others") {
    loopback loop;
    answering_server const server(loop);
    std::deque<raw_server::socket_type> silent;
    constexpr std::size_t callers = 40;
    for (std::size_t each = 0; each < callers; ++each) {
        silent.push_back(send(loop, server.address(), head_of(largest_body)));
    }
    std::string const large(largest_body, 'x');
    std::string const whole = head_of(large.size()) + large;
    CHECK(ask(loop, server.address(), whole, "4194304")
              .starts_with("HTTP/1.1 200"));
    std::string const chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: "
                                "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    CHECK(ask(loop, server.address(), chunked, "\r\n\r\n3")
              .starts_with("HTTP/1.1 200"));
}

// Guards against callers that stop half way in bodies to both servers of a
// node: each server kept what its own bound allowed.
TEST_CASE("servers share one bound for bodies, and small requests go on") {
    loopback loop;
    auto const bodies = std::make_shared<body_budget>();
    answering_server const callers(loop, bodies);
    answering_server const relays(loop, bodies);
    std::deque<raw_server::socket_type> halves;
    std::string const half =
        head_of(largest_body) + std::string(largest_body - 1, 'x');
    constexpr std::size_t senders = 40;
    for (std::size_t each = 0; each < senders; ++each) {
        answering_server const& to = each % 2 == 0 ? callers : relays;
        halves.push_back(send(loop, to.address(), half));
        // As fast as without the large bodies.
        instant const begun = boot_clock::now();
        CHECK(ask(loop, callers.address(), head_of(3) + "abc", "\r\n\r\n3")
                  .starts_with("HTTP/1.1 200"));
        CHECK(boot_clock::now() - begun < std::chrono::milliseconds(200));
    }
    constexpr std::size_t most_kept = 64 * megabyte;
    CHECK(bodies->peak() <= most_kept);
    CHECK(bodies->peak() > most_kept / 2);
    // Bodies that no longer arrive yield to one that does.
    std::string const whole = half + "x";
    loop.run([&]() -> asio::awaitable<void> {
        asio::steady_timer timer(loop.io());
        timer.expires_after(std::chrono::milliseconds(1'100));
        co_await timer.async_wait(asio::use_awaitable);
    });
    CHECK(ask(loop, callers.address(), whole, "4194304")
              .starts_with("HTTP/1.1 200"));
    CHECK(bodies->yields() > 0);
    CHECK(bodies->peak() <= most_kept);
}

// Guards against a caller that sends a body again although it has run, or that
// gives up although it has not.
TEST_CASE("a body that yields is refused as not run") {
    loopback loop;
    auto const bodies = std::make_shared<body_budget>(
        body_budget_limits{.in_all = 8 * megabyte});
    answering_server const server(loop, bodies);
    std::string const half =
        head_of(largest_body) + std::string(largest_body - 1, 'x');
    auto paused = send(loop, server.address(), half);
    loop.run([&]() -> asio::awaitable<void> {
        asio::steady_timer timer(loop.io());
        timer.expires_after(std::chrono::milliseconds(1'100));
        co_await timer.async_wait(asio::use_awaitable);
    });
    CHECK(ask(loop, server.address(), half + "x", "4194304")
              .starts_with("HTTP/1.1 200"));
    std::string refusal;
    loop.run([&]() -> asio::awaitable<void> {
        refusal = co_await testing::read_until(paused, "");
    });
    CHECK(refusal.starts_with("HTTP/1.1 503"));
    CHECK(refusal.find("X-Outcome: not-run") != std::string::npos);
    CHECK(refusal.find("Connection: close") != std::string::npos);
    CHECK(refusal.find("Retry-After: 1") != std::string::npos);
    CHECK(bodies->held() == 0);
}

} // namespace camphorpoint
