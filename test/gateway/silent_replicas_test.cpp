#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
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

/// Lets all replicas be silent for this time from now on.
void fall_silent(gateway_fixture& world, milliseconds time) {
    instant const until = boot_clock::now() + time;
    for (served_replica* const each :
         {&world.first, &world.second, &world.plain}) {
        each->engine.silent_until = until;
    }
}

} // namespace

// Guards against requests that end, or run twice, because all replicas of their
// service are silent for a moment and go on.
TEST_CASE("requests outlast a silence of all replicas") {
    gateway_fixture world;
    world.add_node();
    REQUIRE(world.ask("/gen/a", "m/a1", "before").response.status == 200);
    std::vector<int> statuses;
    milliseconds silence{1'400};
    std::string path;
    std::string model;

    SUBCASE("requests that may not be repeated") {
        path = "/book/b";
    }
    SUBCASE("requests that may be repeated") {
        path = "/look/b";
    }
    SUBCASE("streams that have no event yet") {
        path = "/gen/a";
        model = "m/a1";
    }
    SUBCASE("streams that wait for their adapter") {
        path = "/gen/a";
        model = "m/a2";
        silence = milliseconds(700);
    }
    fall_silent(world, silence);
    constexpr std::size_t count = 8;
    for (std::size_t each = 0; each < count; ++each) {
        std::string const id = "q" + std::to_string(each);
        world.send_to_node_async(
            each % 2, path, model, id, "body " + id, statuses);
        within(world, milliseconds(10), [] { return false; });
    }
    world.loop.run_until([&] { return statuses.size() == count; });
    CHECK(std::ranges::count(statuses, 200) == count);
    for (std::size_t each = 0; each < count; ++each) {
        CHECK(world.runs("q" + std::to_string(each)) == 1);
    }
    CHECK_FALSE(world.first.engine.overfilled);
    CHECK_FALSE(world.second.engine.overfilled);
}

} // namespace camphorpoint
