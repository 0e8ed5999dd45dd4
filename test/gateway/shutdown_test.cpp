#include "test/gateway/gateway_fixture.hpp"
#include "test/ports/request_fate.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <deque>
#include <string>

namespace camphorpoint {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::request_fate;
using testing::request_fates;
using testing::send_now;
using testing::within;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

std::string request_text(std::string const& id) {
    return fmt::format(
        "POST /look/a HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}\r\n"
        "X-Request-Deadline: 3000\r\nContent-Length: 1\r\n\r\nx",
        id);
}

/// Callers that have had one request answered and keep their connections.
struct kept_callers {
    kept_callers(gateway_fixture& the_world, int count)
        : world(the_world) {
        auto const& to = world.settings.caller_address;
        tcp::endpoint const node(asio::ip::make_address(to.host), to.port);
        for (int each = 0; each < count; ++each) {
            tcp::socket& caller = sockets.emplace_back(world.loop.executor());
            caller.connect(node);
            std::string const id = fmt::format("first{}", each);
            send_now(caller, request_text(id));
            world.loop.run([&]() -> asio::awaitable<void> {
                auto const executor = caller.get_executor();
                fates.add(co_await testing::read_fate(caller));
            });
        }
        REQUIRE(fates.answered == count);
        fates = {};
    }

    /// Sends a second request on a connection and waits for what becomes of it.
    void send_at(tcp::socket& caller, instant when, std::string const& id) {
        asio::co_spawn(
            world.loop.io(),
            [this, &caller, when, id]() -> asio::awaitable<void> {
                asio::steady_timer timer(
                    world.loop.executor(), when - boot_clock::now());
                co_await timer.async_wait(use_result);
                request_fate what = request_fate::reset;
                if (!send_now(caller, request_text(id))) {
                    what = co_await testing::read_fate(caller);
                }
                fates.add(what);
            },
            asio::detached);
    }

    gateway_fixture& world;
    std::deque<tcp::socket> sockets;
    request_fates fates;
};

} // namespace

// Guards against a planned shutdown that swallows requests on kept connections:
// the node read them while it closed these connections, and ended.
TEST_CASE("a planned shutdown swallows no request of a kept connection") {
    gateway_fixture world;
    bool stopped = false;
    auto const drain = [&] {
        world.node->drain([&] { stopped = true; });
    };

    SUBCASE("sent at each millisecond around the end of the connections") {
        constexpr int count = 60;
        kept_callers callers(world, count);
        instant const end = boot_clock::now() + world.settings.stop_accepts;
        drain();
        for (int each = 0; each < count; ++each) {
            tcp::socket& caller =
                callers.sockets.at(static_cast<std::size_t>(each));
            instant const when = end + milliseconds(each - count / 2);
            callers.send_at(caller, when, fmt::format("second{}", each));
        }
        CHECK(within(world, milliseconds(5'000), [&] {
            return callers.fates.sum() == count;
        }));
        CHECK(callers.fates.read_unanswered == 0);
        CHECK(callers.fates.answered > 0);
    }
    SUBCASE("of which a part has arrived when they end") {
        kept_callers callers(world, 1);
        tcp::socket& caller = callers.sockets.front();
        std::string const text = request_text("parted");
        send_now(caller, text.substr(0, text.size() / 2));
        drain();
        within(world, milliseconds(150), [] { return false; });
        CHECK_FALSE(stopped);
        send_now(caller, text.substr(text.size() / 2));
        request_fate what = request_fate::pending;
        world.loop.run([&]() -> asio::awaitable<void> {
            auto const executor = caller.get_executor();
            what = co_await testing::read_fate(caller);
        });
        CHECK(what == request_fate::answered);
    }
    CHECK(world.loop.run_until([&] { return stopped; }));
}

} // namespace camphorpoint
