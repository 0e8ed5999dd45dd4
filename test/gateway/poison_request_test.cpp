#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace camphorpoint {

using testing::gateway_fixture;

namespace {

/// Replicas that one request may crash: three before it is identified, and
/// three more by attempts that are in progress or come from a node that has not
/// received the quarantine yet.
constexpr unsigned max_crashes = 6;
constexpr unsigned replicas = 14;
/// If each of the three nodes counted only its own attempts, nine replicas
/// would crash.
constexpr unsigned nodes = 3;

/// After this time, the nodes count as connected to each other.
constexpr std::chrono::milliseconds connect_time{3'000};
/// Time from the third crash until the quarantine is in the store.
constexpr std::chrono::milliseconds write_time{500};
/// A node that has just started counts as connected to the others after three
/// seconds. It must know the quarantines well before that.
constexpr std::chrono::milliseconds read_time{1'500};

void wait(gateway_fixture& world, std::chrono::milliseconds time) {
    instant const until = boot_clock::now() + time;
    world.loop.run_until([&] { return boot_clock::now() >= until; });
}

/// Sends the poison request repeatedly, to each node in turn, as a new request
/// each time.
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

// Guards against a poison request: a request of one adapter and length, sent
// again under new ids to any node, crashed each replica that executed it. 36
// replicas crashed, and answers of other requests were late or broke off,
// because no node remembered a crash beyond the request that caused it. This
// test has neither loads nor other requests: the retries alone cause the
// crashes.
TEST_CASE("a poison request is quarantined after a few crashes") {
    gateway_fixture world;
    world.add_node();
    world.add_node();
    world.add_replicas(replicas, "deadly");
    wait(world, connect_time);
    constexpr unsigned times = 18;

    SUBCASE("a request that may be resumed") {
        send_repeatedly(world, "/gen/a", times);
        CHECK(world.crashed_replicas <= max_crashes);
    }
    SUBCASE("a request that runs once") {
        send_repeatedly(world, "/once/a", times);
        CHECK(world.crashed_replicas <= max_crashes);
    }
    SUBCASE("it is refused as not run, with a long retry delay") {
        send_repeatedly(world, "/gen/a", times);
        auto const got = world.send_to_node(0, "/gen/a", "m", "last", "deadly");
        CHECK(got.response.status == 503);
        CHECK(
            std::stod(std::string(got.response.fields.get("Retry-After"))) >
            60);
    }
    SUBCASE("other requests of its path and caller are served") {
        send_repeatedly(world, "/gen/a", times);
        CHECK(world.ask("/gen/a", "m", "other").response.status == 200);
        auto const got = world.send_to_node(1, "/gen/a", "m", "more", "y");
        CHECK(got.response.status == 200);
    }
    SUBCASE("all nodes are restarted") {
        send_repeatedly(world, "/gen/a", times);
        wait(world, write_time);
        world.restart_nodes();
        wait(world, read_time);
        send_repeatedly(world, "/gen/a", times);
        CHECK(world.crashed_replicas <= max_crashes);
    }
}

} // namespace camphorpoint
