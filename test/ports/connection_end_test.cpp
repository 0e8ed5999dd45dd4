#include "Ports/http_server.hpp"
#include "test/ports/loopback.hpp"
#include "test/ports/request_fate.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using testing::loopback;
using testing::request_fate;
using testing::request_fates;
using testing::send_now;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds idle_timeout{200};
/// Bytes that are sent arrive within this time.
constexpr milliseconds delivery_time{20};
/// Bytes that have arrived are acknowledged within this time.
constexpr milliseconds acknowledgement_time{100};
constexpr std::string_view request_text =
    "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";

/// A server that answers "ok", and callers that keep their connections.
struct kept_connections {
    kept_connections()
        : server(loop.executor(), limits(), [this](http_exchange& exchange) {
            return answer(exchange);
        }) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    static http_limits limits() {
        http_limits limits;
        limits.idle_timeout = idle_timeout;
        return limits;
    }

    asio::awaitable<void> answer(http_exchange& exchange) {
        ++handled;
        if (during_request) {
            during_request();
        }
        if (!answers) {
            co_return;
        }
        http_response response;
        response.body = "ok";
        co_await exchange.respond(std::move(response));
    }

    /// Connects and has one request answered.
    tcp::socket& connect() {
        callers.push_back(std::make_unique<tcp::socket>(loop.executor()));
        tcp::socket& caller = *callers.back();
        loop.run([&]() -> asio::awaitable<void> {
            caller =
                co_await testing::connect_to(testing::local(server.port()));
            // A second request must not wait for the first one's
            // acknowledgement.
            caller.set_option(tcp::no_delay(true));
            std::string const text(request_text);
            co_await testing::write_text(caller, text);
            co_await testing::read_until(caller, "\r\n\r\nok");
        });
        return caller;
    }

    /// Runs the loop for a time.
    void run_for(milliseconds time) {
        asio::steady_timer timer(loop.io(), time);
        bool passed = false;
        timer.async_wait([&](boost::system::error_code) { passed = true; });
        REQUIRE(loop.run_until([&] { return passed; }));
    }

    /// Waits for what becomes of a request that was sent.
    request_fate await_fate(tcp::socket& caller) {
        request_fate result = request_fate::pending;
        loop.run([&]() -> asio::awaitable<void> {
            result = co_await testing::read_fate(caller);
        });
        return result;
    }

    loopback loop;
    int handled = 0;
    /// The handler answers requests.
    bool answers = true;
    std::function<void()> during_request;
    std::vector<std::unique_ptr<tcp::socket>> callers;
    http_server server;
};

/// When a caller sends its next request, from the end of its connection or from
/// the shutdown: each millisecond once, in an order that mixes early and late
/// ones.
constexpr int callers_around_end = 60;
milliseconds offset_of(int caller) {
    constexpr int step = 37;
    return milliseconds(
        caller * step % callers_around_end - callers_around_end / 2);
}

/// Sends a second request on a connection at the given time.
void send_at(
    kept_connections& world, tcp::socket& caller,
    std::chrono::steady_clock::time_point when, request_fates& result) {
    asio::co_spawn(
        world.loop.io(),
        [&world, &caller, &result, when]() -> asio::awaitable<void> {
            asio::steady_timer timer(world.loop.executor(), when);
            co_await timer.async_wait(use_result);
            request_fate what = request_fate::reset;
            if (!send_now(caller, request_text)) {
                what = co_await testing::read_fate(caller);
            }
            result.add(what);
        },
        asio::detached);
}

request_fates send_around_idle_end(kept_connections& world) {
    request_fates result;
    for (int each = 0; each < callers_around_end; ++each) {
        tcp::socket& caller = world.connect();
        auto const idle_since = std::chrono::steady_clock::now();
        send_at(
            world, caller, idle_since + idle_timeout + offset_of(each), result);
    }
    REQUIRE(world.loop.run_until(
        [&] { return result.sum() == callers_around_end; }));
    return result;
}

request_fates send_around_shutdown(kept_connections& world) {
    request_fates result;
    for (int each = 0; each < callers_around_end; ++each) {
        world.connect();
    }
    auto const shutdown =
        std::chrono::steady_clock::now() + milliseconds(callers_around_end);
    for (int each = 0; each < callers_around_end; ++each) {
        tcp::socket& caller = *world.callers.at(static_cast<std::size_t>(each));
        send_at(world, caller, shutdown + offset_of(each), result);
    }
    asio::steady_timer timer(world.loop.executor(), shutdown);
    timer.async_wait(
        [&](boost::system::error_code) { world.server.finish_connections(); });
    REQUIRE(world.loop.run_until(
        [&] { return result.sum() == callers_around_end; }));
    return result;
}

} // namespace

