#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::gateway_fixture;
using testing::served_replica;
using testing::within;

namespace {

constexpr milliseconds rest{1'500};
/// Requests that are on their way may still arrive for so long.
constexpr milliseconds rest_notice{500};
constexpr std::ptrdiff_t max_requests_in_rest = 2;

void begin_rest(served_replica& replica) {
    replica.engine.sheds = true;
    replica.engine.rest = "1.5";
}

/// @returns requests that arrive in the rest that the first rejection asks for
std::ptrdiff_t requests_in_rest(served_replica const& replica) {
    std::vector<instant> const& all = replica.engine.arrivals;
    REQUIRE_FALSE(all.empty());
    return std::ranges::count_if(all, [&](instant each) {
        return each >= all.front() + rest_notice && each < all.front() + rest;
    });
}

/// Sends a request every 20 ms.
void send_for(
    gateway_fixture& world, milliseconds time, std::vector<int>& statuses) {
    instant const until = boot_clock::now() + time;
    for (int number = 0; boot_clock::now() < until; ++number) {
        std::string const id = "q" + std::to_string(number);
        world.send_to_node_async(0, "/look/b", "", id, "body " + id, statuses);
        within(world, milliseconds(20), [] { return false; });
    }
}

} // namespace

// Guards against a node that goes on sending to a replica which has asked it
// for rest.
TEST_CASE("a replica that asks for rest gets no requests until its end") {
    std::vector<int> statuses;
    gateway_fixture world;

    SUBCASE("others serve the callers meanwhile") {
        world.more_replicas.push_back(
            std::make_unique<served_replica>(world.loop, "p2", "", 0));
        world.list(*world.more_replicas.back(), "app");
        REQUIRE(world.loop.run_until(
            [&] { return world.node->knows_replica(endpoint_id("p2")); }));
        begin_rest(world.plain);
        send_for(world, rest + milliseconds(300), statuses);
        CHECK(requests_in_rest(world.plain) <= max_requests_in_rest);
        CHECK(
            std::ranges::count(statuses, 200) + 3 >=
            static_cast<std::ptrdiff_t>(statuses.size()));
        world.plain.engine.sheds = false;
        std::size_t const before = world.plain.engine.runs.size();
        send_for(world, milliseconds(2'000), statuses);
        CHECK(world.plain.engine.runs.size() > before);
    }
    SUBCASE("while all rest callers are told when to come back") {
        begin_rest(world.plain);
        world.ask("/look/b", "", "q1");
        REQUIRE(world.plain.engine.arrivals.size() == 1);
        within(world, milliseconds(600), [] { return false; });
        auto const refused = world.ask("/look/b", "", "q2");
        CHECK(refused.response.status == 503);
        double const retry_after = std::atof(
            std::string(refused.response.fields.get("Retry-After")).c_str());
        CHECK(retry_after > 0.5);
        CHECK(retry_after < 1.5);
        CHECK(world.plain.engine.arrivals.size() == 1);
    }
    SUBCASE("a rest that ends soon is waited for") {
        world.plain.engine.sheds = true;
        world.plain.engine.rest = "0.3";
        world.ask("/look/b", "", "q1");
        world.plain.engine.sheds = false;
        CHECK(world.ask("/look/b", "", "q2").response.status == 200);
        std::vector<instant> const& all = world.plain.engine.arrivals;
        CHECK(all.back() - all.front() >= milliseconds(300));
    }
    SUBCASE("a shorter rest does not end a longer one") {
        begin_rest(world.plain);
        std::vector<int> both;
        world.send_to_node_async(0, "/look/b", "", "q1", "x", both);
        world.plain.engine.rest = "1.5";
        world.send_to_node_async(0, "/look/b", "", "q2", "y", both);
        // The first rejection is written with the longer rest.
        REQUIRE(world.loop.run_until(
            [&] { return !world.plain.engine.arrivals.empty(); }));
        world.plain.engine.rest = "0.1";
        REQUIRE(world.loop.run_until([&] { return both.size() == 2; }));
        send_for(world, rest, statuses);
        CHECK(requests_in_rest(world.plain) <= max_requests_in_rest);
    }
    SUBCASE("a restart ends it") {
        begin_rest(world.plain);
        world.ask("/look/b", "", "q1");
        world.plain.engine.sheds = false;
        world.plain.engine.start_again();
        world.list(world.plain, "app");
        within(world, milliseconds(200), [] { return false; });
        CHECK(world.ask("/look/b", "", "q2").response.status == 200);
    }
}

// Guards against requests that were decided before the replica asked for rest
// and are sent when their adapter has been loaded there.
TEST_CASE("requests that wait for a load are not sent to a resting replica") {
    std::vector<int> statuses;
    gateway_fixture world;
    world.unlist(world.second);
    within(world, milliseconds(100), [] { return false; });
    world.first.engine.load_time = milliseconds(500);
    world.send_to_node_async(0, "/gen/x", "m/a1", "q1", "x", statuses);
    within(world, milliseconds(100), [] { return false; });
    begin_rest(world.first);
    world.send_to_node_async(0, "/gen/x", "m", "q2", "y", statuses);
    within(world, milliseconds(50), [] { return false; });
    world.first.engine.sheds = false;
    within(world, rest - milliseconds(200), [] { return false; });
    CHECK(world.first.engine.arrivals.size() == 1);
}

// Guards against a replica that rejects requests and gets most of the next
// ones, since it is idle.
TEST_CASE("a replica that rejects requests gets fewer than one that does not") {
    std::vector<int> statuses;
    gateway_fixture world;
    // The fixture keeps the replica, since requests still run there when the
    // test ends.
    world.more_replicas.push_back(
        std::make_unique<served_replica>(world.loop, "p2", "", 0));
    served_replica& other = *world.more_replicas.back();
    other.engine.service_time = milliseconds(50);
    world.list(other, "app");
    REQUIRE(world.loop.run_until(
        [&] { return world.node->knows_replica(endpoint_id("p2")); }));
    world.plain.engine.sheds = true;
    send_for(world, milliseconds(2'000), statuses);
    CHECK(
        world.plain.engine.arrivals.size() < other.engine.arrivals.size() / 2);
}

} // namespace camphorpoint
