#include <Camphorpoint/Routing>

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr instant start = instant() + seconds(100);
constexpr startup_gate_timeouts timeouts;

} // namespace

// Guards against a node that serves according to an older snapshot of the store
// because it has not yet received the other nodes' reports that they know more.
TEST_CASE("a starting node serves when it knows what the other nodes know") {
    startup_gate gate;
    CHECK_FALSE(gate.passed(0, start));
    gate.mark_configured(start);
    CHECK_FALSE(gate.passed(1, start));
    gate.set_peers("own", {"a", "b"});
    gate.handle_peer_total("a", 1);
    CHECK_FALSE(gate.passed(1, start));

    SUBCASE("at once when all peers have reported that they know no more") {
        gate.handle_peer_total("b", 0);
        CHECK(gate.passed(1, start));
    }
    SUBCASE("when it has read what one peer knows in addition") {
        gate.handle_peer_total("b", 5);
        CHECK_FALSE(gate.passed(4, start + seconds(1)));
        CHECK(gate.passed(5, start + seconds(1)));
    }
    SUBCASE("after a bounded time when the store never contains it") {
        gate.handle_peer_total("b", 5);
        instant const bound = start + timeouts.catch_up_timeout;
        CHECK_FALSE(gate.passed(1, bound - milliseconds(1)));
        CHECK(gate.passed(1, bound));
    }
    SUBCASE("after a short time when a peer sends no report") {
        instant const bound = start + timeouts.peer_report_timeout;
        CHECK_FALSE(gate.passed(1, bound - milliseconds(1)));
        CHECK(gate.passed(1, bound));
    }
    SUBCASE("and from then on, whatever is reported later") {
        gate.handle_peer_total("b", 1);
        CHECK(gate.passed(1, start));
        gate.handle_peer_total("b", 9);
        CHECK(gate.passed(1, start));
    }
}

// Guards against a node that waits for peers although there are none.
TEST_CASE("a node without peers serves as soon as it knows that") {
    startup_gate gate;
    gate.mark_configured(start);
    SUBCASE("by the member list") {
        gate.set_peers("own", {});
        CHECK(gate.passed(1, start));
    }
    SUBCASE("after a short time when the member list cannot be read") {
        CHECK_FALSE(gate.passed(1, start));
        CHECK(gate.passed(1, start + timeouts.peer_report_timeout));
    }
}

// Guards against a burst of queries by all nodes to all nodes when all of them
// start at once.
TEST_CASE("a starting node asks a few peers, whatever the number of nodes") {
    constexpr int nodes = 1'900;
    constexpr std::size_t few = 8;
    std::set<std::string> all;
    for (int each = 0; each < nodes; ++each) {
        all.insert(std::to_string(each));
    }
    std::map<std::string, std::size_t> asked;
    for (std::string const& own : all) {
        std::set<std::string> others = all;
        others.erase(own);
        startup_gate gate;
        gate.set_peers(own, others);
        REQUIRE(gate.peers_to_ask().size() == few);
        for (std::string const& each : gate.peers_to_ask()) {
            ++asked[each];
        }
    }
    for (auto const& [name, count] : asked) {
        CHECK(count < 4 * few);
    }
}

} // namespace camphorpoint
