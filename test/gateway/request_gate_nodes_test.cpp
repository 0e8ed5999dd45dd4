#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::within;

namespace {

constexpr std::size_t nodes = 3;
constexpr std::size_t requests_per_node = 5;
/// Crashes after which a request is quarantined.
constexpr unsigned max_crashes = 3;

/// Sends a body to all nodes at once, several times each.
/// @returns the statuses of the answers
std::vector<int>
send_to_all_nodes(gateway_fixture& world, std::string const& body) {
    std::vector<int> statuses;
    for (std::size_t each = 0; each < nodes * requests_per_node; ++each) {
        world.send_to_node_async(
            each % nodes, "/gen/a", "m", body + std::to_string(each), body,
            statuses);
    }
    bool const all_answered = within(world, milliseconds(4'000), [&] {
        return statuses.size() == nodes * requests_per_node;
    });
    CHECK(all_answered);
    return statuses;
}

} // namespace

// Guards against attempts of one poison request that start side by side just
// after all nodes have restarted: the requests wait together for an adapter,
// and five nodes started sixteen of them before the third crash was reported.
TEST_CASE("restarted nodes admit one attempt of a request at a time") {
    gateway_fixture world;
    world.add_node();
    world.add_node();
    world.add_replicas(14, "deadly");
    // Waits until each node knows which node keeps which gate.
    within(world, milliseconds(2'500), [] { return false; });

    SUBCASE("a request that crashes its replicas") {
        send_to_all_nodes(world, "deadly");
        CHECK(world.crashed_replicas <= max_crashes);
    }
    SUBCASE("a harmless request is served to all callers") {
        auto const statuses = send_to_all_nodes(world, "sound");
        CHECK(std::ranges::count(statuses, 200) == statuses.size());
    }
}

} // namespace camphorpoint
