#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::append_filler_records;
using testing::gateway_fixture;
using testing::within;

namespace {

/// The platform allows two seconds from the store's recovery until a new
/// declaration, or a replica that drains, takes effect.
constexpr seconds bound{2};
/// Number of records that the rollback loses.
constexpr int lost_records = 6;
/// With this many adapters, two series of requests find free slots without
/// waiting.
constexpr std::size_t adapters = 3;
constexpr std::string_view declarations_topic = "keyed.op";
constexpr std::string_view registry_topic = "keyed.servers";

void run_for(gateway_fixture& world, milliseconds time) {
    within(world, time, [] { return false; });
}

bool both_have_version(gateway_fixture& world, unsigned version) {
    return world.node_at(0).configuration_version() == version &&
           world.node_at(1).configuration_version() == version;
}

/// Writes a configuration and waits until both nodes have applied it.
void configure_and_wait(gateway_fixture& world, unsigned version) {
    world.configure(version);
    REQUIRE(world.loop.run_until(
        [&] { return both_have_version(world, version); }));
}

/// Writes a registry entry that says that a replica drains.
void start_draining(gateway_fixture& world, testing::served_replica& replica) {
    std::string entry = replica.engine.entry("llm", replica.address());
    entry.replace(entry.find("ready"), 5, "draining");
    world.metadata.store().put(std::string(registry_topic), replica.id, entry);
}

/// Sends requests for adapters that are not resident yet, alternately to both
/// nodes.
void check_served(gateway_fixture& world, std::string const& prefix) {
    for (std::size_t each = 0; each < adapters; ++each) {
        std::string const id = prefix + std::to_string(each);
        auto const got =
            world.send_to_node(each % 2, "/gen/a", "m/a" + id, id, "x");
        CHECK(got.response.status == 200);
    }
}

/// Checks that no fencing number was used by two lease holders, as replicas
/// would accept commands of both.
void check_fencing(gateway_fixture& world) {
    for (auto const* const each : {&world.first, &world.second}) {
        CHECK_FALSE(each->engine.overfilled);
        for (auto const& token_holders : each->engine.holders) {
            INFO(token_holders.first);
            CHECK(token_holders.second.size() == 1);
        }
    }
}

unsigned claim_count(gateway_fixture& world) {
    unsigned sum = 0;
    for (auto const& [topic, count] : world.metadata.appends) {
        sum += topic.starts_with("holding") ? count : 0;
    }
    return sum;
}

} // namespace

// Guards against messages between nodes of two store epochs: a node that is
// disconnected from the store learns of an epoch whose records it can't read,
// and the others receive positions and claims of the previous epoch.
TEST_CASE("nodes of two store epochs exchange messages") {
    gateway_fixture world;
    world.add_node();
    endpoint_id const leaving("r1");
    auto const snapshot = world.metadata.store();
    append_filler_records(world, std::string(registry_topic), lost_records);
    append_filler_records(world, std::string(declarations_topic), lost_records);
    configure_and_wait(world, 2);
    world.disconnect_store(1);
    world.metadata.come_back(snapshot);

    SUBCASE("both serve, and no fencing number is used twice") {
        check_served(world, "a");
        run_for(world, bound);
        check_served(world, "b");
        CHECK(world.node_at(1).configuration_version() == 2);
        check_fencing(world);
    }
    SUBCASE("each applies changes in time, once it reaches the store") {
        world.configure(9);
        start_draining(world, world.first);
        CHECK(within(world, bound, [&] {
            return world.node_at(0).configuration_version() == 9 &&
                   !world.node_at(0).routes_to(leaving);
        }));
        CHECK(world.node_at(1).configuration_version() == 2);
        world.reconnect_store(1);
        CHECK(within(world, bound, [&] {
            return both_have_version(world, 9) &&
                   !world.node_at(1).routes_to(leaving);
        }));
        check_served(world, "c");
        check_fencing(world);
    }
    SUBCASE("a position of the previous epoch causes no repeated polls") {
        run_for(world, bound);
        unsigned const before =
            world.metadata.readings[std::string(declarations_topic)];
        run_for(world, seconds(1));
        unsigned const after =
            world.metadata.readings[std::string(declarations_topic)];
        // A long poll lasts for two seconds.
        CHECK(after - before <= 1);
    }
}

