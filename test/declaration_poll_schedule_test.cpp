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
constexpr store_position after_rollback(std::uint64_t offset) {
    return {store_epoch{2}, offset};
}

/// A plan that has read everything up to place 7 and knows 50.
declaration_poll_schedule up_to_date(instant now) {
    declaration_poll_schedule schedule;
    schedule.mark_configured();
    schedule.set_known_total(50);
    schedule.poll_succeeded(schedule.next_poll(now, nodes), at(7), now);
    return schedule;
}

} // namespace

TEST_CASE("a node reads everything at its start, then waits for what comes") {
    declaration_poll_schedule schedule;
    CHECK(schedule.next_poll(start, nodes).full);
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));

    SUBCASE("again, with a pause, while nothing is declared yet") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(0), start);
        CHECK(schedule.next_poll(start, nodes).full);
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(500));
    }
    SUBCASE("from where the reading ended, as soon as there is something") {
        schedule.mark_configured();
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.next_poll(start, nodes).full);
        CHECK(schedule.next_poll(start, nodes).long_poll);
        CHECK(schedule.next_poll(start, nodes).from == at(7));
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));
    }
}

// Sixty nodes read a large configuration from a store that carries it to all of
// them in two seconds. With a fixed patience of 0.8 s each gives up and asks
// again, and what is sent to all is thrown away, for as long as they ask.
TEST_CASE("each failure in a row doubles patience and pause") {
    declaration_poll_schedule schedule;
    CHECK(
        schedule.next_poll(start, nodes).response_timeout == milliseconds(800));
    schedule.poll_failed();
    CHECK(
        schedule.next_poll(start, nodes).response_timeout ==
        milliseconds(1'600));
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(250));
    schedule.poll_failed();
    CHECK(
        schedule.next_poll(start, nodes).response_timeout ==
        milliseconds(3'200));
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(500));
    for (int each = 0; each < 40; ++each) {
        schedule.poll_failed();
    }
    SUBCASE("up to a bound, so that the store's return is seen") {
        CHECK(
            schedule.next_poll(start, nodes).response_timeout ==
            milliseconds(3'200));
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(1'000));
    }
    SUBCASE("and an answer ends it") {
        schedule.mark_configured();
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK(
            schedule.next_poll(start, nodes).response_timeout ==
            milliseconds(800));
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));
    }
}

TEST_CASE("word of another node that has read further") {
    declaration_poll_schedule schedule = up_to_date(start);
    CHECK_FALSE(schedule.is_behind());
    schedule.handle_peer_progress(at(7), 50);
    CHECK_FALSE(schedule.is_behind());
    schedule.handle_peer_progress(at(8), 50);
    REQUIRE(schedule.is_behind());

    SUBCASE("is followed from this node's place, without a wait") {
        schedule.long_poll_cancelled();
        CHECK_FALSE(schedule.next_poll(start, nodes).full);
        CHECK(schedule.next_poll(start, nodes).from == at(7));
        CHECK_FALSE(schedule.next_poll(start, nodes).long_poll);
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(8), start);
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(start, nodes).long_poll);
    }
    SUBCASE("is forgotten when the store has nothing there, so that nobody "
            "asks without end") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(start, nodes).long_poll);
    }
    SUBCASE("does not end the wait's own answer") {
        declaration_poll const long_poll =
            up_to_date(start).next_poll(start, nodes);
        schedule.poll_succeeded(long_poll, at(8), start);
        CHECK_FALSE(schedule.is_behind());
    }
}

// A record was missed without a sign: the place is the same as the others', yet
// they know more. The node would keep to the old routes for minutes.
TEST_CASE("a node that knows less than others at the same place") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.handle_peer_progress(at(7), 51);
    CHECK(schedule.is_behind());
    CHECK(schedule.next_poll(start, nodes).full);

    SUBCASE("knows as much after reading everything") {
        schedule.set_known_total(51);
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.is_behind());
    }
    SUBCASE("reads everything once for one total, as others may know what is "
            "no longer declared") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.is_behind());
        CHECK_FALSE(schedule.next_poll(start, nodes).full);
        schedule.handle_peer_progress(at(7), 52);
        CHECK(schedule.is_behind());
    }
}