// Guards against requests that cross the end of a kept connection and are read
// and thrown away: their callers can't know that these were not run.
TEST_CASE("a request that crosses the end of its connection is not swallowed") {
    kept_connections world;

    SUBCASE("sent at each millisecond around the idle end") {
        request_fates const result = send_around_idle_end(world);
        CHECK(result.read_unanswered == 0);
        CHECK(result.answered > 0);
        CHECK(result.reset > 0);
    }
    SUBCASE("sent at each millisecond around a shutdown") {
        request_fates const result = send_around_shutdown(world);
        CHECK(result.read_unanswered == 0);
        CHECK(result.answered > 0);
        CHECK(result.reset > 0);
    }
    SUBCASE("that has arrived right before a shutdown is answered") {
        tcp::socket& caller = world.connect();
        send_now(caller, request_text);
        world.server.finish_connections();
        CHECK(world.await_fate(caller) == request_fate::answered);
        CHECK(world.handled == 2);
    }
    SUBCASE("that has arrived while the loop was busy is answered") {
        tcp::socket& caller = world.connect();
        asio::steady_timer busy(
            world.loop.io(), idle_timeout - milliseconds(40));
        busy.async_wait([](boost::system::error_code) {
            std::this_thread::sleep_for(milliseconds(80));
        });
        // This timer and that of the idle end expire while the loop is busy;
        // the loop has looked for bytes before this one sends them.
        asio::steady_timer arrival(
            world.loop.io(), idle_timeout - milliseconds(20));
        arrival.async_wait(
            [&](boost::system::error_code) { send_now(caller, request_text); });
        CHECK(world.await_fate(caller) == request_fate::answered);
        CHECK(world.handled == 2);
    }
    SUBCASE("that is sent after the end is reset") {
        tcp::socket& caller = world.connect();
        world.run_for(idle_timeout + milliseconds(30));
        send_now(caller, request_text);
        CHECK(world.await_fate(caller) == request_fate::reset);
        CHECK(world.handled == 1);
    }
    SUBCASE("of which only a part has arrived is read on") {
        tcp::socket& caller = world.connect();
        send_now(caller, request_text.substr(0, 9));
        world.server.finish_connections();
        world.run_for(milliseconds(20));
        send_now(caller, request_text.substr(9));
        CHECK(world.await_fate(caller) == request_fate::answered);
    }
}

// Guards against requests that wait behind another one on their connection and
// are dropped when the answer before them ends the connection.
TEST_CASE("a request behind another one is answered or left unread") {
    kept_connections world;
    tcp::socket& caller = world.connect();
    std::string answers;
    auto const read_all = [&] {
        world.loop.run([&]() -> asio::awaitable<void> {
            answers = co_await testing::read_until(caller, "");
        });
    };
    auto const count = [&](std::string_view text) {
        int found = 0;
        for (std::size_t at = answers.find(text); at != std::string::npos;
             at = answers.find(text, at + 1)) {
            ++found;
        }
        return found;
    };

    SUBCASE("both are read together, and the shutdown begins") {
        world.during_request = [&] {
            world.server.finish_connections();
        };
        std::string const two =
            std::string(request_text) + std::string(request_text);
        send_now(caller, two);
        read_all();
        CHECK(count("HTTP/1.1 200") == 2);
        CHECK(count("Connection: close") == 1);
    }
    SUBCASE("the second one arrives while the first one runs") {
        world.during_request = [&] {
            world.server.finish_connections();
            if (world.handled == 2) {
                send_now(caller, request_text);
                std::this_thread::sleep_for(delivery_time);
            }
        };
        send_now(caller, request_text);
        read_all();
        CHECK(count("HTTP/1.1 200") == 2);
        CHECK(count("Connection: close") == 1);
    }
    SUBCASE("it arrives after the answer that ends the connection") {
        world.server.announce_end();
        send_now(caller, request_text);
        world.loop.run([&]() -> asio::awaitable<void> {
            answers = co_await testing::read_until(caller, "\r\n\r\nok");
        });
        CHECK(count("Connection: close") == 1);
        send_now(caller, request_text);
        CHECK(world.await_fate(caller) == request_fate::reset);
        CHECK(world.handled == 2);
    }
    SUBCASE("it arrives together with one that ends the connection") {
        std::string const two = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n" +
                                std::string(request_text);
        send_now(caller, two);
        read_all();
        CHECK(count("HTTP/1.1 200") == 1);
        CHECK(world.await_fate(caller) == request_fate::reset);
        CHECK(world.handled == 2);
    }
    SUBCASE("the server is closed behind the answer of the first one") {
        std::string const two = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n" +
                                std::string(request_text);
        send_now(caller, two);
        read_all();
        CHECK(count("HTTP/1.1 200") == 1);
        world.run_for(acknowledgement_time);
        world.server.close();
        CHECK(world.await_fate(caller) == request_fate::reset);
        CHECK(world.handled == 2);
    }
}

