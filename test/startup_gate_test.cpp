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
constexpr startup_gate_timeouts times;

} // namespace

// Guards against a node that serves by an older copy of the store, as it has
// not heard yet that others know more.
TEST_CASE("a node that begins serves when it knows what the others know") {
    startup_gate check;
    CHECK_FALSE(check.passed(0, start));
    check.mark_configured(start);
    CHECK_FALSE(check.passed(1, start));
    check.set_peers("own", {"a", "b"});
    check.handle_peer_total("a", 1);
    CHECK_FALSE(check.passed(1, start));

    SUBCASE("at once when all have said that they know no more") {
        check.handle_peer_total("b", 0);
        CHECK(check.passed(1, start));
    }
    SUBCASE("when it has read what one of them knows more") {
        check.handle_peer_total("b", 5);
        CHECK_FALSE(check.passed(4, start + seconds(1)));
        CHECK(check.passed(5, start + seconds(1)));
    }
    SUBCASE("after a bounded time when the store never has it") {
        check.handle_peer_total("b", 5);
        instant const bound = start + times.catch_up_timeout;
        CHECK_FALSE(check.passed(1, bound - milliseconds(1)));
        CHECK(check.passed(1, bound));
    }
    SUBCASE("after a short time when one of them says nothing") {
        instant const bound = start + times.peer_report_timeout;
        CHECK_FALSE(check.passed(1, bound - milliseconds(1)));
        CHECK(check.passed(1, bound));
    }
    SUBCASE("and from then on, whatever others say") {
        check.handle_peer_total("b", 1);
        CHECK(check.passed(1, start));
        check.handle_peer_total("b", 9);
        CHECK(check.passed(1, start));
    }
}

// Guards against a node that waits for others though there are none.
TEST_CASE("a node that is alone serves as soon as it knows that") {
    startup_gate check;
    check.mark_configured(start);
    SUBCASE("by the group's list") {
        check.set_peers("own", {});
        CHECK(check.passed(1, start));
    }
    SUBCASE("after a short time when the list can't be read") {
        CHECK_FALSE(check.passed(1, start));
        CHECK(check.passed(1, start + times.peer_report_timeout));
    }
}

// Guards against a wave of questions, by all nodes to all, where all begin at
// once.
TEST_CASE("a node that begins asks a few, whatever the number of nodes") {
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
        startup_gate check;
        check.set_peers(own, others);
        REQUIRE(check.peers_to_ask().size() == few);
        for (std::string const& each : check.peers_to_ask()) {
            ++asked[each];
        }
    }
    for (auto const& [name, times] : asked) {
        CHECK(times < 4 * few);
    }
}

} // namespace camphorpoint
