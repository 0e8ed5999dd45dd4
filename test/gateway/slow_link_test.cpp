#include "Gateway/peer_datagram.hpp"
#include "Ports/probe_link.hpp"
#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::gateway_fixture;

namespace {

/// The link to the node needs more than a second for a configuration of `large`
/// bytes, and a call to the store has a time-out of 0.8 s.
constexpr std::uint64_t slow = 400'000;
constexpr std::size_t large = 500'000;

/// Another node that repeatedly reports its position in the declarations.
class reporting_node {
public:
    reporting_node(gateway_fixture& world, std::uint64_t place)
        : world_(&world)
        , link_(world.loop.executor(), [](std::string const&) {})
        , timer_(world.loop.io()) {
        REQUIRE(link_.listen(testing::local(0)).empty());
        report_.alive = true;
        report_.declared_position = {store_epoch{}, place};
        report_.from = "127.0.0.1:" + std::to_string(link_.port());
        send_report();
    }

private:
    void send_report() {
        link_.send(world_->settings.peer_address, encode(report_));
        timer_.expires_after(milliseconds(100));
        timer_.async_wait([this](boost::system::error_code const& error) {
            if (!error) {
                send_report();
            }
        });
    }

    gateway_fixture* world_;
    probe_link link_;
    boost::asio::steady_timer timer_;
    peer_datagram report_;
};

bool reaches_version(gateway_fixture& world, std::uint64_t version) {
    return world.loop.run_until(
        [&] { return world.node->configuration_version() == version; });
}

} // namespace

// Guards against full reads that never complete on a slow link. A configuration
// had grown until a node's link needed more than 0.8 s for it. Each full read
// was cancelled at the time-out, whatever had arrived, and started again,
// several in parallel, and together they kept the link full. A caller received
// 404 for a route that had been confirmed ten seconds before. The test counts
// the bytes at the store's side, and a time-out that only ends idle reads must
// allow the same read to complete.
TEST_CASE("a configuration that takes longer than a call on a slow link") {
    SUBCASE("a starting node reads it") {
        gateway_fixture world([](gateway_fixture& before) {
            before.configure(2, gateway_fixture::routes_of(large));
            before.metadata.bytes_per_second = slow;
        });
        CHECK(reaches_version(world, 2));
        CHECK(world.ask("/more7/x").response.status == 200);
    }
    SUBCASE("a node whose position the store has dropped reads it") {
        gateway_fixture world;
        world.metadata.bytes_per_second = slow;
        world.configure(2, gateway_fixture::routes_of(large));
        world.metadata.store().forget("keyed.op");
        CHECK(reaches_version(world, 2));
    }
    SUBCASE("a message that others have read it causes one read, not two") {
        gateway_fixture world;
        std::uint64_t const end = world.metadata.store().end("keyed.op");
        world.metadata.bytes_per_second = slow;
        reporting_node const other(world, end + 1);
        world.configure(2, gateway_fixture::routes_of(large));
        CHECK(reaches_version(world, 2));
        CHECK(world.metadata.bytes_sent < large * 3 / 2);
    }
}

} // namespace camphorpoint
