#include <Camphorpoint/Routing>

#include <doctest/doctest.h>

#include <chrono>

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
    check.listed({"a", "b"});
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
        check.listed({});
        CHECK(check.passed(1, start));
    }
    SUBCASE("after a short time when the list can't be read") {
        CHECK_FALSE(check.passed(1, start));
        CHECK(check.passed(1, start + times.hearing));
    }
}

} // namespace camphorpoint
