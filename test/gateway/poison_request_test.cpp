#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace camphorpoint {

using testing::gateway_fixture;

namespace {

/// Replicas that one request may end: three before it is known for it, and
/// three sends more that may be under way or come from a node not told yet.
constexpr unsigned max_crashes = 6;
constexpr unsigned replicas = 14;
/// Three nodes that each count for themselves would let nine replicas end.
constexpr unsigned nodes = 3;

/// Nodes count as in touch with each other after this.
constexpr std::chrono::milliseconds connect_time{3'000};
/// From the third end on until the store has it.
constexpr std::chrono::milliseconds write_time{500};
/// A node that has just begun counts as in touch with the others after three
/// seconds; it is to know well before that.
constexpr std::chrono::milliseconds read_time{1'500};

void wait(gateway_fixture& world, std::chrono::milliseconds time) {
    instant const until = boot_clock::now() + time;
    world.loop.run_until([&] { return boot_clock::now() >= until; });
}

/// Sends the deadly request again and again, by turns to each node, as a new
/// request each time.
void send_repeatedly(
    gateway_fixture& world, std::string const& path, unsigned times) {
    for (unsigned each = 0; each < times; ++each) {
        std::string const id = "deadly" + std::to_string(each);
        auto const got =
            world.send_to_node(each % nodes, path, "m", id, "deadly");
        CHECK(got.how == call_result::answered);
        CHECK(got.response.status >= 500);
    }
}

} // namespace

// Drafts come late or break off: one replica after the other ends. A request
// of one adapter and length, sent again under new ids to any node, was at each
// one as it ended; 36 replicas ended under it. Nothing remembered beyond one
// request what its run had done. This test, with neither loads nor crowds,
// proved that the repeats alone bring it about.
TEST_CASE("a request that ends its replicas is soon run no more") {
    gateway_fixture world;
    world.add_node();
    world.add_node();
    world.add_replicas(replicas, "deadly");
    wait(world, connect_time);
    constexpr unsigned times = 18;

    SUBCASE("one that may be resumed") {
        send_repeatedly(world, "/gen/a", times);
        CHECK(world.crashed_replicas <= max_crashes);
    }
    SUBCASE("one that runs once") {
        send_repeatedly(world, "/once/a", times);
        CHECK(world.crashed_replicas <= max_crashes);
    }
    SUBCASE("it is told that it was not run, and not to come back soon") {
        send_repeatedly(world, "/gen/a", times);
        auto const got = world.send_to_node(0, "/gen/a", "m", "last", "deadly");
        CHECK(got.response.status == 503);
        CHECK(
            std::stod(std::string(got.response.fields.get("Retry-After"))) >
            60);
    }
    SUBCASE("others of its path and caller are served") {
        send_repeatedly(world, "/gen/a", times);
        CHECK(world.ask("/gen/a", "m", "other").response.status == 200);
        auto const got = world.send_to_node(1, "/gen/a", "m", "more", "y");
        CHECK(got.response.status == 200);
    }
    SUBCASE("all nodes begin anew") {
        send_repeatedly(world, "/gen/a", times);
        wait(world, write_time);
        world.restart_nodes();
        wait(world, read_time);
        send_repeatedly(world, "/gen/a", times);
        CHECK(world.crashed_replicas <= max_crashes);
    }
}

} // namespace camphorpoint
