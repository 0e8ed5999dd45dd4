#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Lets the store answer a poll every 500 ms and at the end.
void answer_until(
    registry_outage_tracker& tracker, instant& now, instant until) {
    while (now < until) {
        now = std::min(now + milliseconds(500), until);
        tracker.note_answer(now);
    }
}

} // namespace

// Guards against a node that keeps replicas which leave, because one of its
// calls was answered late, and against the opposite fault: a node that drops
// all replicas because their entries expired in an outage.
TEST_CASE("only an outage of the store explains a missing registry entry") {
    constexpr seconds heartbeat{1};
    registry_outage_tracker tracker(heartbeat);
    instant now = instant() + seconds(100);
    tracker.note_answer(now);
    CHECK_FALSE(tracker.may_have_expired(now));

    SUBCASE("a failed poll is no outage") {
        tracker.note_failure();
        now += milliseconds(900);
        CHECK_FALSE(tracker.may_have_expired(now));
        tracker.note_answer(now);
        CHECK_FALSE(tracker.may_have_expired(now));
    }
    SUBCASE("nor are many, while the polls of other nodes are answered") {
        for (int each = 0; each < 10; ++each) {
            tracker.note_failure();
            now += milliseconds(700);
            tracker.note_answer(now);
            CHECK_FALSE(tracker.may_have_expired(now));
        }
    }
    SUBCASE("after two heartbeats without any answer entries may expire") {
        now += 2 * heartbeat;
        CHECK(tracker.may_have_expired(now));
        SUBCASE("and are written again soon after the next answer") {
            tracker.note_answer(now);
            CHECK(tracker.may_have_expired(now));
            CHECK(tracker.settled_from() > now + 2 * heartbeat);
            instant const settled_from = tracker.settled_from();
            answer_until(tracker, now, settled_from - milliseconds(1));
            CHECK(tracker.may_have_expired(now));
            answer_until(tracker, now, settled_from);
            CHECK_FALSE(tracker.may_have_expired(now));
        }
    }
    // Guards against a removed replica that gets requests for seconds, since a
    // node whose link was full takes its late answers for an outage.
    SUBCASE("unless the polls of another node were answered all along") {
        now += 2 * heartbeat;
        tracker.note_answer(now);
        REQUIRE(tracker.may_have_expired(now));
        SUBCASE("which clears the suspicion") {
            CHECK(tracker.note_answered_at_peer(seconds(3), now));
            CHECK_FALSE(tracker.may_have_expired(now));
            CHECK(tracker.answered_for(now) == seconds(3));
            CHECK_FALSE(tracker.note_answered_at_peer(seconds(3), now));
        }
        SUBCASE("but not by answers for a shorter time") {
            CHECK_FALSE(
                tracker.note_answered_at_peer(milliseconds(1'900), now));
            CHECK(tracker.may_have_expired(now));
        }
        SUBCASE("nor after a store rollback") {
            tracker.note_rollback(now);
            CHECK_FALSE(tracker.note_answered_at_peer(seconds(3), now));
            CHECK(tracker.may_have_expired(now));
        }
    }
    SUBCASE("the time without an outage grows with each answer") {
        answer_until(tracker, now, now + seconds(5));
        CHECK(tracker.answered_for(now) == seconds(5));
        CHECK(tracker.answered_for(now + 2 * heartbeat) == duration::zero());
        now += 2 * heartbeat;
        tracker.note_answer(now);
        CHECK(tracker.answered_for(now) == duration::zero());
    }
    SUBCASE("after a store rollback entries are written again as well") {
        tracker.note_rollback(now);
        CHECK(tracker.may_have_expired(now + seconds(1)));
        answer_until(tracker, now, now + seconds(3));
        CHECK_FALSE(tracker.may_have_expired(now));
    }
}

// Guards against a node that drops replicas whose entries have expired in an
// outage of the store, since a second outage right after it was none.
TEST_CASE("entries are kept after an outage while a second one is refuted") {
    constexpr seconds heartbeat{1};
    constexpr milliseconds second_outage{1'600};
    registry_outage_tracker tracker(heartbeat);
    instant now = instant() + seconds(100);
    tracker.note_answer(now);
    SUBCASE("after an outage of the store") {
        now += 3 * heartbeat;
        tracker.note_answer(now);
    }
    SUBCASE("after a rollback of the store") {
        tracker.note_rollback(now);
    }
    instant const settled_from = tracker.settled_from();
    REQUIRE(settled_from > now + second_outage);
    now += second_outage;
    tracker.note_answer(now);
    REQUIRE(tracker.settled_from() > settled_from);
    CHECK(tracker.note_answered_at_peer(second_outage, now));
    CHECK(tracker.settled_from() == settled_from);
    CHECK(tracker.may_have_expired(now));
    answer_until(tracker, now, settled_from);
    CHECK_FALSE(tracker.may_have_expired(now));
}

TEST_CASE("two outages in succession are refuted together") {
    constexpr seconds heartbeat{1};
    registry_outage_tracker tracker(heartbeat);
    instant now = instant() + seconds(100);
    tracker.note_answer(now);
    now += 2 * heartbeat;
    tracker.note_answer(now);
    now += 2 * heartbeat;
    tracker.note_answer(now);
    REQUIRE(tracker.may_have_expired(now));
    CHECK(tracker.note_answered_at_peer(4 * heartbeat, now));
    CHECK_FALSE(tracker.may_have_expired(now));
    CHECK(tracker.answered_for(now) == 4 * heartbeat);
}

TEST_CASE("a starting node does not know how long the store was unreachable") {
    constexpr seconds heartbeat{1};
    registry_outage_tracker tracker(heartbeat);
    instant now = instant() + seconds(100);
    CHECK(tracker.may_have_expired(now));
    SUBCASE("a first poll that succeeds shows no outage") {
        tracker.note_answer(now);
        CHECK_FALSE(tracker.may_have_expired(now));
    }
    SUBCASE("a failed poll before the first answer does") {
        tracker.note_failure();
        tracker.note_answer(now);
        CHECK(tracker.may_have_expired(now));
        answer_until(tracker, now, now + seconds(3));
        CHECK_FALSE(tracker.may_have_expired(now));
    }
}

} // namespace camphorpoint
