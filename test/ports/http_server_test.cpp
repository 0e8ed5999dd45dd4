#include "Core/time.hpp"
#include "Ports/http_server.hpp"
#include "test/ports/loopback.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;
using testing::raw_server;

namespace {

struct test_server {
    test_server(loopback& loop, http_limits limits)
        : server(
              loop.executor(), std::move(limits),
              [this](http_exchange& exchange) { return answer(exchange); }) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    asio::awaitable<void> answer(http_exchange& exchange) {
        ++handled;
        if (handler) {
            co_await handler(exchange);
            co_return;
        }
        http_response response;
        response.body = exchange.request().body;
        co_await exchange.respond(std::move(response));
    }

    int handled = 0;
    http_handler handler;
    http_server server;
};

/// Sends bytes as they stand. @returns all that comes back
std::string talk(loopback& loop, test_server const& to, std::string text) {
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        raw_server::socket_type socket =
            co_await testing::connect_to(testing::local(to.server.port()));
        co_await testing::write_text(socket, text);
        answer = co_await testing::read_until(socket, "");
    });
    return answer;
}

std::string post(std::string const& body) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

bool refused_as(std::string const& answer, std::string const& status) {
    return answer.starts_with("HTTP/1.1 " + status) &&
           answer.find("X-Outcome: not-run") != std::string::npos;
}

} // namespace

