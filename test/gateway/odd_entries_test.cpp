#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::gateway_fixture;
using testing::served_replica;
using testing::within;

namespace {

/// Within this time a node uses a replica that is listed.
constexpr seconds bound{2};

/// @returns values that another writer has left and that are no entries
std::vector<std::string> odd_values() {
    constexpr std::size_t levels = 100'000;
    std::string const usual =
        R"({{"service":"app","address":{},"zone":"z","version":"v1",)"
        R"("slots":{},"state":"ready","models":{},"sequence":{}}})";
    auto const with = [&](std::string const& address, std::string const& slots,
                          std::string const& models,
                          std::string const& sequence) {
        return fmt::format(
            fmt::runtime(usual), address, slots, models, sequence);
    };
    std::string const address = R"("127.0.0.1:9")";
    std::string const deep =
        std::string(levels, '[') + std::string(levels, ']');
    return {
        deep,
        std::string(levels, '{'),
        with(address, "8", deep, "1"),
        with(address, "1e300", "[]", "1"),
        with(address, "18446744073709551616", "[]", "1"),
        with(address, "8", "[]", "1e99999"),
        with(R"("127.0.0.1:70000")", "8", "[]", "1"),
        with(R"("127.0.0.1:-7")", "8", "[]", "1"),
        with(R"("nowhere:80")", "8", "[]", "1"),
        with("[]", "8", "[]", "1"),
        with(address, R"("8")", "[]", "1"),
        with(address, "8", "{}", "1"),
        with("\"\xff\xfe\"", "8", "[]", "1"),
        with("\"" + std::string(levels, '1') + ":1\"", "8", "[]", "1"),
        "[]",
        "null",
        "\xff",
        std::string(1, '\0'),
        "{\"service\":\"app\"",
    };
}

void put(
    gateway_fixture& world, std::string const& key, std::string const& value) {
    world.metadata.store().put("keyed.servers", key, value);
}

/// Checks that the node uses all replicas of the fixture, and one that is
/// listed now.
void check_serves(gateway_fixture& world, std::string const& joining) {
    endpoint_id const known[] = {
        endpoint_id(world.first.id), endpoint_id(world.second.id),
        endpoint_id(world.plain.id)};
    CHECK(within(world, bound, [&] {
        return world.node->routes_to(known[0]) &&
               world.node->routes_to(known[1]) &&
               world.node->routes_to(known[2]);
    }));
    CHECK(world.ask("/look/x", "", "q-" + joining).response.status == 200);
    world.more_replicas.push_back(
        std::make_unique<served_replica>(world.loop, joining, "", 0));
    world.list(*world.more_replicas.back(), "app");
    CHECK(within(world, bound, [&] {
        return world.node->routes_to(endpoint_id(joining));
    }));
}

} // namespace

// Guards against nodes that end or no longer follow the list since another
// writer has left one odd entry in it.
TEST_CASE("odd entries of the registry leave the sound ones in use") {
    SUBCASE("when they are there before the node starts") {
        gateway_fixture world([](gateway_fixture& before) {
            int number = 0;
            for (std::string const& each : odd_values()) {
                // Keys before, between and after those of the replicas.
                for (char const* const place : {"a", "q", "z"}) {
                    put(before, fmt::format("{}{}", place, number), each);
                }
                ++number;
            }
        });
        REQUIRE(within(world, bound, [&] { return world.node->ready(); }));
        check_serves(world, "s1");
    }
    SUBCASE("when they come one by one while the node runs") {
        gateway_fixture world;
        world.add_node();
        int number = 0;
        for (std::string const& each : odd_values()) {
            CAPTURE(number);
            put(world, fmt::format("odd{}", number), each);
            check_serves(world, fmt::format("s{}", number));
            CHECK_FALSE(world.node->knows_replica(
                endpoint_id(fmt::format("odd{}", number))));
            std::string const joined = fmt::format("s{}", number);
            CHECK(within(world, bound, [&] {
                return world.node_at(1).routes_to(endpoint_id(joined));
            }));
            ++number;
        }
    }
    SUBCASE("when they come with others in one read") {
        gateway_fixture world;
        served_replica joining(world.loop, "s1", "", 0);
        for (std::string const& each : odd_values()) {
            put(world, "odd", each);
        }
        world.list(joining, "app");
        for (std::string const& each : odd_values()) {
            put(world, "odd", each);
        }
        CHECK(within(world, bound, [&] {
            return world.node->routes_to(endpoint_id("s1"));
        }));
        check_serves(world, "s2");
    }
}

// Guards against a list of which only the pages before an odd key are read: the
// request for the next page was malformed, or the page with the key could not
// be parsed.
TEST_CASE("a node reads the pages after one that an odd key ends") {
    for (std::string const& odd :
         {std::string("p1 x"), std::string("p1&after=zz"),
          std::string("p1\r\nX: y"), std::string("p1%20+#?"),
          std::string("p1\xff\xfe"), std::string(255, 'p')}) {
        CAPTURE(odd);
        gateway_fixture world([&](gateway_fixture& before) {
            before.metadata.page_items = 1;
            put(before, odd, "7");
        });
        REQUIRE(within(world, bound, [&] { return world.node->ready(); }));
        check_serves(world, "s1");
    }
}

// Guards against an odd entry that stays out of use after its replica has
// written it anew, and against one that keeps its replica in use.
TEST_CASE("an odd entry that is corrected is used") {
    gateway_fixture world;
    served_replica joining(world.loop, "s1", "", 0);
    endpoint_id const id("s1");
    for (std::string const& each : odd_values()) {
        put(world, "s1", each);
        CHECK(within(world, bound, [&] { return !world.node->routes_to(id); }));
        world.list(joining, "app");
        CHECK(within(world, bound, [&] { return world.node->routes_to(id); }));
    }
}

// Guards against nodes that miss a configuration or a version since an odd
// record stands beside it.
TEST_CASE("odd declarations leave the sound ones in force") {
    auto const put_odd = [](gateway_fixture& world) {
        int number = 0;
        for (std::string const& each : odd_values()) {
            for (char const* const place : {"", "a/", "version/", "zz/"}) {
                world.metadata.store().put(
                    "keyed.op", fmt::format("{}{}", place, number), each);
            }
            ++number;
        }
    };
    auto const version = R"({"model":"m","adapter":"a1","version":4})";
    SUBCASE("at a start") {
        gateway_fixture world([&](gateway_fixture& before) {
            put_odd(before);
            before.metadata.store().put("keyed.op", "version/m.a1", version);
        });
        REQUIRE(within(world, bound, [&] { return world.node->ready(); }));
        CHECK(within(world, bound, [&] {
            return world.node->newest_version(adapter_id("m/a1")) == 4;
        }));
        CHECK(world.node->configuration_version() == 1);
    }
    SUBCASE("while the node runs") {
        gateway_fixture world;
        put_odd(world);
        world.configure(2);
        world.metadata.store().put("keyed.op", "version/m.a1", version);
        put_odd(world);
        for (std::string const& each : odd_values()) {
            world.metadata.store().put("keyed.op", "config", each);
        }
        CHECK(within(world, bound, [&] {
            return world.node->newest_version(adapter_id("m/a1")) == 4;
        }));
        CHECK(world.node->configuration_version() == 2);
        world.configure(3);
        CHECK(within(world, bound, [&] {
            return world.node->configuration_version() == 3;
        }));
    }
}

} // namespace camphorpoint
