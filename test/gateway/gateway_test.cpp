#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint {

using standins::replica_fault;
using testing::gateway_fixture;

namespace {

std::string events(int first, int last) {
    std::string all;
    for (int number = first; number <= last; ++number) {
        std::string const text = std::to_string(number);
        all += "id: ";
        all += text;
        all += "\ndata: w";
        all += text;
        all += "\n\n";
    }
    return all;
}

} // namespace

TEST_CASE("a request is routed to a replica and answered") {
    gateway_fixture world;

    SUBCASE("a stream on an adapter that no replica has loaded") {
        auto const got = world.ask("/gen/a", "m/a7");
        CHECK(got.how == call_result::answered);
        CHECK(got.response.status == 200);
        CHECK(got.response.body == events(1, 8));
        CHECK_FALSE(got.response.fields.get("X-Response-Signature").empty());
        CHECK(world.runs("q1") == 1);
    }
    SUBCASE("more adapters than adapter slots") {
        for (int each = 0; each < 12; ++each) {
            std::string const name = std::to_string(each);
            auto const got = world.ask("/gen/a", "m/a" + name, "q" + name);
            CHECK(got.response.body == events(1, 8));
        }
        CHECK_FALSE(world.first.engine.overfilled);
        CHECK_FALSE(world.second.engine.overfilled);
    }
    SUBCASE("a booking") {
        auto const got = world.ask("/book/b");
        CHECK(got.response.status == 200);
        CHECK(got.response.body == "answer of p1 to x");
        CHECK(world.runs("q1") == 1);
    }
    SUBCASE("a path without a route") {
        auto const got = world.ask("/nowhere/");
        CHECK(got.response.status == 404);
    }
    SUBCASE("a new configuration applies at once, an older one is ignored") {
        std::string const more =
            R"({"name":"new","hostname":"h","path_prefix":"/new/",)"
            R"("type":"safe","timeout_ms":3000,"service":"app",)"
            R"("attempts":1},)";
        world.configure(9, more);
        REQUIRE(world.loop.run_until(
            [&] { return world.node->configuration_version() == 9; }));
        CHECK(world.ask("/new/x").response.status == 200);
        world.configure(5);
        world.ask("/look/x");
        CHECK(world.node->configuration_version() == 9);
    }
    SUBCASE("an invalid configuration leaves the last valid one in force") {
        world.metadata.store().put(
            "keyed.op", "config",
            R"({"version":9,"routes":[{"name":"r","type":"odd"}]})");
        CHECK(world.ask("/look/x").response.status == 200);
        CHECK(world.node->configuration_version() == 1);
    }
}

// Guards against double execution. A replica executes a booking and its answer
// is lost. If the node reported "not run", the caller would book again and pay
// twice; without any answer the caller would wait.
TEST_CASE("a request that must not run twice") {
    gateway_fixture world;

    SUBCASE("a lost answer is reported as an unknown result") {
        world.plain.engine.faults = {replica_fault::answer_lost};
        auto const got = world.ask("/book/b");
        CHECK(got.response.status == 502);
        CHECK(world.runs("q1") == 1);
    }
    SUBCASE("a full replica has not run it, and the caller may retry") {
        world.plain.engine.faults = {replica_fault::full};
        auto const got = world.ask("/book/b");
        CHECK(got.response.status == 503);
        CHECK_FALSE(got.response.fields.get("Retry-After").empty());
        CHECK(world.runs("q1") == 0);
    }
    SUBCASE("an answer without the replica's signature is not forwarded") {
        world.plain.engine.faults = {replica_fault::unsigned_answer};
        auto const got = world.ask("/book/b");
        CHECK(got.response.status == 502);
        CHECK(world.runs("q1") == 1);
    }
    SUBCASE("a replica's own failure is forwarded unchanged") {
        world.plain.engine.faults = {replica_fault::failure};
        auto const got = world.ask("/book/b");
        CHECK(got.response.status == 500);
        CHECK(got.response.body == "answer of p1 to x");
        CHECK(world.runs("q1") == 1);
    }
}

