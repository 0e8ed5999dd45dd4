#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <string_view>

namespace camphorpoint {

using standins::replica_fault;
using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::with_key;

namespace {

/// @returns the route below which the streams of the test run
std::string route(std::string_view kind, std::string_view service) {
    return fmt::format(
        R"({{"name":"moved","hostname":"h","path_prefix":"/moved/",)"
        R"("type":"{}","timeout_ms":3000,"target_latency_ms":800,)"
        R"("priority":0,"service":"{}","attempts":2,"resumable":true}},)",
        kind, service);
}

std::string stream_events(int count) {
    std::string all;
    for (int number = 1; number <= count; ++number) {
        all += fmt::format("id: {0}\ndata: w{0}\n\n", number);
    }
    return all;
}

void publish(
    gateway_fixture& world, unsigned version, std::string const& routes) {
    world.configure(version, routes);
    REQUIRE(world.loop.run_until(
        [&] { return world.node->configuration_version() == version; }));
}

} // namespace

// Guards against a stream that is ended, or not resumed, because its route or
// the key of its caller is no longer in the configuration.
TEST_CASE("a stream that has begun outlasts a change of its route") {
    gateway_fixture world;
    std::string const team = R"([{"name":"a","api_keys":["ka"]}])";
    world.teams = team;
    publish(world, 2, route("streaming", "llm"));
    std::string changed;

    SUBCASE("the route is dropped") {}
    SUBCASE("the route leads to another service") {
        changed = route("streaming", "app");
    }
    SUBCASE("the route is of another kind") {
        changed = route("unsafe", "llm");
    }
    SUBCASE("the caller's key is taken away") {
        changed = route("streaming", "llm");
        world.teams = R"([{"name":"a","api_keys":["kb"]}])";
    }
    auto const stream = [&](std::string const& id) {
        return world.send_to_node(
            0, "/moved/a", "m/a1", id, "body " + id, with_key("ka"));
    };
    REQUIRE(stream("before").response.status == 200);
    bool const at_first = world.first.engine.runs.contains("before");
    testing::served_replica& serving = at_first ? world.first : world.second;
    world.first.engine.pause = milliseconds(60);
    world.second.engine.pause = milliseconds(60);
    SUBCASE("while it runs at one replica") {}
    SUBCASE("while it is resumed at another replica") {
        serving.engine.faults = {replica_fault::cut};
    }
    // In the middle of the second event.
    boost::asio::steady_timer soon(world.loop.io(), milliseconds(90));
    soon.async_wait(
        [&](boost::system::error_code const&) { world.configure(3, changed); });
    auto const got = stream("across");
    CHECK(got.how == call_result::answered);
    CHECK(got.response.status == 200);
    CHECK(got.response.body == stream_events(8));
    CHECK(world.node->configuration_version() == 3);
}

} // namespace camphorpoint
