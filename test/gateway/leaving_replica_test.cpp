#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::served_replica;
using testing::within;

namespace {

/// Messages between the nodes of a test arrive within this time.
constexpr milliseconds notice_time{300};

/// Sends requests to both nodes.
/// @returns how many of them arrive at the replica
std::size_t arrivals_of_more(
    gateway_fixture& world, served_replica const& replica,
    std::string const& path, std::string const& model) {
    std::size_t const before = replica.engine.arrivals.size();
    std::vector<int> statuses;
    constexpr std::size_t count = 40;
    for (std::size_t each = 0; each < count; ++each) {
        std::string const id = "more" + std::to_string(each);
        world.send_to_node_async(
            each % 2, path, model, id, "body " + id, statuses);
        within(world, milliseconds(5), [] { return false; });
    }
    world.loop.run_until([&] { return statuses.size() == count; });
    return replica.engine.arrivals.size() - before;
}

/// Sends requests to one node.
/// @returns how many of them arrive at the replica
std::size_t arrivals_from(
    gateway_fixture& world, std::size_t node, served_replica const& replica,
    std::string const& path) {
    std::size_t const before = replica.engine.arrivals.size();
    std::vector<int> statuses;
    constexpr std::size_t count = 20;
    for (std::size_t each = 0; each < count; ++each) {
        std::string const id =
            "from" + std::to_string(node) + "-" + std::to_string(each);
        world.send_to_node_async(node, path, "", id, "body " + id, statuses);
        within(world, milliseconds(5), [] { return false; });
    }
    world.loop.run_until([&] { return statuses.size() == count; });
    return replica.engine.arrivals.size() - before;
}

} // namespace

// Guards against requests that are sent to a replica which says in its answers
// that it leaves, while the store is away or does not say so yet.
TEST_CASE("a replica that says in an answer that it leaves gets no more "
          "requests") {
    gateway_fixture world;
    world.add_node();
    served_replica other(world.loop, "p2", "", 0);
    world.list(other, "app");
    REQUIRE(world.loop.run_until([&] {
        return world.node->knows_replica(endpoint_id("p2")) &&
               world.node_at(1).knows_replica(endpoint_id("p2"));
    }));
    world.plain.engine.leaves = true;

    SUBCASE("in a whole answer") {}
    SUBCASE("in a rejection") {
        world.plain.engine.sheds = true;
    }
    while (world.plain.engine.arrivals.empty()) {
        world.ask("/look/b");
    }
    SUBCASE("when its entry is written again as before") {
        world.list(world.plain, "app");
        world.list(world.plain, "app");
    }
    within(world, notice_time, [] { return false; });
    world.plain.engine.sheds = false;
    CHECK(arrivals_of_more(world, world.plain, "/look/b", "") == 0);

    // Guards against a replica that stays unused after its restart.
    SUBCASE("a restart takes it in again") {
        world.plain.engine.leaves = false;
        world.plain.engine.start_again();
        world.list(world.plain, "app");
        within(world, notice_time, [] { return false; });
        CHECK(arrivals_of_more(world, world.plain, "/look/b", "") > 0);
    }
}

// Guards against a replica that stays unused after its restart, since a node
// goes on telling the others that the process before it leaves.
TEST_CASE("every node takes in a replica that restarts soon after it left") {
    gateway_fixture world;
    world.add_node();
    served_replica other(world.loop, "p2", "", 0);
    world.list(other, "app");
    REQUIRE(world.loop.run_until([&] {
        return world.node->knows_replica(endpoint_id("p2")) &&
               world.node_at(1).knows_replica(endpoint_id("p2"));
    }));
    for (int restart = 1; restart <= 2; ++restart) {
        CAPTURE(restart);
        world.plain.engine.leaves = true;
        std::size_t const before = world.plain.engine.arrivals.size();
        while (world.plain.engine.arrivals.size() == before) {
            world.ask("/look/b");
        }
        within(world, notice_time, [] { return false; });
        world.plain.engine.leaves = false;
        world.plain.engine.start_again();
        world.list(world.plain, "app");
        within(world, notice_time, [] { return false; });
        for (std::size_t node = 0; node < 2; ++node) {
            CAPTURE(node);
            CHECK(arrivals_from(world, node, world.plain, "/look/b") > 0);
        }
    }
}

TEST_CASE("answers to commands and reports say that a replica leaves") {
    gateway_fixture world;
    world.add_node();
    served_replica& leaving = world.first;
    leaving.engine.leaves = true;
    // The load of the adapter is commanded at one of the two replicas.
    for (int adapter = 0; adapter < 6; ++adapter) {
        world.ask("/gen/x", "m/a" + std::to_string(adapter));
    }
    within(world, notice_time, [] { return false; });
    std::size_t const before = leaving.engine.arrivals.size();
    CHECK(before <= 1);
    CHECK(arrivals_of_more(world, leaving, "/gen/x", "m") == 0);
}

} // namespace camphorpoint
