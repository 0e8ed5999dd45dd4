#include "platform/store_client.hpp"
#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

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

/// A starting node without peers that know more is ready after its first polls.
constexpr milliseconds ready_time{700};

/// Writes a configuration and waits until the node has applied it, and with it
/// all earlier records.
void configure_and_wait(gateway_fixture& world) {
    std::uint64_t const version = world.node->configuration_version() + 1;
    world.configure(static_cast<unsigned>(version));
    REQUIRE(world.loop.run_until(
        [&] { return world.node->configuration_version() == version; }));
}

} // namespace

// Guards against records that are never read after a store rollback: the store
// is unreachable for a moment and comes back from a snapshot that is seconds
// old. Records written since are gone, and their offsets are assigned again. A
// request to a route that is declared then got 404, because the record stood
// below the offset from which the node read on.
TEST_CASE("the store is rolled back to an older snapshot") {
    gateway_fixture world;
    constexpr int lost_records = 6;

    SUBCASE("a declaration after the rollback is in force in time") {
        auto const snapshot = world.metadata.store();
        append_filler_records(world, "keyed.op", lost_records);
        configure_and_wait(world);
        world.metadata.come_back(snapshot);
        world.configure(9);
        append_filler_records(world, "keyed.op", 2 * lost_records);
        CHECK(within(world, bound, [&] {
            return world.node->configuration_version() == 9;
        }));
    }
    SUBCASE("a replica that drains after the rollback gets no new requests") {
        endpoint_id const id("r1");
        auto const snapshot = world.metadata.store();
        append_filler_records(world, "keyed.servers", lost_records);
        within(world, milliseconds(200), [] { return false; });
        world.metadata.come_back(snapshot);
        std::string entry =
            world.first.engine.entry("llm", world.first.address());
        entry.replace(entry.find("ready"), 5, "draining");
        world.metadata.store().put("keyed.servers", "r1", entry);
        SUBCASE("with the new end beyond the old position") {
            append_filler_records(world, "keyed.servers", 2 * lost_records);
        }
        SUBCASE(
            "with the new end at the old position, so that nothing seems new") {
            append_filler_records(world, "keyed.servers", lost_records - 1);
        }
        CHECK(within(world, bound, [&] { return !world.node->routes_to(id); }));
    }
    SUBCASE("a replica whose entry is not in the snapshot stays in use") {
        testing::served_replica late(world.loop, "p2", "", 0);
        endpoint_id const id("p2");
        auto const snapshot = world.metadata.store();
        world.list(late, "app");
        REQUIRE(
            world.loop.run_until([&] { return world.node->routes_to(id); }));
        world.metadata.come_back(snapshot);
        CHECK_FALSE(within(world, milliseconds(1'200), [&] {
            return !world.node->routes_to(id);
        }));
        world.list(late, "app");
        CHECK_FALSE(within(world, milliseconds(2'500), [&] {
            return !world.node->routes_to(id);
        }));
    }
    SUBCASE("a replica that was removed stays removed") {
        endpoint_id const id("r1");
        auto const snapshot = world.metadata.store();
        world.unlist(world.first);
        REQUIRE(
            world.loop.run_until([&] { return !world.node->routes_to(id); }));
        world.metadata.come_back(snapshot);
        CHECK_FALSE(within(
            world, seconds(3), [&] { return world.node->routes_to(id); }));
    }
    SUBCASE("a configuration that was in force stays in force") {
        auto const snapshot = world.metadata.store();
        world.configure(5);
        REQUIRE(world.loop.run_until(
            [&] { return world.node->configuration_version() == 5; }));
        world.metadata.come_back(snapshot);
        CHECK_FALSE(within(world, milliseconds(1'500), [&] {
            return world.node->configuration_version() != 5;
        }));
        world.configure(6);
        CHECK(within(world, bound, [&] {
            return world.node->configuration_version() == 6;
        }));
    }
    SUBCASE("twice in succession, while requests are served") {
        for (int round = 0; round < 2; ++round) {
            auto const snapshot = world.metadata.store();
            append_filler_records(world, "keyed.op", lost_records);
            configure_and_wait(world);
            world.metadata.come_back(snapshot);
            for (int each = 0; each < 4; ++each) {
                std::string const id =
                    std::to_string(round) + "." + std::to_string(each);
                auto const got = world.ask("/gen/a", "m/a" + id, id);
                CHECK(got.response.status == 200);
            }
        }
        CHECK_FALSE(world.first.engine.overfilled);
        CHECK_FALSE(world.second.engine.overfilled);
    }
    SUBCASE("by a store that does not report its epoch") {
        gateway_fixture no_epoch_fixture(
            [](gateway_fixture& before) { before.metadata.epoch = 0; });
        REQUIRE(no_epoch_fixture.loop.run_until(
            [&] { return no_epoch_fixture.node->ready(); }));
        auto const snapshot = no_epoch_fixture.metadata.store();
        append_filler_records(no_epoch_fixture, "keyed.op", lost_records);
        configure_and_wait(no_epoch_fixture);
        no_epoch_fixture.metadata.come_back(snapshot);
        // The node's long poll ends, because its position no longer exists.
        within(no_epoch_fixture, milliseconds(500), [] { return false; });
        no_epoch_fixture.configure(9);
        CHECK(within(no_epoch_fixture, bound, [&] {
            return no_epoch_fixture.node->configuration_version() == 9;
        }));
    }
}

