#include "Ports/instance_list_http.hpp"
#include "Ports/platform_log_http.hpp"
#include "test/ports/loopback.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using testing::loopback;

namespace {

constexpr milliseconds patience{150};
constexpr milliseconds between_pieces{40};
constexpr std::size_t piece_count = 10;

/// Sends its answer in pieces, as a slow way brings it; the whole takes longer
/// than the reader's patience, no pause does.
struct slow_server {
    slow_server(loopback& loop, std::string const& body)
        : server(
              loop.executor(), {},
              [this, body](http_exchange& exchange) -> asio::awaitable<void> {
                  bool there = co_await exchange.begin_stream(200, {});
                  std::string_view left = body;
                  std::size_t const size = body.size() / piece_count + 1;
                  while (there && !left.empty()) {
                      std::string_view const piece = left.substr(0, size);
                      left.remove_prefix(piece.size());
                      there = co_await exchange.write_piece(piece);
                      co_await wait(left.empty() ? milliseconds(0) : pause);
                  }
                  co_await exchange.end_stream();
              })
        , timer(loop.io()) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    asio::awaitable<void> wait(milliseconds time) {
        timer.expires_after(time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    http_server server;
    asio::steady_timer timer;
    milliseconds pause = between_pieces;
};

} // namespace

// The list of a large installation takes a slow link longer than a call's time.
// Ended by its time since the start it was thrown away and asked for again, and
// the node never learned of any replica.
TEST_CASE("an answer that comes slowly is read to its end") {
    loopback loop;
    http_pool pool;

    SUBCASE("the platform's list") {
        slow_server slow(
            loop, R"({"nodes":[],"endpoints":[{"id":"s1","kind":"service",)"
                  R"("model":"scan","address":"10.0.0.3:4"}]})");
        std::optional<instance_list> list;
        loop.run([&]() -> asio::awaitable<void> {
            instance_list_http reader(
                loop.executor(), testing::local(slow.server.port()), pool,
                patience);
            list = co_await reader.read();
        });
        REQUIRE(list);
        CHECK(list->endpoints.size() == 1);
    }
    SUBCASE("the platform's log") {
        slow_server slow(
            loop,
            R"({"first":4,"head":5,"records":[{"offset":4,"data":"a"}]})");
        std::optional<log_batch> batch;
        loop.run([&]() -> asio::awaitable<void> {
            platform_log_http log(
                loop.executor(), testing::local(slow.server.port()), pool,
                patience, {node_id("n1"), domain_id("d")});
            batch = co_await log.read(log_stream::control, log_offset{4});
        });
        REQUIRE(batch);
        CHECK(batch->records.size() == 1);
    }
    SUBCASE("not one that goes silent") {
        slow_server slow(loop, R"({"nodes":[],"endpoints":[]})");
        slow.pause = milliseconds(2'000);
        std::optional<instance_list> list;
        instant const began = boot_clock::now();
        loop.run([&]() -> asio::awaitable<void> {
            instance_list_http reader(
                loop.executor(), testing::local(slow.server.port()), pool,
                patience);
            list = co_await reader.read();
        });
        CHECK_FALSE(list);
        CHECK(boot_clock::now() < began + milliseconds(1'000));
    }
}

} // namespace camphorpoint