// Guards against a claim that the store has accepted and then lost, without an
// answer to the claiming node: its offset is assigned again to another lease
// holder.
TEST_CASE("the answer to a claim is lost, and the store is rolled back") {
    gateway_fixture world;
    world.add_replicas(6, "deadly");
    auto const snapshot = world.metadata.store();
    unsigned const before = claim_count(world);
    world.metadata.loses_append_answers = true;
    world.start_node();
    REQUIRE(world.loop.run_until([&] { return claim_count(world) > before; }));
    world.metadata.come_back(snapshot);
    world.metadata.loses_append_answers = false;
    REQUIRE(world.loop.run_until([&] { return world.node_at(1).ready(); }));
    SUBCASE("at once") {}
    SUBCASE("some time later") {
        run_for(world, bound);
    }
    check_served(world, "a");
    check_fencing(world);
}

// Guards against a poll whose first pages are from before the rollback and the
// others from after it: records between them would be missed.
TEST_CASE("the store is rolled back between two pages of a poll") {
    bool armed = false;
    std::string topic;
    gateway_fixture world(
        [](gateway_fixture& before) { before.metadata.page_items = 2; });
    REQUIRE(world.loop.run_until([&] { return world.node->ready(); }));
    endpoint_id const leaving("r1");
    for (int each = 0; each < lost_records; ++each) {
        world.metadata.store().put(
            std::string(declarations_topic),
            "version/m.b" + std::to_string(each),
            R"({"model":"m","adapter":"b","version":2})");
    }
    auto const snapshot_with_pages = world.metadata.store();
    world.configure(2);
    append_filler_records(world, std::string(registry_topic), lost_records);
    REQUIRE(world.loop.run_until(
        [&] { return world.node->configuration_version() == 2; }));
    world.metadata.page_made = [&](std::string const& written_topic) {
        if (armed && written_topic == topic) {
            armed = false;
            world.metadata.come_back(snapshot_with_pages);
        }
    };
    SUBCASE("of the declarations") {
        topic = declarations_topic;
    }
    SUBCASE("of the replica registry") {
        topic = registry_topic;
    }
    armed = true;
    world.metadata.come_back(snapshot_with_pages);
    bool replica_dropped = false;
    REQUIRE(within(world, bound, [&] {
        replica_dropped =
            replica_dropped || !world.node->routes_to(endpoint_id("r2"));
        return !armed;
    }));
    world.configure(9);
    start_draining(world, world.first);
    append_filler_records(world, std::string(registry_topic), 2 * lost_records);
    append_filler_records(
        world, std::string(declarations_topic), 2 * lost_records);
    CHECK(within(world, bound, [&] {
        replica_dropped =
            replica_dropped || !world.node->routes_to(endpoint_id("r2"));
        return world.node->configuration_version() == 9 &&
               !world.node->routes_to(leaving);
    }));
    CHECK_FALSE(replica_dropped);
}

// Guards against a second rollback while one node has not yet read the first
// snapshot in full, and the other one has.
TEST_CASE("the store is rolled back twice in succession with two nodes") {
    gateway_fixture world;
    world.add_node();
    auto const snapshot = world.metadata.store();
    append_filler_records(world, std::string(declarations_topic), lost_records);
    configure_and_wait(world, 2);
    milliseconds between{0};
    SUBCASE("at once") {}
    SUBCASE("while one node reads the first snapshot") {
        between = milliseconds(300);
    }
    SUBCASE("when both nodes have read the first snapshot") {
        between = milliseconds(1'500);
    }
    world.metadata.come_back(snapshot);
    run_for(world, between);
    world.configure(3);
    append_filler_records(world, std::string(declarations_topic), 1);
    check_served(world, "a");
    world.metadata.come_back(snapshot);
    world.configure(9);
    append_filler_records(
        world, std::string(declarations_topic), 2 * lost_records);
    CHECK(within(world, bound, [&] { return both_have_version(world, 9); }));
    check_served(world, "b");
    check_fencing(world);
}

} // namespace camphorpoint