// Guards against rejections that an outage alone would not cause: a lease
// holder that claimed its partitions again after a rollback regarded all
// adapters at its replicas as just used, and had no capacity for others for a
// second.
TEST_CASE(
    "a lease holder that claims again keeps the capacity of its replicas") {
    gateway_fixture world;
    constexpr int replica_slots = 6;
    auto const ask_all = [&](std::string const& prefix) {
        int served = 0;
        for (int each = 0; each < replica_slots; ++each) {
            std::string const id = prefix + std::to_string(each);
            auto const got = world.ask("/gen/a", "m/a" + id, id);
            served += got.response.status == 200 ? 1 : 0;
        }
        return served;
    };
    REQUIRE(ask_all("a") == replica_slots);
    auto const newest_token = [&] {
        auto const& holders = world.first.engine.holders;
        return holders.empty() ? 0 : holders.rbegin()->first;
    };
    auto const before = newest_token();
    SUBCASE("in the same epoch") {
        within(world, milliseconds(1'000), [] { return false; });
    }
    SUBCASE("in the next epoch") {
        world.metadata.come_back(world.metadata.store());
        within(world, milliseconds(1'000), [] { return false; });
    }
    CHECK(ask_all("b") == replica_slots);
    CHECK(newest_token() >= before);
}

// Guards against a node that starts after a store rollback, before the operator
// has written the lost declarations again. It took the snapshot for the newest
// state: callers got 404 on a route that had been in force, and attempts ran on
// an adapter version that had been replaced.
TEST_CASE("a node that starts after a rollback serves no older state") {
    gateway_fixture world;
    std::string const lost_route =
        R"({"name":"lost","hostname":"h","path_prefix":"/lost/",)"
        R"("type":"safe","timeout_ms":3000,"target_latency_ms":800,)"
        R"("priority":0,"service":"app","attempts":2},)";
    std::string const version = R"({"model":"m","adapter":"a1","version":3})";
    auto const snapshot = world.metadata.store();

    SUBCASE("than the configuration that was in force") {
        world.configure(5, lost_route);
        REQUIRE(world.loop.run_until(
            [&] { return world.node->configuration_version() == 5; }));
        world.metadata.come_back(snapshot);
        world.start_node();
        CHECK_FALSE(
            within(world, bound, [&] { return world.node_at(1).ready(); }));
        CHECK(
            world.send_to_node(1, "/lost/a", "", "q2", "").response.status ==
            503);
        world.configure(5, lost_route);
        CHECK(within(world, bound, [&] { return world.node_at(1).ready(); }));
        CHECK(
            world.send_to_node(1, "/lost/a", "", "q3", "").response.status ==
            200);
    }
    SUBCASE("than the version of an adapter") {
        auto const knows_version = [&](std::size_t which) {
            return world.node_at(which).newest_version(adapter_id("m/a1")) == 3;
        };
        world.metadata.store().put("keyed.op", "version/m.a1", version);
        REQUIRE(world.loop.run_until([&] { return knows_version(0); }));
        world.metadata.come_back(snapshot);
        world.start_node();
        CHECK_FALSE(
            within(world, bound, [&] { return world.node_at(1).ready(); }));
        auto const before_rewrite =
            world.send_to_node(1, "/gen/a", "m/a1", "q2", "x");
        CHECK(before_rewrite.response.status == 503);
        world.metadata.store().put("keyed.op", "version/m.a1", version);
        CHECK(within(world, bound, [&] { return world.node_at(1).ready(); }));
        CHECK(knows_version(1));
    }
    SUBCASE("a node whose peers know no more is ready at once") {
        world.configure(2);
        REQUIRE(world.loop.run_until(
            [&] { return world.node->configuration_version() == 2; }));
        world.start_node();
        CHECK(within(
            world, ready_time, [&] { return world.node_at(1).ready(); }));
    }
}

// Guards against a quarantine that is lost with the store's newest records: all
// nodes still know it, but when all of them restart, none would. It must be
// stored again.
TEST_CASE("a quarantine is stored again after a store rollback") {
    gateway_fixture world;
    constexpr unsigned replicas = 6;
    world.add_replicas(replicas, "deadly");
    auto const snapshot = world.metadata.store();
    for (int each = 0; each < 4; ++each) {
        std::string const id = std::to_string(each);
        world.send_to_node(0, "/gen/a", "m", id, "deadly");
    }
    auto const quarantine_stored = [&] {
        return !world.metadata.store().newest("keyed.quarantine").empty();
    };
    REQUIRE(world.loop.run_until(quarantine_stored));
    world.metadata.come_back(snapshot);
    REQUIRE_FALSE(quarantine_stored());
    CHECK(within(world, bound, quarantine_stored));
}

// Guards against a write that got no answer and is carried out behind a newer
// one.
TEST_CASE("a record is written only where its topic ends for the writer") {
    using platform::store_failure;
    testing::loopback loop;
    standins::metadata_http metadata;
    http_server server(
        loop.executor(), http_limits(),
        [&](http_exchange& exchange) { return metadata.answer(exchange); });
    REQUIRE(server.listen(testing::local(0)).empty());
    platform::store_client client(
        loop.executor(), testing::local(server.port()), milliseconds(100));
    std::string const topic = "keyed.software";
    auto const put = [&](std::string value, std::uint64_t at) {
        std::optional<platform::store_result<store_position>> result;
        loop.run([&]() -> boost::asio::awaitable<void> {
            auto const record = std::make_shared<std::string>(std::move(value));
            result = co_await client.put(
                platform::store_topic::software, "s", *record,
                {store_epoch{1}, at});
        });
        REQUIRE(result);
        return *result;
    };
    auto const stored = [&] {
        return metadata.store().newest(topic)["s"];
    };
    auto const first = put("first", 0);
    REQUIRE(first);
    CHECK(first.value() == store_position{store_epoch{1}, 1});

    SUBCASE("a writer that has not read the last record learns of it") {
        auto const outdated = put("second", 0);
        REQUIRE_FALSE(outdated);
        CHECK(outdated.error() == store_failure::outdated);
        CHECK(stored() == "first");
    }
    SUBCASE("a write that was not answered is carried out late") {
        metadata.delays_appends_to = topic;
        auto const lost = put("older", 1);
        REQUIRE_FALSE(lost);
        CHECK(lost.error() == store_failure::no_answer);
        metadata.delays_appends_to.clear();
        SUBCASE("behind a newer one") {
            CHECK(put("newer", 1));
            metadata.carry_out_delayed();
            CHECK(stored() == "newer");
        }
        SUBCASE("before a newer one, whose writer learns of it") {
            metadata.carry_out_delayed();
            auto const newer = put("newer", 1);
            REQUIRE_FALSE(newer);
            CHECK(newer.error() == store_failure::outdated);
            CHECK(stored() == "older");
        }
    }
}

// Guards against the record of a quarantine that was sent before another writer
// stored a newer one: the store has not answered, and carries the write out
// seconds later, or the node repeats it.
TEST_CASE("a late write of a quarantine doesn't replace a newer record") {
    gateway_fixture world;
    constexpr unsigned replicas = 6;
    world.add_replicas(replicas, "deadly");
    auto& metadata = world.metadata;
    std::string const topic = "keyed.quarantine";
    auto const snapshot = metadata.store();
    for (int each = 0; each < 4; ++each) {
        std::string const id = std::to_string(each);
        world.send_to_node(0, "/gen/a", "m", id, "deadly");
    }
    auto const stored = [&] {
        return metadata.store().newest(topic);
    };
    REQUIRE(world.loop.run_until([&] { return !stored().empty(); }));
    auto const [key, older] = *stored().begin();
    std::string newer = older;
    std::string const revision = R"("turn":1)";
    REQUIRE(newer.find(revision) != std::string::npos);
    newer.replace(newer.find(revision), revision.size(), R"("turn":3)");

    // After a rollback the node writes the quarantine again.
    metadata.delays_appends_to = topic;
    metadata.come_back(snapshot);
    REQUIRE(within(world, bound, [&] { return metadata.delayed() > 0; }));
    metadata.delays_appends_to.clear();
    metadata.store().put(topic, key, newer);
    within(world, bound, [] { return false; });
    CHECK(stored()[key] == newer);
    metadata.carry_out_delayed();
    CHECK(stored()[key] == newer);
}

} // namespace camphorpoint
