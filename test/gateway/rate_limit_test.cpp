#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::gateway_fixture;
using testing::served_replica;
using testing::within;

namespace {

/// The platform counts requests in windows of this length, and allows one and a
/// half times the limit and five requests in each.
constexpr seconds window{4};
constexpr std::size_t allowed(double per_second) {
    return static_cast<std::size_t>(1.5 * per_second * 4 + 5);
}
/// Requests of a node count from this time after its first answer that names
/// the limit.
constexpr milliseconds notice_time{500};
constexpr milliseconds request_interval{60};

/// Three nodes whose callers send requests by turns.
struct limited_world {
    limited_world() {
        world.add_node();
        world.add_node();
    }

    /// Sends a request every 60 ms, each to another node.
    /// @param model empty for the plain service
    void send_for(milliseconds time, std::string const& model = "") {
        instant const until = boot_clock::now() + time;
        while (boot_clock::now() < until) {
            std::string const id = "q" + std::to_string(sent);
            world.send_to_node_async(
                sent++ % 3, model.empty() ? "/look/b" : "/gen/a", model, id,
                "body " + id, statuses);
            within(world, request_interval, [] { return false; });
        }
    }

    /// @returns the largest number of requests that reached a replica in a
    ///          window
    std::size_t busiest_window(served_replica const& at, instant since) const {
        std::vector<instant> const& all = at.engine.arrivals;
        std::size_t most = 0;
        for (auto first = all.begin(); first != all.end(); ++first) {
            if (*first >= since) {
                auto const last =
                    std::upper_bound(first, all.end(), *first + window);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    std::size_t arrivals_since(served_replica const& at, instant since) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            at.engine.arrivals, [&](instant each) { return each >= since; }));
    }

    /// Requests that are pending at the end of a test complete while the world
    /// is destroyed, so this is destroyed after it.
    std::vector<int> statuses;
    gateway_fixture world;
    std::size_t sent = 0;
};

} // namespace

// Guards against a replica in need that gets more requests than it takes: it
// names a rate in its answers, and every node sends on as before, or keeps the
// rate by itself, so that all nodes together exceed it.
TEST_CASE("a replica gets no more requests than the rate that it names") {
    limited_world nodes;
    gateway_fixture& world = nodes.world;
    served_replica& limited = world.plain;
    double const rate = 2;
    limited.engine.rate_limit = "2.0";
    SUBCASE("when it is the only one") {
        nodes.send_for(milliseconds(1'000));
        instant const since = boot_clock::now();
        nodes.send_for(milliseconds(5'000));
        CHECK(nodes.busiest_window(limited, since) <= allowed(rate));
        // Demand is eight times the limit.
        CHECK(nodes.arrivals_since(limited, since) >= 9);
        // What can't be served is refused while the caller can still retry.
        CHECK(std::ranges::count(nodes.statuses, 503) > 0);
        auto const refused =
            world.send_to_node(0, "/look/b", "", "last", "last body");
        if (refused.response.status == 503) {
            CHECK_FALSE(refused.response.fields.get("Retry-After").empty());
        }
    }
    SUBCASE("while others take all requests") {
        served_replica other(world.loop, "p2", "", 0);
        world.list(other, "app");
        REQUIRE(within(world, seconds(2), [&] {
            return world.node->routes_to(endpoint_id(other.id));
        }));
        nodes.send_for(milliseconds(1'000));
        instant const since = boot_clock::now();
        nodes.statuses.clear();
        nodes.send_for(milliseconds(4'500));
        CHECK(nodes.busiest_window(limited, since) <= allowed(rate));
        CHECK(
            std::ranges::count(nodes.statuses, 200) ==
            static_cast<std::ptrdiff_t>(nodes.statuses.size()));
        SUBCASE("and it is used again when it names none") {
            limited.engine.rate_limit.clear();
            nodes.send_for(milliseconds(2'000));
            instant const lifted = boot_clock::now();
            nodes.send_for(milliseconds(2'000));
            CHECK(nodes.arrivals_since(limited, lifted) > 2 * 2 * rate);
        }
        world.unlist(other);
    }
    SUBCASE("when it takes none") {
        limited.engine.rate_limit = "0";
        nodes.send_for(milliseconds(1'000));
        instant const since = boot_clock::now();
        nodes.send_for(milliseconds(4'500));
        CHECK(nodes.busiest_window(limited, since) <= allowed(0));
        SUBCASE("until it names none") {
            limited.engine.rate_limit.clear();
            nodes.send_for(milliseconds(3'000));
            instant const lifted = boot_clock::now();
            nodes.send_for(milliseconds(1'000));
            CHECK(nodes.arrivals_since(limited, lifted) > 5);
        }
    }
    SUBCASE("after the node that counted its requests has stopped") {
        nodes.send_for(milliseconds(1'000));
        instant const since = boot_clock::now();
        nodes.send_for(milliseconds(1'500));
        world.restart_nodes();
        nodes.send_for(milliseconds(4'000));
        CHECK(nodes.busiest_window(limited, since) <= allowed(rate));
    }
}

TEST_CASE("a rate that can't be read limits nothing") {
    limited_world nodes;
    std::string text;
    SUBCASE("a word") {
        text = "few";
    }
    SUBCASE("a negative number") {
        text = "-1";
    }
    SUBCASE("not a number") {
        text = "nan";
    }
    nodes.world.plain.engine.rate_limit = text;
    nodes.send_for(milliseconds(1'500));
    within(nodes.world, notice_time, [] { return false; });
    CHECK(
        std::ranges::count(nodes.statuses, 200) ==
        static_cast<std::ptrdiff_t>(nodes.statuses.size()));
}

// Guards against requests that wait at a replica in need although their adapter
// could be loaded elsewhere.
TEST_CASE("an adapter that is resident at a limited replica only") {
    limited_world nodes;
    gateway_fixture& world = nodes.world;
    REQUIRE(world.ask("/gen/a", "m/a1", "first").response.status == 200);
    served_replica& limited =
        world.first.engine.arrivals.empty() ? world.second : world.first;
    served_replica& other =
        world.first.engine.arrivals.empty() ? world.first : world.second;
    limited.engine.rate_limit = "1";
    nodes.send_for(milliseconds(1'500), "m/a1");
    instant const since = boot_clock::now();
    nodes.statuses.clear();
    nodes.send_for(milliseconds(4'500), "m/a1");
    within(world, milliseconds(500), [] { return false; });
    CHECK(nodes.busiest_window(limited, since) <= allowed(1));
    CHECK(nodes.arrivals_since(other, since) > nodes.statuses.size() / 2);
    CHECK(
        std::ranges::count(nodes.statuses, 200) ==
        static_cast<std::ptrdiff_t>(nodes.statuses.size()));
}

} // namespace camphorpoint
