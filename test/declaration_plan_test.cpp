#include <Camphorpoint/Routing>

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned nodes = 10;
constexpr instant start = instant() + seconds(100);

/// @returns a place in the first era
constexpr store_position at(std::uint64_t offset) {
    return {store_epoch{1}, offset};
}

/// @returns a place after the store has come back from an older copy
constexpr store_position later(std::uint64_t offset) {
    return {store_epoch{2}, offset};
}

/// A plan that has read everything up to place 7 and knows 50.
declaration_plan settled(instant now) {
    declaration_plan plan;
    plan.note_configured();
    plan.note_known(50);
    plan.answered(plan.next(now, nodes), at(7), now);
    return plan;
}

} // namespace

TEST_CASE("a node reads everything at its start, then waits for what comes") {
    declaration_plan plan;
    CHECK(plan.next(start, nodes).whole);
    CHECK(plan.next(start, nodes).pause == milliseconds(0));

    SUBCASE("again, with a pause, while nothing is declared yet") {
        plan.answered(plan.next(start, nodes), at(0), start);
        CHECK(plan.next(start, nodes).whole);
        CHECK(plan.next(start, nodes).pause == milliseconds(500));
    }
    SUBCASE("from where the reading ended, as soon as there is something") {
        plan.note_configured();
        plan.answered(plan.next(start, nodes), at(7), start);
        CHECK_FALSE(plan.next(start, nodes).whole);
        CHECK(plan.next(start, nodes).waits);
        CHECK(plan.next(start, nodes).from == at(7));
        CHECK(plan.next(start, nodes).pause == milliseconds(0));
    }
}

