#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::served_replica;
using testing::within;

namespace {

/// Messages between the nodes of a test arrive within this time. It is shorter
/// than the first suspicion of a replica.
constexpr milliseconds notice_time{200};
/// A first suspicion of a replica ends within this time.
constexpr milliseconds first_suspicion{1'600};

/// Loads the adapter of the test and leaves the service with the replica that
/// has it.
/// @returns that replica
served_replica& keep_resident(gateway_fixture& world) {
    REQUIRE(world.ask("/gen/a", "m/a1", "first").response.status == 200);
    bool const at_first = world.first.engine.runs.contains("first");
    served_replica& kept = at_first ? world.first : world.second;
    served_replica const& other = at_first ? world.second : world.first;
    world.unlist(other);
    endpoint_id const id(other.id);
    REQUIRE(world.loop.run_until([&] { return !world.node->routes_to(id); }));
    return kept;
}

/// Adds a replica that has no adapter.
served_replica& add_empty(gateway_fixture& world) {
    world.more_replicas.push_back(
        std::make_unique<served_replica>(world.loop, "r3", "m", 3));
    served_replica& added = *world.more_replicas.back();
    world.list(added, "llm");
    endpoint_id const id(added.id);
    REQUIRE(world.loop.run_until([&] { return world.node->routes_to(id); }));
    return added;
}

/// Refuses connections to the replica until a request of the first node has
/// failed to reach it, so that the node suspects it.
void interrupt(gateway_fixture& world, served_replica& replica) {
    ip_address const address = testing::local(replica.server.port());
    replica.server.close();
    CHECK(world.ask("/gen/a", "m/a1", "meanwhile").response.status == 503);
    REQUIRE(replica.server.listen(address).empty());
}

} // namespace

// Guards against callers that are refused while each replica that has their
// adapter is suspected: a suspicion outlasts the silence that caused it, and no
// other replica has the adapter ready in time.
TEST_CASE("a suspected replica is used when no other one can be") {
    gateway_fixture world;
    world.add_node();
    served_replica& resident = keep_resident(world);
    interrupt(world, resident);

    SUBCASE("by the node that suspects it") {
        auto const got = world.ask("/gen/a", "m/a1", "again");
        CHECK(got.response.status == 200);
        CHECK(resident.engine.runs["again"] == 1);
    }
    SUBCASE("by a node that has received the suspicion") {
        within(world, notice_time, [] { return false; });
        auto const got =
            world.send_to_node(1, "/gen/a", "m/a1", "again", "body");
        CHECK(got.response.status == 200);
        CHECK(resident.engine.runs["again"] == 1);
    }
    SUBCASE("not while another one has the adapter ready in time") {
        served_replica& other = add_empty(world);
        auto const got = world.ask("/gen/a", "m/a1", "again");
        CHECK(got.response.status == 200);
        CHECK(other.engine.runs["again"] == 1);
    }
    SUBCASE("after another one has not loaded the adapter in time") {
        within(world, first_suspicion, [] { return false; });
        interrupt(world, resident);
        add_empty(world).engine.load_time = milliseconds(2'500);
        auto const got = world.ask("/gen/a", "m/a1", "again");
        CHECK(got.response.status == 200);
        CHECK(resident.engine.runs["again"] == 1);
    }
}

} // namespace camphorpoint