TEST_CASE("a request that may run twice continues at another replica") {
    gateway_fixture world;
    world.ask("/gen/a", "m/a1", "warm");
    bool const first_holds = world.first.engine.runs.contains("warm");
    standins::replica_engine& holder =
        first_holds ? world.first.engine : world.second.engine;

    // Guards against a stream that breaks off in the middle of a word because
    // its replica crashed. The stream must continue where it stopped.
    SUBCASE("a truncated stream continues after its last complete event") {
        holder.faults = {replica_fault::cut};
        auto const got = world.ask("/gen/a", "m/a1");
        CHECK(got.how == call_result::answered);
        CHECK(got.response.body == events(1, 8));
        CHECK(world.runs("q1") == 2);
    }
    SUBCASE(
        "a stream that may not be resumed ends as truncated, not as complete") {
        holder.faults = {replica_fault::cut};
        auto const got = world.ask("/once/a", "m/a1");
        CHECK(got.how == call_result::lost);
        CHECK(world.runs("q1") == 1);
    }
    SUBCASE("a look-up whose answer was lost is retried") {
        auto const other =
            std::make_unique<testing::served_replica>(world.loop, "p2", "", 0);
        world.list(*other, "app");
        REQUIRE(world.loop.run_until(
            [&] { return world.node->knows_replica(endpoint_id("p2")); }));
        world.plain.engine.faults = {replica_fault::answer_lost};
        other->engine.faults = {replica_fault::answer_lost};
        auto const got = world.ask("/look/b");
        CHECK(got.response.status == 502);
        CHECK(world.runs("q1") + other->engine.runs["q1"] == 2);
        CHECK(world.ask("/look/b", "", "q2").response.status == 200);
    }
}

// Guards against requests that depend on the store. During a store outage,
// requests must be served as long as the replicas that they need are reachable.
TEST_CASE("requests are served during a store outage") {
    gateway_fixture world;
    world.ask("/gen/a", "m/a1", "warm");
    SUBCASE("the store refuses calls") {
        world.metadata.turns_away = true;
    }
    SUBCASE("the store's answers are lost") {
        world.metadata.loses_answers = true;
    }
    CHECK(world.ask("/gen/a", "m/a1").response.body == events(1, 8));
    CHECK(world.ask("/book/b", "", "q2").response.status == 200);
    CHECK(world.ask("/gen/a", "m/new", "q3").response.body == events(1, 8));
    world.metadata.turns_away = false;
    world.metadata.loses_answers = false;
}

// Guards against lost declarations when the store drops its history before the
// node has read it: what was declared in the gap would never be in force.
TEST_CASE("a full snapshot is read after the store has dropped its history") {
    gateway_fixture world;
    world.configure(2);
    world.metadata.store().forget("keyed.op");
    world.metadata.store().forget("keyed.servers");
    CHECK(world.loop.run_until(
        [&] { return world.node->configuration_version() == 2; }));
}

// A replica's address now belongs to another replica. A request that reaches
// the other replica must not run there, and the caller must not see an error.
TEST_CASE("a request that reaches another replica at a reused address") {
    gateway_fixture world;
    testing::served_replica stranger(world.loop, "p9", "", 0);
    std::string const entry =
        world.plain.engine.entry("app", stranger.address());
    world.metadata.store().put("keyed.servers", "gone", entry);
    REQUIRE(world.loop.run_until(
        [&] { return world.node->knows_replica(endpoint_id("gone")); }));
    for (int each = 0; each < 8; ++each) {
        auto const got = world.ask("/book/b", "", "q" + std::to_string(each));
        CHECK(got.response.status == 200);
    }
    CHECK(stranger.engine.runs.empty());
}

// Guards against a needless wait before a refusal. All adapter slots are in use
// by long streams, and the node that received the request also controls the
// replicas. Its rejection of the load came before the request began to wait for
// one, so the refusal took 0.3 s longer for each preferred replica.
TEST_CASE("a load rejection by the same node refuses the request at once") {
    gateway_fixture world;
    for (int each = 0; each < 6; ++each) {
        std::string const name = std::to_string(each);
        world.ask("/gen/a", "m/a" + name, "warm" + name);
    }
    world.first.engine.pause = std::chrono::milliseconds(200);
    world.second.engine.pause = std::chrono::milliseconds(200);
    for (int each = 0; each < 6; ++each) {
        std::string const name = std::to_string(each);
        world.send_async("/gen/a", "m/a" + name, "long" + name);
    }
    REQUIRE(world.loop.run_until([&] { return world.runs("long5") == 1; }));
    instant const began = boot_clock::now();
    auto const got = world.ask("/gen/a", "m/new");
    duration const told = boot_clock::now() - began;
    CHECK(got.response.status == 503);
    CHECK_FALSE(got.response.fields.get("Retry-After").empty());
    CHECK(told < std::chrono::milliseconds(200));
    CHECK(world.runs("q1") == 0);
}