// Sixty nodes read a large configuration from a store that carries it to all of
// them in two seconds. With a fixed patience of 0.8 s each gives up and asks
// again, and what is sent to all is thrown away, for as long as they ask.
TEST_CASE("each failure in a row doubles patience and pause") {
    declaration_plan plan;
    CHECK(plan.next(start, nodes).silence == milliseconds(800));
    plan.failed();
    CHECK(plan.next(start, nodes).silence == milliseconds(1'600));
    CHECK(plan.next(start, nodes).pause == milliseconds(250));
    plan.failed();
    CHECK(plan.next(start, nodes).silence == milliseconds(3'200));
    CHECK(plan.next(start, nodes).pause == milliseconds(500));
    for (int each = 0; each < 40; ++each) {
        plan.failed();
    }
    SUBCASE("up to a bound, so that the store's return is seen") {
        CHECK(plan.next(start, nodes).silence == milliseconds(3'200));
        CHECK(plan.next(start, nodes).pause == milliseconds(1'000));
    }
    SUBCASE("and an answer ends it") {
        plan.note_configured();
        plan.answered(plan.next(start, nodes), at(7), start);
        CHECK(plan.next(start, nodes).silence == milliseconds(800));
        CHECK(plan.next(start, nodes).pause == milliseconds(0));
    }
}

TEST_CASE("word of another node that has read further") {
    declaration_plan plan = settled(start);
    CHECK_FALSE(plan.behind());
    plan.heard(at(7), 50);
    CHECK_FALSE(plan.behind());
    plan.heard(at(8), 50);
    REQUIRE(plan.behind());

    SUBCASE("is followed from this node's place, without a wait") {
        plan.interrupted();
        CHECK_FALSE(plan.next(start, nodes).whole);
        CHECK(plan.next(start, nodes).from == at(7));
        CHECK_FALSE(plan.next(start, nodes).waits);
        plan.answered(plan.next(start, nodes), at(8), start);
        CHECK_FALSE(plan.behind());
        CHECK(plan.next(start, nodes).waits);
    }
    SUBCASE("is forgotten when the store has nothing there, so that nobody "
            "asks without end") {
        plan.answered(plan.next(start, nodes), at(7), start);
        CHECK_FALSE(plan.behind());
        CHECK(plan.next(start, nodes).waits);
    }
    SUBCASE("does not end the wait's own answer") {
        declaration_reading const wait = settled(start).next(start, nodes);
        plan.answered(wait, at(8), start);
        CHECK_FALSE(plan.behind());
    }
}

// A record was missed without a sign: the place is the same as the others', yet
// they know more. The node would keep to the old routes for minutes.
TEST_CASE("a node that knows less than others at the same place") {
    declaration_plan plan = settled(start);
    plan.heard(at(7), 51);
    CHECK(plan.behind());
    CHECK(plan.next(start, nodes).whole);

    SUBCASE("knows as much after reading everything") {
        plan.note_known(51);
        plan.answered(plan.next(start, nodes), at(7), start);
        CHECK_FALSE(plan.behind());
    }
    SUBCASE("reads everything once for one total, as others may know what is "
            "no longer declared") {
        plan.answered(plan.next(start, nodes), at(7), start);
        CHECK_FALSE(plan.behind());
        CHECK_FALSE(plan.next(start, nodes).whole);
        plan.heard(at(7), 52);
        CHECK(plan.behind());
    }
}

TEST_CASE("all nodes together read everything again from time to time") {
    declaration_plan const plan = settled(start);
    SUBCASE("a single node every 12 s") {
        CHECK_FALSE(plan.next(start + seconds(11), 1).whole);
        CHECK(plan.next(start + seconds(12), 1).whole);
    }
    SUBCASE("one of ten every two minutes") {
        CHECK_FALSE(plan.next(start + seconds(119), nodes).whole);
        CHECK(plan.next(start + seconds(120), nodes).whole);
    }
    SUBCASE("nodes that began together at different times") {
        declaration_plan early({}, 0);
        early.note_configured();
        early.answered(early.next(start, nodes), at(7), start);
        CHECK(early.next(start + seconds(60), nodes).whole);
    }
}

// The store drops its history while changes are made, and answers for some
// seconds what it knew before. A node that takes that for the newest would miss
// the change without a sign.
TEST_CASE("a history that is forgotten") {
    declaration_plan plan = settled(start);
    plan.forgotten(start);
    CHECK(plan.next(start, nodes).whole);
    CHECK(plan.next(start, nodes).pause == milliseconds(0));
    plan.answered(plan.next(start, nodes), at(9), start);
    CHECK(plan.next(start, nodes).from == at(9));

    SUBCASE("is read whole again until its answers can't be old any more") {
        CHECK_FALSE(plan.next(start + milliseconds(2'900), nodes).whole);
        instant const again = start + seconds(3);
        REQUIRE(plan.next(again, nodes).whole);
        plan.answered(plan.next(again, nodes), at(9), again);
        instant const last = again + seconds(3);
        REQUIRE(plan.next(last, nodes).whole);
        plan.answered(plan.next(last, nodes), at(9), last);
        CHECK_FALSE(plan.next(last + seconds(30), nodes).whole);
    }
    SUBCASE("and forgotten at once again is read with a pause") {
        plan.forgotten(start);
        CHECK(plan.next(start, nodes).pause == milliseconds(250));
    }
}

TEST_CASE("a wait from before the store's outage is not trusted") {
    declaration_plan plan = settled(start);
    plan.distrust_wait();
    CHECK(plan.behind());
    SUBCASE("until it was ended") {
        plan.interrupted();
        CHECK_FALSE(plan.behind());
        CHECK(plan.next(start, nodes).waits);
    }
    SUBCASE("or has brought something") {
        plan.answered(plan.next(start, nodes), at(8), start);
        CHECK_FALSE(plan.behind());
    }
}

// The store comes back from a copy of some seconds ago, and gives its places
// out again. A node that goes on from its old place is never told what is
// declared below it, and asks for what is not there without end.
TEST_CASE("after the store has gone back everything is read anew") {
    declaration_plan plan = settled(start);
    instant const own_time = start + milliseconds(300);
    plan.new_era(store_epoch{2}, own_time);
    REQUIRE(plan.behind());
    CHECK(plan.next(start, nodes).whole);
    CHECK(plan.next(start, nodes).pause == milliseconds(300));
    CHECK(plan.next(own_time, nodes).pause == milliseconds(0));

    SUBCASE("and goes on from the lower place") {
        plan.answered(plan.next(own_time, nodes), later(4), own_time);
        CHECK_FALSE(plan.behind());
        CHECK_FALSE(plan.next(own_time, nodes).whole);
        CHECK(plan.next(own_time, nodes).from == later(4));
        CHECK(plan.next(own_time, nodes).waits);
    }
    SUBCASE("a place of the era before is no news") {
        plan.answered(plan.next(own_time, nodes), later(4), own_time);
        plan.heard(at(900), 50);
        CHECK_FALSE(plan.behind());
        CHECK(plan.next(own_time, nodes).waits);
    }
    SUBCASE("an answer of the era before does not count") {
        plan.answered(plan.next(start, nodes), at(9), start);
        CHECK(plan.behind());
        CHECK(plan.next(own_time, nodes).whole);
    }
    SUBCASE("what was asked for in the era before does not either") {
        declaration_reading const wait = settled(start).next(start, nodes);
        plan.answered(wait, later(9), start);
        CHECK(plan.next(own_time, nodes).whole);
    }
}

// The same with a store that does not name its era.
TEST_CASE("a place that is gone is not asked for again") {
    declaration_plan plan = settled(start);
    plan.forgotten(start);
    plan.answered(plan.next(start, nodes), at(4), start);
    instant const then = start + seconds(1);
    CHECK_FALSE(plan.next(then, nodes).whole);
    CHECK(plan.next(then, nodes).from == at(4));
}

} // namespace camphorpoint
