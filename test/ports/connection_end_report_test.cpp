#include "Ports/connection_end.hpp"
#include "Ports/http_server.hpp"
#include "test/ports/loopback.hpp"
#include "test/ports/request_fate.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using testing::loopback;
using testing::send_now;

namespace {

constexpr milliseconds timeout{100};

std::string post(std::string const& id, std::string const& body) {
    return "POST / HTTP/1.1\r\nX-Request-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

/// A server whose connections' ends are kept, and one caller.
struct observed_server {
    explicit observed_server(http_limits limits = short_limits())
        : caller(loop.executor())
        , server(
              loop.executor(), std::move(limits),
              [this](http_exchange& exchange) { return handler(exchange); }) {
        server.observe_ends(
            [this](connection_end_report const& end) { ends.push_back(end); });
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    static http_limits short_limits() {
        http_limits limits;
        limits.body_bytes = 1'024;
        limits.idle_timeout = timeout;
        limits.read_timeout = timeout;
        return limits;
    }

    /// Connects and sends bytes.
    void send(std::string_view text) {
        caller.connect({asio::ip::address_v4::loopback(), server.port()});
        send_now(caller, text);
    }
    /// Reads the answer, and closes the connection.
    void read_and_close() {
        loop.run([this]() -> asio::awaitable<void> {
            co_await testing::read_fate(caller);
        });
        caller.close();
    }
    /// Waits for one end.
    connection_end_report const& end() {
        REQUIRE(loop.run_until([this] { return !ends.empty(); }));
        return ends.front();
    }

    loopback loop;
    std::vector<connection_end_report> ends;
    tcp::socket caller;
    http_handler handler =
        [](http_exchange& exchange) -> asio::awaitable<void> {
        http_response response;
        response.body = "ok";
        co_await exchange.respond(std::move(response));
    };
    http_server server;
};

} // namespace

// Guards against complaints that can't be traced: a request that never reached
// a handler left no line in any log.
TEST_CASE("the end of a connection without an answer is reported") {
    observed_server world;

    SUBCASE("with the bytes of half a request whose caller left") {
        std::string const half = post("q1", "x").substr(0, 30);
        world.send(half);
        world.caller.close();
        CHECK(world.end().why == connection_end::half_request);
        CHECK(world.end().bytes_read == half.size());
        CHECK(world.end().status == 0);
    }
    SUBCASE("with the id of a body that does not come in time") {
        std::string const text = post("q1", "xyz");
        world.send(text.substr(0, text.size() - 1));
        world.read_and_close();
        CHECK(world.end().why == connection_end::read_timeout);
        CHECK(world.end().id == "q1");
        CHECK(world.end().status == 408);
        CHECK(world.end().bytes_read == text.size() - 1);
    }
    SUBCASE("with the id of a request that is too large") {
        world.send(post("q1", std::string(2'000, 'x')));
        world.read_and_close();
        CHECK(world.end().why == connection_end::too_large);
        CHECK(world.end().id == "q1");
        CHECK(world.end().status == 413);
    }
    SUBCASE("of bytes that are no request") {
        world.send("hello\r\n\r\n");
        world.read_and_close();
        CHECK(world.end().why == connection_end::bad_request);
        CHECK(world.end().status == 400);
    }
    SUBCASE("by its idle time") {
        world.send(post("q1", "x"));
        CHECK(world.end().why == connection_end::idle);
        CHECK(world.end().bytes_read == 0);
    }
    SUBCASE("by a shutdown") {
        world.send(post("q1", "x"));
        world.loop.run([&]() -> asio::awaitable<void> {
            co_await testing::read_fate(world.caller);
        });
        world.server.finish_connections();
        CHECK(world.end().why == connection_end::shutdown);
        CHECK(world.end().bytes_read == 0);
    }
    SUBCASE("with the bytes that came behind the last answer") {
        std::string text = post("q1", "x");
        text.insert(text.find("\r\n") + 2, "Connection: close\r\n");
        world.send(text + "POST");
        CHECK(world.end().why == connection_end::behind_last);
        CHECK(world.end().bytes_read == 4);
    }
    SUBCASE("of a new connection at an overloaded server") {
        world.server.refuse_while([] { return true; });
        world.send("POST");
        CHECK(world.end().why == connection_end::overload);
        CHECK(world.end().bytes_read == 0);
        CHECK(world.end().bytes_unread == 4);
    }
}

TEST_CASE("an answer that is not whole is reported with its request") {
    observed_server world;
    std::string const text = post("q1", "x");

    SUBCASE("none was given") {
        world.handler = [](http_exchange&) -> asio::awaitable<void> {
            co_return;
        };
        world.send(text);
        CHECK(world.end().why == connection_end::unanswered);
    }
    SUBCASE("it was cut") {
        world.handler = [](http_exchange& exchange) -> asio::awaitable<void> {
            co_await exchange.begin_stream(200, http_fields());
            co_await exchange.write_piece("half");
        };
        world.send(text);
        CHECK(world.end().why == connection_end::cut);
    }
    SUBCASE("its handler failed") {
        world.handler = [](http_exchange&) -> asio::awaitable<void> {
            throw std::runtime_error("out of memory");
            co_return;
        };
        world.send(text);
        CHECK(world.end().why == connection_end::handler_failed);
        CHECK(world.end().status == 500);
    }
    SUBCASE("its caller left") {
        world.handler = [&](http_exchange&) -> asio::awaitable<void> {
            world.caller.close();
            co_return;
        };
        world.send(text);
        CHECK(world.end().why == connection_end::caller_gone);
    }
    SUBCASE("the server was closed") {
        asio::steady_timer never(
            world.loop.io(), asio::steady_timer::time_point::max());
        bool running = false;
        world.handler = [&](http_exchange&) -> asio::awaitable<void> {
            running = true;
            co_await never.async_wait(asio::as_tuple(asio::use_awaitable));
        };
        world.send(text);
        REQUIRE(world.loop.run_until([&] { return running; }));
        world.server.close();
        CHECK(world.end().why == connection_end::closed);
        never.cancel();
        CHECK(world.loop.run_until(
            [&] { return world.server.open_connections() == 0; }));
        CHECK(world.ends.size() == 1);
    }
    CHECK(world.end().id == "q1");
    CHECK(world.end().bytes_read == text.size());
}

TEST_CASE("an end by the caller after a whole answer is not reported") {
    observed_server world;
    world.send(post("q1", "x"));
    world.read_and_close();
    CHECK(world.loop.run_until(
        [&] { return world.server.open_connections() == 0; }));
    CHECK(world.ends.empty());
}

// Guards against a log that a flood of connections fills.
TEST_CASE("ends of many connections are summed up") {
    connection_end_summary summary;
    instant now{std::chrono::seconds(10)};
    connection_end_report end;
    unsigned logged = 0;

    SUBCASE("those that were closed unread always") {
        end.why = connection_end::overload;
        end.bytes_unread = 3;
        for (int each = 0; each < 1'000; ++each) {
            logged += summary.add(end, now) ? 1 : 0;
        }
        CHECK(logged == 0);
        auto const sums = summary.take(now);
        REQUIRE(sums.size() == 1);
        CHECK(sums.front().why == connection_end::overload);
        CHECK(sums.front().connections == 1'000);
        CHECK(sums.front().bytes_unread == 3'000);
    }
    SUBCASE("those with a request beyond twenty in a second") {
        end.why = connection_end::half_request;
        end.bytes_read = 5;
        for (int each = 0; each < 50; ++each) {
            logged += summary.add(end, now) ? 1 : 0;
        }
        CHECK(logged == 20);
        auto const sums = summary.take(now);
        REQUIRE(sums.size() == 1);
        CHECK(sums.front().connections == 30);
        CHECK(sums.front().bytes_read == 150);

        now += std::chrono::milliseconds(900);
        summary.add(end, now);
        CHECK(summary.take(now).empty());
        now += std::chrono::milliseconds(100);
        CHECK(summary.take(now).size() == 1);
        CHECK(summary.add(end, now));
    }
}

} // namespace camphorpoint
