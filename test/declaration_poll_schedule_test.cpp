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

/// @returns a position in the first epoch
constexpr store_position at(std::uint64_t offset) {
    return {store_epoch{1}, offset};
}

/// @returns a position after a store rollback
constexpr store_position after_rollback(std::uint64_t offset) {
    return {store_epoch{2}, offset};
}

/// @returns a schedule that has read everything up to position 7 and knows a
///          total of 50
declaration_poll_schedule up_to_date(instant now) {
    declaration_poll_schedule schedule;
    schedule.mark_configured();
    schedule.set_known_total(50);
    schedule.poll_succeeded(schedule.next_poll(now, nodes), at(7), now);
    return schedule;
}

} // namespace

TEST_CASE("a node does a full poll at its start, then long polls") {
    declaration_poll_schedule schedule;
    CHECK(schedule.next_poll(start, nodes).full);
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));

    SUBCASE("which returns the first configuration as it is written") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(3), start);
        declaration_poll const next = schedule.next_poll(start, nodes);
        CHECK_FALSE(next.full);
        CHECK(next.long_poll);
        CHECK(next.from == at(3));
        CHECK(next.delay == milliseconds(0));
        SUBCASE("and a full poll finds one that the long poll has missed") {
            instant const later = start + seconds(5);
            schedule.poll_succeeded(next, at(3), later);
            CHECK(schedule.next_poll(later, nodes).full);
            CHECK(schedule.next_poll(later, nodes).delay == milliseconds(0));
        }
    }
    SUBCASE(
        "from where the full poll ended, as soon as there is a configuration") {
        schedule.mark_configured();
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.next_poll(start, nodes).full);
        CHECK(schedule.next_poll(start, nodes).long_poll);
        CHECK(schedule.next_poll(start, nodes).from == at(7));
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));
    }
}

// Sixty nodes read a large configuration from a store that takes two seconds to
// send it to all of them. Guards against a fixed timeout of 0.8 s: each node
// would cancel and ask again, and everything sent would be discarded for as
// long as they ask.
TEST_CASE("each failure in a row doubles timeout and delay") {
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
    SUBCASE("up to a limit, so that the store's recovery is noticed") {
        CHECK(
            schedule.next_poll(start, nodes).response_timeout ==
            milliseconds(3'200));
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(1'000));
    }
    SUBCASE("and an answer resets them") {
        schedule.mark_configured();
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK(
            schedule.next_poll(start, nodes).response_timeout ==
            milliseconds(800));
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));
    }
}

TEST_CASE("the report of another node that has read further") {
    declaration_poll_schedule schedule = up_to_date(start);
    CHECK_FALSE(schedule.is_behind());
    schedule.handle_peer_progress(at(7), 50);
    CHECK_FALSE(schedule.is_behind());
    schedule.handle_peer_progress(at(8), 50);
    REQUIRE(schedule.is_behind());

    SUBCASE("leads to a poll from this node's position that does not wait") {
        schedule.long_poll_cancelled();
        CHECK_FALSE(schedule.next_poll(start, nodes).full);
        CHECK(schedule.next_poll(start, nodes).from == at(7));
        CHECK_FALSE(schedule.next_poll(start, nodes).long_poll);
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(8), start);
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(start, nodes).long_poll);
    }
    SUBCASE("is dropped when the store has no records there, so that no node "
            "polls for them forever") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(start, nodes).long_poll);
    }
    SUBCASE("is also satisfied by the answer of the pending long poll") {
        declaration_poll const long_poll =
            up_to_date(start).next_poll(start, nodes);
        schedule.poll_succeeded(long_poll, at(8), start);
        CHECK_FALSE(schedule.is_behind());
    }
}

// A record was missed without any sign of it: the position is the same as that
// of the other nodes, but they know more. Guards against a node that keeps the
// old routes for minutes.
TEST_CASE("a node that knows less than others at the same position") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.handle_peer_progress(at(7), 51);
    CHECK(schedule.is_behind());
    CHECK(schedule.next_poll(start, nodes).full);

    SUBCASE("knows as much after a full poll") {
        schedule.set_known_total(51);
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.is_behind());
    }
    SUBCASE("does one full poll per total, as others may know what is no "
            "longer declared") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(7), start);
        CHECK_FALSE(schedule.is_behind());
        CHECK_FALSE(schedule.next_poll(start, nodes).full);
        schedule.handle_peer_progress(at(7), 52);
        CHECK(schedule.is_behind());
    }
}

TEST_CASE("all nodes together repeat the full poll from time to time") {
    declaration_poll_schedule const schedule = up_to_date(start);
    SUBCASE("a single node every 12 s") {
        CHECK_FALSE(schedule.next_poll(start + seconds(11), 1).full);
        CHECK(schedule.next_poll(start + seconds(12), 1).full);
    }
    SUBCASE("one of ten every two minutes") {
        CHECK_FALSE(schedule.next_poll(start + seconds(119), nodes).full);
        CHECK(schedule.next_poll(start + seconds(120), nodes).full);
    }
    SUBCASE("nodes that started together at different times") {
        declaration_poll_schedule early({}, 0);
        early.mark_configured();
        early.poll_succeeded(early.next_poll(start, nodes), at(7), start);
        CHECK(early.next_poll(start + seconds(60), nodes).full);
    }
}

