#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::gateway_fixture;
using testing::within;

namespace {

/// Within this time a node must stop sending requests to a replica whose entry
/// was removed. A replica serves for two seconds after the removal.
constexpr seconds bound{1};

} // namespace

// Guards against requests to a replica that has left: one call of a node to the
// store gets no answer, the node takes this for an outage in which registry
// entries expire, and keeps a replica whose entry is removed, although the
// store answers all other nodes.
TEST_CASE("a failed call of one node does not delay the removal of a replica") {
    gateway_fixture world;
    world.add_node();
    gateway& node = world.node_at(1);
    REQUIRE(within(world, bound, [&] {
        return node.routes_to(endpoint_id(world.second.id));
    }));
    world.disconnect_store(1);
    SUBCASE("after the store has answered the node again") {
        within(world, milliseconds(300), [] { return false; });
        world.reconnect_store(1);
        within(world, milliseconds(300), [] { return false; });
    }
    SUBCASE(
        "while the node's calls fail and another node reports the removal") {
        within(world, milliseconds(300), [] { return false; });
    }
    SUBCASE("when the node's calls have failed for seconds") {
        within(world, seconds(3), [] { return false; });
    }
    world.unlist(world.second);
    CHECK(within(world, bound, [&] {
        return !node.routes_to(endpoint_id(world.second.id));
    }));
    CHECK(node.routes_to(endpoint_id(world.first.id)));
}

} // namespace camphorpoint
