#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::served_replica;
using testing::within;

namespace {

/// The delay between failed polls of the declarations increases: after this
/// outage it exceeds three seconds.
constexpr milliseconds outage{3'500};
/// A node polls an unreachable store again about every second.
constexpr milliseconds retry_time{1'500};

void run_for(gateway_fixture& world, milliseconds time) {
    within(world, time, [] { return false; });
}

} // namespace

// Guards against nodes that reject every request for seconds after the store's
// recovery, because each still waits for the answer to a poll that it sent
// during the outage.
TEST_CASE(
    "a node that starts during an outage of the store serves soon after it") {
    gateway_fixture world;
    world.metadata.silent = true;
    world.start_node();
    run_for(world, outage);
    REQUIRE_FALSE(world.node_at(1).ready());
    world.metadata.silent = false;
    CHECK(within(world, retry_time, [&] { return world.node_at(1).ready(); }));
    CHECK(
        world.send_to_node(1, "/look/b", "", "q", "x").response.status == 200);
}

// Guards against rejected requests although replicas are running: their
// registry entries expired in the store's outage and are written again within
// two seconds.
TEST_CASE(
    "a request waits for replicas to write their registry entries again") {
    gateway_fixture world;
    world.metadata.silent = true;
    world.start_node();
    world.unlist(world.first);
    world.unlist(world.second);
    world.unlist(world.plain);
    run_for(world, milliseconds(900));
    world.metadata.silent = false;
    // By then the node has its configuration.
    run_for(world, retry_time);
    boost::asio::steady_timer timer(world.loop.io(), milliseconds(300));
    timer.async_wait([&](boost::system::error_code) {
        world.list(world.plain, "app");
        world.list(world.first, "llm");
    });
    std::string path = "/look/b";
    std::string model;
    SUBCASE("of a plain service") {}
    SUBCASE("of a model") {
        path = "/gen/a";
        model = "m/a1";
    }
    auto const got = world.send_to_node(1, path, model, "q", "x");
    CHECK(got.response.status == 200);
}

// Guards against load commands for a replica that has stopped but is still
// listed: the replica that now has its address rejects them.
TEST_CASE("a replica gets no loads when another replica has its address") {
    gateway_fixture world;
    served_replica replaced(world.loop, "gone", "m", 3);
    world.metadata.store().put(
        "keyed.servers", replaced.id,
        replaced.engine.entry("llm", world.second.address()));
    REQUIRE(world.loop.run_until(
        [&] { return world.node->knows_replica(endpoint_id(replaced.id)); }));
    run_for(world, milliseconds(2'000));
    for (int each = 1; each <= 6; ++each) {
        auto const got = world.ask(
            "/gen/a", "m/a" + std::to_string(each), "q" + std::to_string(each));
        CHECK(got.response.status == 200);
    }
}

} // namespace camphorpoint