// Guards against a caller that cannot send a request again, since its
// connection ends as if the request had been read whole.
TEST_CASE("a request that is half read when its server is closed is reset") {
    kept_connections world;
    tcp::socket& caller = world.connect();
    std::size_t size = 0;
    SUBCASE("in its head") {
        size = 9;
    }
    SUBCASE("in front of its body") {
        size = request_text.size() - 1;
    }
    send_now(caller, request_text.substr(0, size));
    world.run_for(delivery_time);
    world.server.close();
    CHECK(world.await_fate(caller) == request_fate::reset);
    CHECK(world.handled == 1);
}

// Guards against a caller that always has a request waiting: its connection is
// kept, and is cut within a request when the process ends.
TEST_CASE("a server that ends tells a caller that always has one waiting") {
    constexpr milliseconds allowed{2'000};
    constexpr milliseconds request_time{5};
    kept_connections world;
    tcp::socket& caller = world.connect();
    auto const began = boot_clock::now();
    world.during_request = [&] {
        if (boot_clock::now() < began + 2 * allowed) {
            send_now(caller, request_text);
            std::this_thread::sleep_for(request_time);
        }
    };
    send_now(caller, request_text);
    SUBCASE("when its end is announced") {
        world.server.announce_end();
    }
    SUBCASE("when it finishes its connections") {
        world.server.finish_connections();
    }
    std::string answers;
    world.loop.run([&]() -> asio::awaitable<void> {
        answers = co_await testing::read_until(caller, "Connection: close");
    });
    CHECK(boot_clock::now() - began < allowed);
    CHECK(answers.find("Connection: close") != std::string::npos);
    int const handled = world.handled;
    world.loop.run([&]() -> asio::awaitable<void> {
        answers = co_await testing::read_until(caller, "");
    });
    CHECK(world.await_fate(caller) == request_fate::reset);
    CHECK(world.handled == handled);
}

// Guards against callers that rely on a configuration in force and are ended or
// refused by the one under which they connected.
TEST_CASE("new limits hold for connections that are open") {
    kept_connections world;
    tcp::socket& caller = world.connect();
    http_limits raised = kept_connections::limits();

    SUBCASE("a longer idle time") {
        raised.idle_timeout = 5 * idle_timeout;
        world.server.set_limits(raised);
        world.run_for(2 * idle_timeout);
        send_now(caller, request_text);
        CHECK(world.await_fate(caller) == request_fate::answered);
    }
    SUBCASE("a larger body") {
        std::string const body(raised.body_bytes + 1, 'x');
        raised.body_bytes *= 2;
        world.server.set_limits(raised);
        std::string answer;
        world.loop.run([&]() -> asio::awaitable<void> {
            std::string const text = "POST / HTTP/1.1\r\nContent-Length: " +
                                     std::to_string(body.size()) + "\r\n\r\n" +
                                     body;
            co_await testing::write_text(caller, text);
            answer = co_await testing::read_until(caller, "\r\n\r\n");
        });
        CHECK(answer.starts_with("HTTP/1.1 200"));
    }
}

// Guards against a caller that sends a request again, since a reset tells it
// that the first one was not read, while a replica runs that one.
TEST_CASE("a request that was read does not end by a reset") {
    kept_connections world;
    tcp::socket& caller = world.connect();
    std::string behind;
    bool closes = true;
    SUBCASE("the server is closed, a line end behind the request") {
        behind = "\r\n";
    }
    SUBCASE("the server is closed, the next request behind it") {
        behind = request_text;
    }
    SUBCASE("the server is closed, a large request behind it") {
        behind = std::string(100'000, 'x');
    }
    SUBCASE("the handler ends without an answer") {
        behind = request_text;
        closes = false;
    }
    world.answers = false;
    world.during_request = [&] {
        REQUIRE_FALSE(send_now(caller, behind));
        if (closes) {
            world.server.close();
        }
    };
    REQUIRE_FALSE(send_now(caller, request_text));
    CHECK(world.await_fate(caller) == request_fate::read_unanswered);
}

} // namespace camphorpoint