// The store drops its history while changes are made, and its answers are some
// seconds old for a while. Guards against a node that takes them for the newest
// state and misses the change without any sign of it.
TEST_CASE("a store that has dropped its history") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.position_expired(start);
    CHECK(schedule.next_poll(start, nodes).full);
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(0));
    schedule.poll_succeeded(schedule.next_poll(start, nodes), at(9), start);
    CHECK(schedule.next_poll(start, nodes).from == at(9));

    SUBCASE("gets full polls until its answers cannot be old any more") {
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
    SUBCASE(
        "gets the next full poll after a delay if it drops its history again") {
        schedule.position_expired(start);
        CHECK(schedule.next_poll(start, nodes).delay == milliseconds(250));
    }
}

TEST_CASE("a long poll from before a store outage is not trusted") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.distrust_long_poll();
    CHECK(schedule.is_behind());
    SUBCASE("until it has been cancelled") {
        schedule.long_poll_cancelled();
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(start, nodes).long_poll);
    }
    SUBCASE("or has returned something") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(8), start);
        CHECK_FALSE(schedule.is_behind());
    }
}

// The store is restored from a snapshot that is some seconds old and assigns
// its positions again. Guards against a node that continues from its former
// position: it would never receive what is declared below it, and would
// repeatedly request records that do not exist.
TEST_CASE("after a store rollback everything is read again") {
    declaration_poll_schedule schedule = up_to_date(start);
    instant const own_poll_time = start + milliseconds(300);
    schedule.enter_epoch(store_epoch{2}, own_poll_time);
    REQUIRE(schedule.is_behind());
    CHECK(schedule.next_poll(start, nodes).full);
    CHECK(schedule.next_poll(start, nodes).delay == milliseconds(300));
    CHECK(schedule.next_poll(own_poll_time, nodes).delay == milliseconds(0));

    SUBCASE("and the next poll continues from the lower position") {
        schedule.poll_succeeded(
            schedule.next_poll(own_poll_time, nodes), after_rollback(4),
            own_poll_time);
        CHECK_FALSE(schedule.is_behind());
        CHECK_FALSE(schedule.next_poll(own_poll_time, nodes).full);
        CHECK(
            schedule.next_poll(own_poll_time, nodes).from == after_rollback(4));
        CHECK(schedule.next_poll(own_poll_time, nodes).long_poll);
    }
    SUBCASE("a position of the earlier epoch is ignored") {
        schedule.poll_succeeded(
            schedule.next_poll(own_poll_time, nodes), after_rollback(4),
            own_poll_time);
        schedule.handle_peer_progress(at(900), 50);
        CHECK_FALSE(schedule.is_behind());
        CHECK(schedule.next_poll(own_poll_time, nodes).long_poll);
    }
    SUBCASE("an answer of the earlier epoch does not count") {
        schedule.poll_succeeded(schedule.next_poll(start, nodes), at(9), start);
        CHECK(schedule.is_behind());
        CHECK(schedule.next_poll(own_poll_time, nodes).full);
    }
    SUBCASE(
        "nor does an answer to a poll from a position of the earlier epoch") {
        declaration_poll const long_poll =
            up_to_date(start).next_poll(start, nodes);
        schedule.poll_succeeded(long_poll, after_rollback(9), start);
        CHECK(schedule.next_poll(own_poll_time, nodes).full);
    }
}

// The same for a store that does not report its epoch.
TEST_CASE("a position that has expired is not requested again") {
    declaration_poll_schedule schedule = up_to_date(start);
    schedule.position_expired(start);
    schedule.poll_succeeded(schedule.next_poll(start, nodes), at(4), start);
    instant const then = start + seconds(1);
    CHECK_FALSE(schedule.next_poll(then, nodes).full);
    CHECK(schedule.next_poll(then, nodes).from == at(4));
}

// Guards against many nodes that start some time before the first configuration
// is written and use up the store's calls until then.
TEST_CASE("nodes that wait for the first configuration make few calls") {
    constexpr milliseconds call_time{10};
    constexpr milliseconds long_poll_time{12'000};
    constexpr seconds until_written{12};
    declaration_poll_schedule schedule;
    instant now = start;
    unsigned calls = 0;
    while (now < start + until_written) {
        declaration_poll const poll = schedule.next_poll(now, 87);
        now += poll.delay + call_time;
        now += poll.long_poll ? long_poll_time : milliseconds(0);
        ++calls;
        schedule.poll_succeeded(poll, at(0), now);
    }
    CHECK(calls <= 4);
}

} // namespace camphorpoint
