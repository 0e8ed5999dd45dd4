#include "test/gateway/gateway_fixture.hpp"
#include "test/ports/request_fate.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <string_view>
#include <thread>

namespace camphorpoint {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::request_fate;
using testing::within;

namespace {

constexpr milliseconds long_turn{300};
constexpr std::string_view request_text =
    "POST /look/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: late\r\n"
    "X-Request-Deadline: 3000\r\nContent-Length: 1\r\n\r\nx";

void connect_and_send(gateway_fixture& world, tcp::socket& caller) {
    auto const& to = world.settings.caller_address;
    caller.connect(tcp::endpoint(asio::ip::make_address(to.host), to.port));
    testing::send_now(caller, request_text);
}

} // namespace

// Guards against callers that are turned away at a node on time: after one long
// turn, such as for a large configuration, the node closed new connections
// unread until its next measurement.
TEST_CASE("one long turn of the loop turns no caller away") {
    gateway_fixture world([](gateway_fixture& before) {
        before.settings.max_loop_delay = milliseconds(100);
    });
    REQUIRE(world.loop.run_until([&] { return world.node->ready(); }));
    // What the start needs has made the loop late.
    within(world, milliseconds(200), [] { return false; });
    tcp::socket caller(world.loop.executor());
    bool sent = false;

    SUBCASE("that connects in this turn") {
        asio::post(world.loop.io(), [&] {
            std::this_thread::sleep_for(long_turn);
            connect_and_send(world, caller);
            sent = true;
        });
    }
    SUBCASE("that connects right after it") {
        asio::steady_timer timer(world.loop.io(), long_turn + milliseconds(10));
        asio::post(
            world.loop.io(), [] { std::this_thread::sleep_for(long_turn); });
        timer.async_wait([&](boost::system::error_code) {
            connect_and_send(world, caller);
            sent = true;
        });
        REQUIRE(world.loop.run_until([&] { return sent; }));
    }
    REQUIRE(world.loop.run_until([&] { return sent; }));
    request_fate what = request_fate::pending;
    world.loop.run([&]() -> asio::awaitable<void> {
        auto const executor = caller.get_executor();
        what = co_await testing::read_fate(caller);
    });
    CHECK(what == request_fate::answered);
}

} // namespace camphorpoint
