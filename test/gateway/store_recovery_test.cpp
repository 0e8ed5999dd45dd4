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

/// Readings of declarations that fail wait longer each time: by then for more
/// than three seconds.
constexpr milliseconds outage{3'500};
/// A node asks a store that is away again every second or so.
constexpr milliseconds retry_time{1'500};

void run_for(gateway_fixture& world, milliseconds time) {
    within(world, time, [] { return false; });
}

} // namespace

// Guards against nodes that refuse every request for seconds after the store's
// return, since each still waits for an answer that it asked for in the outage.
TEST_CASE("a node that begins in the store's outage serves soon after it") {
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

// Guards against refusals while replicas are there, whose entries lapsed in the
// store's outage and are written again within two seconds.
TEST_CASE("a request waits for replicas that write their entries again") {
    gateway_fixture world;
    world.metadata.silent = true;
    world.start_node();
    world.unlist(world.first);
    world.unlist(world.second);
    world.unlist(world.plain);
    run_for(world, milliseconds(900));
    world.metadata.silent = false;
    // By then it has its configuration.
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

// Guards against loads that are ordered at a replica which has ended, as long
// as its entry stands: the replica that has its address turns them away.
TEST_CASE("a replica whose address is another's gets no loads") {
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
