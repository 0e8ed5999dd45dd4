#include "Ports/http_client.hpp"
#include "Ports/http_connection.hpp"
#include "test/ports/loopback.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;
using testing::raw_server;

namespace {

std::string const whole_answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

instant now() {
    return boot_clock::now();
}

fetch_result fetch_once(
    loopback& loop, http_pool* pool, ip_address to, call_times times = {}) {
    fetch_result result;
    loop.run([&]() -> asio::awaitable<void> {
        http_call call(loop.executor(), pool);
        http_request request;
        request.method = "POST";
        request.body = "x";
        result = co_await fetch(call, to, request, times);
    });
    return result;
}

} // namespace

TEST_CASE("a call says whether a byte can have left") {
    loopback loop;
    http_pool pool;
    std::string seen;

    SUBCASE("nothing listens: it was not sent") {
        auto const got = fetch_once(loop, &pool, testing::unused_address());
        CHECK(got.how == call_result::not_sent);
    }

    // A node is paused after it was granted a place, and goes on when the grant
    // has lapsed. The engine would run a request on a place that was given to
    // another. The check comes last before the first byte.
    SUBCASE("its time has passed: not a byte reaches the server") {
        raw_server server(
            loop,
            [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
                seen = co_await testing::read_until(socket, "");
            });
        call_times times;
        SUBCASE("before it connects") {
            times.send_before = now();
        }
        SUBCASE("long ago") {
            times.send_before = now() - std::chrono::hours(1);
        }
        auto const got = fetch_once(loop, &pool, server.address(), times);
        CHECK(got.how == call_result::not_sent);
        CHECK(seen.empty());
    }

    // The engine takes an order and dies, or the way back breaks: the order may
    // have been obeyed. Told as "not sent", it would be given again.
    SUBCASE("the answer is lost: it may have run") {
        std::string sent;
        SUBCASE("with the header") {}
        SUBCASE("within the body") {
            sent = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        }
        raw_server server(
            loop,
            [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
                seen = co_await testing::read_request(socket);
                co_await testing::write_text(socket, sent);
                socket.close();
            });
        auto const got = fetch_once(loop, &pool, server.address());
        CHECK(got.how == call_result::lost);
        CHECK(seen.starts_with("POST / HTTP/1.1"));
    }

    // An owner's lease ends while an engine is slow to take its order. Left
    // open, the connection could deliver it after the next owner's orders.
    SUBCASE("the time to close comes while the answer is awaited") {
        bool reset = false;
        raw_server server(
            loop,
            [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
                co_await testing::read_request(socket);
                std::string const rest =
                    co_await testing::read_until(socket, "");
                reset = rest.empty() || rest == "x";
            });
        call_times times;
        times.close_at = now() + std::chrono::milliseconds(50);
        auto const got = fetch_once(loop, &pool, server.address(), times);
        CHECK(got.how == call_result::lost);
        CHECK(loop.run_until([&] { return reset; }));
    }
}

TEST_CASE("idle connections are used again") {
    loopback loop;
    http_pool pool;
    int answers = 0;

    SUBCASE("two calls share one connection") {
        raw_server server(
            loop,
            [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
                for (; answers < 2; ++answers) {
                    co_await testing::read_until(socket, "\r\n\r\nx");
                    co_await testing::write_text(socket, whole_answer);
                }
            });
        CHECK(fetch_once(loop, &pool, server.address()).response.body == "ok");
        CHECK(pool.idle() == 1);
        CHECK(fetch_once(loop, &pool, server.address()).response.body == "ok");
        CHECK(server.connections() == 1);
    }

    // A server closes connections that were idle for some time. A call over one
    // of them would be lost, though nothing is wrong.
    SUBCASE("one that the server has closed is not used") {
        raw_server server(
            loop,
            [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
                co_await testing::read_until(socket, "\r\n\r\nx");
                co_await testing::write_text(socket, whole_answer);
                socket.close();
                ++answers;
            });
        fetch_once(loop, &pool, server.address());
        REQUIRE(loop.run_until([&] { return answers == 1; }));
        CHECK(
            fetch_once(loop, &pool, server.address()).how ==
            call_result::answered);
        CHECK(server.connections() == 2);
    }

    // The server dies between two calls on one connection. The second request
    // was written, so it may have run: it must not count as not sent.
    SUBCASE("one that breaks before the header came may have run") {
        raw_server server(
            loop,
            [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
                co_await testing::read_until(socket, "\r\n\r\nx");
                co_await testing::write_text(socket, whole_answer);
                co_await testing::read_until(socket, "\r\n\r\nx");
                socket.close();
            });
        fetch_once(loop, &pool, server.address());
        auto const got = fetch_once(loop, &pool, server.address());
        CHECK(got.how == call_result::lost);
        CHECK(server.connections() == 1);
    }

    SUBCASE("no more are kept than the limits say") {
        http_pool small({.idle_per_endpoint = 2, .idle_in_all = 3});
        ip_address const left = testing::local(1);
        ip_address const right = testing::local(2);
        for (int i = 0; i < 4; ++i) {
            using internal::http_connection;
            auto one = std::make_unique<http_connection>(loop.executor());
            auto other = std::make_unique<http_connection>(loop.executor());
            small.give(left, std::move(one), now());
            small.give(right, std::move(other), now());
        }
        CHECK(small.idle() == 3);
    }
}

// A server sends an interim answer ahead of the one that ends the call (RFC
// 9110, section 15.2). Taken for the end, the caller gets a head without an
// answer, and the answer itself is left on the connection.
TEST_CASE("an interim answer does not end a call") {
    loopback loop;
    http_pool pool;
    std::string const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    std::string sent = interim + whole_answer;
    auto expected = call_result::answered;
    SUBCASE("one") {}
    SUBCASE("two") {
        sent = interim + sent;
    }
    SUBCASE("without an answer behind it") {
        sent = interim;
        expected = call_result::lost;
    }
    SUBCASE("without end") {
        sent.clear();
        for (int each = 0; each < 1'000; ++each) {
            sent += interim;
        }
        expected = call_result::lost;
    }
    raw_server server(
        loop, [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
            co_await testing::read_until(socket, "\r\n\r\nx");
            co_await testing::write_text(socket, sent);
        });
    auto const got = fetch_once(loop, &pool, server.address());
    REQUIRE(got.how == expected);
    if (expected == call_result::answered) {
        CHECK(got.response.status == 200);
        CHECK(got.response.body == "ok");
    }
}

// A HEAD's answer tells the length of a body that does not follow. Waited for,
// it is the head of the next answer, or the call lasts until its time is over.
TEST_CASE("an answer to HEAD has no body") {
    loopback loop;
    http_pool pool;
    std::string const head = "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n";
    raw_server server(
        loop, [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
            co_await testing::read_request(socket);
            co_await testing::write_text(socket, head);
            co_await testing::read_until(socket, "\r\n\r\nx");
            co_await testing::write_text(socket, whole_answer);
        });
    fetch_result got;
    loop.run([&]() -> asio::awaitable<void> {
        http_call call(loop.executor(), &pool);
        http_request request;
        request.method = "HEAD";
        call_times times;
        times.each_step = std::chrono::milliseconds(300);
        got = co_await fetch(call, server.address(), request, times);
    });
    CHECK(got.how == call_result::answered);
    CHECK(got.response.body.empty());
    CHECK(fetch_once(loop, &pool, server.address()).response.body == "ok");
    CHECK(server.connections() == 1);
}

} // namespace camphorpoint