TEST_CASE("all nodes together read everything again from time to time") {
    declaration_poll_schedule const schedule = up_to_date(start);
    SUBCASE("a single node every 12 s") {
        CHECK_FALSE(schedule.next_poll(start + seconds(11), 1).full);
        CHECK(schedule.next_poll(start + seconds(12), 1).full);
    }
    SUBCASE("one of ten every two minutes") {
        CHECK_FALSE(schedule.next_poll(start + seconds(119), nodes).full);
        CHECK(schedule.next_poll(start + seconds(120), nodes).full);
    }
    SUBCASE("nodes that began together at different times") {
        declaration_poll_schedule early({}, 0);
        early.mark_configured();
        early.poll_succeeded(early.next_poll(start, nodes), at(7), start);
        CHECK(early.next_poll(start + seconds(60), nodes).full);
    }
}

// The store drops its history while changes are made, and answers for some
// seconds what it knew before. A node that takes that for the newest would miss
// the change without a sign.
TEST_CASE("a history that is forgotten") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.position_expired(start);
    CHECK(schedule.next_poll(start, nodes).full);
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));
    schedule.poll_succeeded(schedule.next_poll(start, nodes), at(9), start);
    CHECK(schedule.next_poll(start, nodes).from == at(9));

    SUBCASE("is read whole again until its answers can't be old any more") {
        CHECK_FALSE(
            schedule.next_poll(start + milliseconds(2'900), nodes).full);
        instant const again = start + seconds(3);
        REQUIRE(schedule.next_poll(again, nodes).full);
        schedule.poll_succeeded(schedule.next_poll(again, nodes), at(9), again);
        instant const last = again + seconds(3);
        REQUIRE(schedule.next_poll(last, nodes).full);
        schedule.poll_succeeded(schedule.next_poll(last, nodes), at(9), last);
        CHECK_FALSE(schedule.next_poll(last + seconds(30), nodes).full);
    }
    SUBCASE("and forgotten at once again is read with a pause") {
        schedule.position_expired(start);
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(250));
    }
}

TEST_CASE("a wait from before the store's outage is not trusted") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.distrust_long_poll();
    CHECK(schedule.is_behind());
    SUBCASE("until it was ended") {
        schedule.long_poll_cancelled();
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(start, nodes).long_poll);
    }
    SUBCASE("or has brought something") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(8), start);
        CHECK_FALSE(schedule.is_behind());
    }
}

// The store comes back from a copy of some seconds ago, and gives its places
// out again. A node that goes on from its old place is never told what is
// declared below it, and asks for what is not there without end.
TEST_CASE("after the store has gone back everything is read anew") {
    declaration_poll_schedule schedule = up_to_date(start);
    instant const own_poll_time = start + milliseconds(300);
    schedule.enter_epoch(store_epoch{2}, own_poll_time);
    REQUIRE(schedule.is_behind());
    CHECK(schedule.next_poll(start, nodes).full);
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(300));
    CHECK(schedule.next_poll(own_poll_time, nodes).delay == milliseconds(0));

    SUBCASE("and goes on from the lower place") {
        schedule.poll_succeeded(
            schedule.next_poll(own_poll_time, nodes), after_rollback(4),
            own_poll_time);
        CHECK_FALSE(schedule.is_behind());
        CHECK_FALSE(schedule.next_poll(own_poll_time, nodes).full);
        CHECK(
            schedule.next_poll(own_poll_time, nodes).from == after_rollback(4));
        CHECK(schedule.next_poll(own_poll_time, nodes).long_poll);
    }
    SUBCASE("a place of the era before is no news") {
        schedule.poll_succeeded(
            schedule.next_poll(own_poll_time, nodes), after_rollback(4),
            own_poll_time);
        schedule.handle_peer_progress(at(900), 50);
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(own_poll_time, nodes).long_poll);
    }
    SUBCASE("an answer of the era before does not count") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(9), start);
        CHECK(schedule.is_behind());
        CHECK(schedule.next_poll(own_poll_time, nodes).full);
    }
    SUBCASE("what was asked for in the era before does not either") {
        declaration_poll const long_poll =
            up_to_date(start).next_poll(start, nodes);
        schedule.poll_succeeded(long_poll, after_rollback(9), start);
        CHECK(schedule.next_poll(own_poll_time, nodes).full);
    }
}

// The same with a store that does not name its era.
TEST_CASE("a place that is gone is not asked for again") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.position_expired(start);
    schedule.poll_succeeded(schedule.next_poll(start, nodes), at(4), start);
    instant const then = start + seconds(1);
    CHECK_FALSE(schedule.next_poll(then, nodes).full);
    CHECK(schedule.next_poll(then, nodes).from == at(4));
}

} // namespace camphorpoint
