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
using testing::within;

namespace {

/// Rejections in a second that the replica bears.
constexpr std::size_t max_rejections = 5;
/// Time in which the nodes learn that the replica is brittle.
constexpr milliseconds notice_time{500};
constexpr milliseconds request_interval{8};

/// Sends requests to three nodes by turns, three times as many as the replica
/// can run.
void send_for(
    gateway_fixture& world, milliseconds time, std::size_t& sent,
    std::vector<int>& statuses) {
    instant const until = boot_clock::now() + time;
    while (boot_clock::now() < until) {
        std::string const id = "q" + std::to_string(sent);
        world.send_to_node_async(
            sent++ % 3, "/look/b", "", id, "body " + id, statuses);
        within(world, request_interval, [] { return false; });
    }
}

/// @returns the largest number of times within one second
std::size_t most_in_a_second(std::vector<instant> const& times, instant since) {
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        if (*first >= since) {
            auto const last =
                std::upper_bound(first, times.end(), *first + seconds(1));
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
    }
    return most;
}

} // namespace

// Guards against a replica that falls over because all nodes together send it
// more requests than it has room for, and it has to reject too many.
TEST_CASE("a brittle replica rejects few requests, whatever the demand") {
    std::vector<int> statuses;
    std::size_t sent = 0;
    gateway_fixture world;
    world.add_node();
    world.add_node();
    world.plain.engine.service_time = milliseconds(200);
    world.plain.engine.room = 8;
    world.plain.engine.brittle = std::to_string(max_rejections);
    send_for(world, notice_time, sent, statuses);
    instant const since = boot_clock::now();

    SUBCASE("requests beyond its room are refused by the nodes") {
        send_for(world, milliseconds(4'000), sent, statuses);
        CHECK(
            most_in_a_second(world.plain.engine.rejections, since) <=
            max_rejections);
        // It could run 40 requests a second.
        CHECK(std::ranges::count(statuses, 200) >= 4 * 20);
    }
    SUBCASE("it is used like any other when it names no limit any more") {
        world.plain.engine.brittle.clear();
        world.plain.engine.room = 0;
        send_for(world, milliseconds(1'500), sent, statuses);
        statuses.clear();
        send_for(world, milliseconds(1'000), sent, statuses);
        CHECK(
            std::ranges::count(statuses, 200) ==
            static_cast<std::ptrdiff_t>(statuses.size()));
    }
    within(world, milliseconds(400), [] { return false; });
}

} // namespace camphorpoint