TEST_CASE("a server refuses what it can't take, and says that it didn't run") {
    loopback loop;
    http_limits limits;
    limits.body_bytes = 1'024;
    limits.header_bytes = 2'048;
    limits.read_timeout = std::chrono::milliseconds(100);
    limits.write_timeout = std::chrono::milliseconds(100);
    limits.bodies_in_all = 1'500;
    test_server server(loop, limits);

    SUBCASE("a body that is too large") {
        std::string const large(200'000, 'x');
        CHECK(refused_as(talk(loop, server, post(large)), "413"));
    }
    SUBCASE("a chunked body that is too large") {
        std::string const text =
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n" +
            std::string(4'096, 'x') + "\r\n0\r\n\r\n";
        CHECK(refused_as(talk(loop, server, text), "413"));
    }
    SUBCASE("a header that is too large") {
        std::string const text =
            "GET / HTTP/1.1\r\nX-Long: " + std::string(4'000, 'x') + "\r\n\r\n";
        CHECK(refused_as(talk(loop, server, text), "413"));
    }
    SUBCASE("what is no HTTP") {
        CHECK(refused_as(talk(loop, server, "hello\r\n\r\n"), "400"));
    }
    // A caller sends a header byte by byte, or stops in the middle: each such
    // connection would be held for ever.
    SUBCASE("a header that doesn't end") {
        CHECK(refused_as(talk(loop, server, "GET / HTTP/1.1\r\n"), "408"));
    }
    SUBCASE("a body that doesn't come") {
        std::string const text = "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n";
        CHECK(refused_as(talk(loop, server, text), "408"));
    }
    CHECK(server.handled == 0);
    CHECK(
        loop.run_until([&] { return server.server.open_connections() == 0; }));
}

TEST_CASE("bodies of all connections together are bounded") {
    // Thousands of callers send a large body each: together more than a small
    // instance has, though each is within its limit.
    loopback loop;
    http_limits limits;
    limits.body_bytes = 1'024;
    limits.bodies_in_all = 1'500;
    test_server server(loop, limits);
    std::string first;
    std::string second;
    std::optional<raw_server::socket_type> slow;
    loop.run([&]() -> asio::awaitable<void> {
        ip_address const address = testing::local(server.server.port());
        slow.emplace(co_await testing::connect_to(address));
        std::string const body(1'000, 'x');
        std::string const text = post(body);
        // All but the last byte: the budget is held until it comes.
        co_await testing::write_text(*slow, text.substr(0, text.size() - 1));
    });
    loop.run_until([&] { return server.server.open_connections() == 1; });
    loop.run([&]() -> asio::awaitable<void> {
        ip_address const address = testing::local(server.server.port());
        raw_server::socket_type other = co_await testing::connect_to(address);
        std::string const body(1'000, 'x');
        std::string const text = post(body);
        co_await testing::write_text(other, text);
        second = co_await testing::read_until(other, "");
        co_await testing::write_text(*slow, "x");
        first = co_await testing::read_until(*slow, std::string(1'000, 'x'));
    });
    CHECK(refused_as(second, "503"));
    CHECK(second.find("limit-reached") != std::string::npos);
    CHECK(first.starts_with("HTTP/1.1 200"));
}

TEST_CASE("a server notices callers that go away or don't read") {
    loopback loop;
    http_limits limits;
    limits.write_timeout = std::chrono::milliseconds(100);
    test_server server(loop, limits);
    bool gone = false;
    bool refused = false;

    // A phone loses its network while its request waits in a queue. Unnoticed,
    // the request would take an engine's place for nobody.
    SUBCASE("the caller closes while it waits") {
        server.handler = [&](http_exchange& exchange) -> asio::awaitable<void> {
            exchange.on_caller_gone([&] { gone = true; });
            co_return;
        };
        loop.run([&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket = co_await testing::connect_to(
                testing::local(server.server.port()));
            co_await testing::write_text(socket, post("x"));
        });
        // The handler returned without an answer, so the connection ends; the
        // callback belongs to the exchange and must not outlive it.
        CHECK(loop.run_until(
            [&] { return server.server.open_connections() == 0; }));
        CHECK_FALSE(gone);
    }

    SUBCASE("the caller closes while the handler waits") {
        auto timer = std::make_shared<asio::steady_timer>(
            loop.io(), asio::steady_timer::time_point::max());
        server.handler =
            [&, timer](http_exchange& exchange) -> asio::awaitable<void> {
            exchange.on_caller_gone([&, timer] {
                gone = true;
                timer->cancel();
            });
            try {
                co_await timer->async_wait(asio::use_awaitable);
            } catch (std::exception const&) {
                refused = true;
            }
        };
        loop.run([&]() -> asio::awaitable<void> {
            asio::ip::tcp::socket socket = co_await testing::connect_to(
                testing::local(server.server.port()));
            co_await testing::write_text(socket, post("x"));
        });
        CHECK(loop.run_until([&] { return gone && refused; }));
    }

    // A caller that sends its next request early leaves. Its first request
    // would be worked on for nobody.
    SUBCASE("the caller closes behind its next request") {
        asio::steady_timer forever(
            loop.io(), asio::steady_timer::time_point::max());
        server.handler = [&](http_exchange& exchange) -> asio::awaitable<void> {
            exchange.on_caller_gone([&] {
                gone = true;
                forever.cancel();
            });
            boost::system::error_code ignored;
            co_await forever.async_wait(
                asio::redirect_error(asio::use_awaitable, ignored));
        };
        bool resets = false;
        bool together = false;
        SUBCASE("that waits in the kernel") {}
        SUBCASE("that was read with the first one") {
            together = true;
        }
        SUBCASE("by a reset") {
            resets = true;
        }
        std::optional<raw_server::socket_type> caller;
        loop.run([&]() -> asio::awaitable<void> {
            caller.emplace(co_await testing::connect_to(
                testing::local(server.server.port())));
            std::string const text =
                together ? post("x") + post("y") : post("x");
            co_await testing::write_text(*caller, text);
        });
        REQUIRE(loop.run_until([&] { return server.handled == 1; }));
        loop.run([&]() -> asio::awaitable<void> {
            std::string const next = post("z");
            co_await testing::write_text(*caller, next);
            asio::steady_timer timer(loop.io(), std::chrono::milliseconds(300));
            co_await timer.async_wait(asio::use_awaitable);
        });
        CHECK_FALSE(gone);
        auto const left = boot_clock::now();
        if (resets) {
            caller->set_option(asio::socket_base::linger(true, 0));
        }
        caller.reset();
        asio::steady_timer limit(loop.io(), std::chrono::milliseconds(500));
        limit.async_wait([&](auto const&) { forever.cancel(); });
        CHECK(loop.run_until(
            [&] { return server.server.open_connections() == 0; }));
        CHECK(gone);
        CHECK(boot_clock::now() - left < std::chrono::milliseconds(500));
        CHECK(server.handled == 1);
    }

    // A caller asks for a stream and never reads it. Without a limit the node
    // would keep the whole stream, and the connection, for ever.
    SUBCASE("the caller never reads") {
        std::size_t written = 0;
        server.handler = [&](http_exchange& exchange) -> asio::awaitable<void> {
            co_await exchange.begin_stream(200, http_fields());
            std::string const piece(64'000, 'x');
            while (co_await exchange.write_piece(piece)) {
                written += piece.size();
            }
            refused = true;
        };
        std::optional<raw_server::socket_type> caller;
        loop.run([&]() -> asio::awaitable<void> {
            caller.emplace(co_await testing::connect_to(
                testing::local(server.server.port())));
            std::string const text = post("x");
            co_await testing::write_text(*caller, text);
        });
        CHECK(loop.run_until([&] { return refused; }));
        // What the two kernels hold for one connection, and no more.
        CHECK(written < 32'000'000);
    }
}

TEST_CASE("nothing is written into an answer that has begun") {
    loopback loop;
    test_server server(loop, http_limits());

    // A node runs out of memory in the middle of a stream. What the caller
    // reads must be a cut stream, not the head of another answer within it.
    SUBCASE("by a handler that fails") {
        server.handler = [](http_exchange& exchange) -> asio::awaitable<void> {
            co_await exchange.begin_stream(200, http_fields());
            co_await exchange.write_piece("half");
            throw std::runtime_error("out of memory");
        };
        std::string const got = talk(loop, server, post("x"));
        CHECK(got.starts_with("HTTP/1.1 200"));
        CHECK(got.ends_with("\r\n\r\n4\r\nhalf\r\n"));
        CHECK(server.handled == 1);
    }
    SUBCASE("by a handler that answers again") {
        bool again = true;
        server.handler = [&](http_exchange& exchange) -> asio::awaitable<void> {
            co_await exchange.begin_stream(200, http_fields());
            co_await exchange.write_piece("half");
            again = co_await exchange.respond(http_response());
        };
        std::string const got = talk(loop, server, post("x"));
        CHECK_FALSE(again);
        CHECK(got.ends_with("\r\n\r\n4\r\nhalf\r\n"));
    }
    SUBCASE("by a handler that fails before it has") {
        server.handler = [](http_exchange&) -> asio::awaitable<void> {
            throw std::runtime_error("out of memory");
            co_return;
        };
        std::string const got = talk(loop, server, post("x"));
        CHECK(got.starts_with("HTTP/1.1 500"));
    }
}

// A HEAD's answer has no body. One that is sent is read as the head of the next
// answer on the connection.
TEST_CASE("a server sends no body to HEAD") {
    loopback loop;
    test_server server(loop, http_limits());
    server.handler = [](http_exchange& exchange) -> asio::awaitable<void> {
        http_response response;
        response.body = "four";
        if (exchange.request().target == "/whole") {
            co_await exchange.respond(std::move(response));
            co_return;
        }
        co_await exchange.begin_stream(200, http_fields());
        co_await exchange.write_piece("four");
        co_await exchange.end_stream();
    };
    std::string path;
    std::string told;
    SUBCASE("of a whole answer") {
        path = "/whole";
        told = "Content-Length: 4\r\n\r\n";
    }
    SUBCASE("of a stream") {
        path = "/stream";
        told = "Transfer-Encoding: chunked\r\n\r\n";
    }
    std::string const head = "HEAD " + path + " HTTP/1.1\r\n\r\n";
    std::string const last = "GET /whole HTTP/1.1\r\nConnection: close\r\n\r\n";
    std::string const got = talk(loop, server, head + last);
    CHECK(got.find(told + "HTTP/1.1 200") != std::string::npos);
    CHECK(got.ends_with("\r\n\r\nfour"));
    CHECK(server.handled == 2);
}

} // namespace camphorpoint
