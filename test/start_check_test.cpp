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
constexpr start_check_times times;

} // namespace

// Guards against a node that serves by an older copy of the store, as it has
// not heard yet that others know more.
TEST_CASE("a node that begins serves when it knows what the others know") {
    start_check check;
    CHECK_FALSE(check.passed(0, start));
    check.configured(start);
    CHECK_FALSE(check.passed(1, start));
    check.listed("own", {"a", "b"});
    check.heard("a", 1);
    CHECK_FALSE(check.passed(1, start));

    SUBCASE("at once when all have said that they know no more") {
        check.heard("b", 0);
        CHECK(check.passed(1, start));
    }
    SUBCASE("when it has read what one of them knows more") {
        check.heard("b", 5);
        CHECK_FALSE(check.passed(4, start + seconds(1)));
        CHECK(check.passed(5, start + seconds(1)));
    }
    SUBCASE("after a bounded time when the store never has it") {
        check.heard("b", 5);
        instant const bound = start + times.catching_up;
        CHECK_FALSE(check.passed(1, bound - milliseconds(1)));
        CHECK(check.passed(1, bound));
    }
    SUBCASE("after a short time when one of them says nothing") {
        instant const bound = start + times.hearing;
        CHECK_FALSE(check.passed(1, bound - milliseconds(1)));
        CHECK(check.passed(1, bound));
    }
    SUBCASE("and from then on, whatever others say") {
        check.heard("b", 1);
        CHECK(check.passed(1, start));
        check.heard("b", 9);
        CHECK(check.passed(1, start));
    }
}

// Guards against a node that waits for others though there are none.
TEST_CASE("a node that is alone serves as soon as it knows that") {
    start_check check;
    check.configured(start);
    SUBCASE("by the group's list") {
        check.listed("own", {});
        CHECK(check.passed(1, start));
    }
    SUBCASE("after a short time when the list can't be read") {
        CHECK_FALSE(check.passed(1, start));
        CHECK(check.passed(1, start + times.hearing));
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
        start_check check;
        check.listed(own, others);
        REQUIRE(check.asked().size() == few);
        for (std::string const& each : check.asked()) {
            ++asked[each];
        }
    }
    for (auto const& [name, times] : asked) {
        CHECK(times < 4 * few);
    }
}

} // namespace camphorpoint