// Guards against nodes that keep the state of earlier processes after both
// replicas have restarted under their ids. Such nodes take the replicas for
// full of unused adapters, and name a command count that the replicas refuse.
TEST_CASE("adapters are loaded again at replicas that restarted") {
    gateway_fixture world;
    for (int each = 0; each < 6; ++each) {
        std::string const name = std::to_string(each);
        CHECK(
            world.ask("/gen/a", "m/a" + name, "q" + name).response.status ==
            200);
    }
    for (testing::served_replica* const each : {&world.first, &world.second}) {
        each->engine.start_again();
        world.list(*each, "llm");
    }
    for (int each = 0; each < 6; ++each) {
        std::string const name = std::to_string(each);
        auto const got = world.ask("/gen/a", "m/a" + name, "again" + name);
        CHECK(got.response.body == events(1, 8));
        CHECK(world.runs("again" + name) == 1);
    }
    CHECK_FALSE(world.first.engine.overfilled);
    CHECK_FALSE(world.second.engine.overfilled);
}

// Another writer overwrites a replica's registry entry with invalid data.
// Requests must go to the other replicas, and to this one again once it has
// written a valid entry.
TEST_CASE("a registry entry overwritten with invalid data") {
    gateway_fixture world;
    endpoint_id const id("r1");
    world.metadata.store().put("keyed.servers", "r1", "{\"state\":7}");
    world.metadata.store().put("keyed.servers", "\xff odd", "\x01\x02");
    REQUIRE(world.loop.run_until([&] { return !world.node->routes_to(id); }));
    for (int each = 0; each < 3; ++each) {
        std::string const name = std::to_string(each);
        CHECK(
            world.ask("/gen/a", "m/a" + name, "q" + name).response.status ==
            200);
    }
    CHECK(world.first.engine.runs.empty());
    world.list(world.first, "llm");
    CHECK(world.loop.run_until([&] { return world.node->routes_to(id); }));
}

TEST_CASE("a planned shutdown completes running requests") {
    gateway_fixture world;
    bool stopped = false;
    world.ask("/gen/a", "m/a1", "warm");
    world.first.engine.pause = std::chrono::milliseconds(50);
    world.second.engine.pause = std::chrono::milliseconds(50);
    boost::asio::steady_timer soon(
        world.loop.io(), std::chrono::milliseconds(100));
    soon.async_wait([&](boost::system::error_code const&) {
        world.node->drain([&] { stopped = true; });
    });

    auto const got = world.ask("/gen/a", "m/a1");
    CHECK(got.response.body == events(1, 8));
    CHECK_FALSE(world.node->ready());
    CHECK(world.loop.run_until([&] { return stopped; }));
}
// Guards against requests that wait for an absent lease holder. A node is
// killed while the store is down, so no other node can take over its replicas
// until the store is back. Requests whose preferred replica belonged to that
// node waited for two seconds and were refused, although other replicas had
// capacity.
TEST_CASE("an absent lease holder does not delay requests") {
    gateway_fixture world;
    std::vector<std::unique_ptr<testing::served_replica>> more;
    auto const add = [&](std::size_t remainder) {
        std::string name = "x";
        while (partition_of(endpoint_id(name)) % 2 != remainder) {
            name += "x";
        }
        more.push_back(std::make_unique<testing::served_replica>(
            world.loop, name, "m", 3));
        world.list(*more.back(), "llm");
        endpoint_id const id(name);
        REQUIRE(world.loop.run_until(
            [&] { return world.node->knows_replica(id); }));
    };
    add(0);
    add(1);
    // The stand-in assigns partitions to members in turn, in the order of their
    // names.
    constexpr std::size_t topic_count = 8;
    std::vector<std::string> topics;
    topics.reserve(topic_count);
    for (std::size_t each = 0; each < topic_count; ++each) {
        topics.push_back("holding" + std::to_string(each));
    }
    world.metadata.store().join(
        "0.absent:1", topics, std::chrono::minutes(10), boot_clock::now());
    for (int each = 0; each < 6; ++each) {
        std::string const name = std::to_string(each);
        auto const got = world.ask("/gen/a", "m/a" + name, "q" + name);
        CHECK(got.response.status == 200);
    }
}

} // namespace camphorpoint
