#include "key_simulation.hpp"

#include <doctest/doctest.h>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;

struct three_nodes : key_simulation {
    three_nodes() {
        add("a");
        add("b");
        add("c");
        claim("a");
        advance_and_deliver(milliseconds(2'000));
        renew();
    }
};

} // namespace

// A booking's answer is lost on the way; its key's owner crashes with its
// memory. The caller repeats through another node, whose successor of the owner
// has never heard of the key: it must say unknown, and never book again.
TEST_CASE("an owner dies with its memory, and a booking is repeated") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("c", "first", key);
    world.deliver();
    REQUIRE(world.runs_of(key) == 1);
    world.kill("a");

    SUBCASE("before a successor: unknown after a short patience") {
        world.submit("b", "second", key);
        world.advance_and_deliver(milliseconds(3'100));
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
        CHECK(world.decision_of("second").why == reason::owner_unreachable);
        CHECK(world.decision_of("second").retry_after > milliseconds(0));
    }
    SUBCASE("the successor says unknown") {
        world.lose<key_completion>();
        world.claim("b");
        world.submit("b", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
        CHECK(
            world.decision_of("second").why ==
            reason::key_unknown_after_takeover);
    }
    SUBCASE("the entry node runs it still: the repeat waits for its end") {
        world.claim("b");
        world.advance_and_deliver(milliseconds(1'500));
        world.submit("b", "second", key);
        world.deliver();
        CHECK_FALSE(world.has_decision("second"));
        world.end("c", "first", outcome::done, "booked");
        world.deliver();
        CHECK(world.decision_of("second").answer == "booked");
    }
    SUBCASE("its end went to the dead owner: it is told to the successor") {
        world.end("c", "first", outcome::done, "booked");
        world.deliver();
        world.claim("b");
        world.advance_and_deliver(milliseconds(1'500));
        world.submit("b", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").answer == "booked");
    }
    SUBCASE("idempotent work may run again") {
        idempotency_key const other = world.make_key();
        world.claim("b");
        world.submit("b", "idempotent", other, true);
        world.deliver();
        CHECK(world.decision_of("idempotent").verdict == key_verdict::run);
    }
    CHECK(world.runs_of(key) == 1);
}

// Right after a crash, callers send bookings whose keys were made about the
// time of the takeover. The dead owner can have taken any key up to its clock
// plus the limit, and its clock may have been ahead: those are unknown, the
// next millisecond's are new work.
TEST_CASE("the edge of the takeover check") {
    three_nodes world;
    world.kill("a");
    world.claim("b");
    idempotency_key const at_edge = world.make_key(milliseconds(1'500));
    idempotency_key const past_edge = world.make_key(milliseconds(1'501));
    world.advance_and_deliver(milliseconds(600));
    world.submit("c", "at", at_edge);
    world.submit("c", "past", past_edge);
    world.deliver();
    CHECK(world.decision_of("at").verdict == key_verdict::unknown);
    CHECK(world.decision_of("past").verdict == key_verdict::run);
}

TEST_CASE("the first owner ever knows that nothing ran") {
    key_simulation world;
    node_id const name("b");
    world.add("b");
    clock_reading const clock = world.clock(world.at("b"));
    key_claim claim;
    claim.fencing = log_offset{1};
    claim.first = true;
    key_owner& owner = *world.at("b").owner;
    owner.on_shard_gained(key_simulation::shard, claim, clock);
    key_permission_request request;
    request.request = request_id("one");
    request.key = world.make_key();
    request.shard = key_simulation::shard;
    request.sent = clock.wall;
    owner.on_permission_request(
        name, request, clock.now + milliseconds(1), clock);
    auto const actions = owner.take_actions();
    REQUIRE(actions.size() == 1);
    auto const& reply =
        std::get<key_reply>(std::get<key_send>(actions[0]).message);
    CHECK(reply.verdict == key_verdict::run);
}

// A phone's clock is an hour behind. After a crash all of its new bookings are
// answered unknown, though none ran; a key fetched from a node runs.
TEST_CASE("a phone an hour behind, after a crash") {
    three_nodes world;
    world.claim("b");
    world.advance_and_deliver(milliseconds(1'600));
    world.submit("c", "phone", world.make_key(-std::chrono::hours(1)));
    world.submit("c", "fetched", world.make_key());
    world.deliver();
    CHECK(world.decision_of("phone").verdict == key_verdict::unknown);
    CHECK(world.decision_of("fetched").verdict == key_verdict::run);
}

// The owner is paused past its authority, with a booking's ask unread; a
// successor takes over. When the owner wakes and believes that it still owns,
// it must not let the booking run beside its successor.
TEST_CASE("a paused owner wakes after its successor took over") {
    three_nodes world;
    idempotency_key const key = world.make_key(milliseconds(900));
    world.at("a").paused = true;
    world.submit("c", "first", key);

    SUBCASE("the ask waits in the paused owner's socket") {
        world.claim("b");
        world.advance(milliseconds(100));
        world.at("a").paused = false;
        world.deliver();
        CHECK(world.decision_of("first").verdict == key_verdict::unknown);
        CHECK(world.runs_of(key) == 0);
    }
    SUBCASE("an entry node that knows no better asks it for a new key") {
        world.claim("b");
        world.advance_and_deliver(milliseconds(2'000));
        world.renew();
        world.at("a").paused = false;
        world.at("c").entry->on_owner_changed(
            key_simulation::shard, node_id("a"));
        idempotency_key const fresh = world.make_key();
        world.submit("b", "at successor", fresh);
        world.submit("c", "at old owner", fresh);
        world.deliver();
        CHECK(world.decision_of("at successor").verdict == key_verdict::run);
        CHECK_FALSE(world.has_decision("at old owner"));
        CHECK(world.runs_of(fresh) == 1);
    }
    SUBCASE("it does not note an end that its successor must know") {
        world.at("a").paused = false;
        world.deliver();
        REQUIRE(world.decision_of("first").verdict == key_verdict::run);
        world.at("a").paused = true;
        world.claim("b");
        world.at("a").paused = false;
        world.at("c").entry->on_owner_changed(
            key_simulation::shard, node_id("a"));
        world.end("c", "first", outcome::done, "booked");
        world.deliver();
        world.announce_owner();
        world.advance_and_deliver(milliseconds(1'200));
        world.submit("b", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").answer == "booked");
        CHECK(world.runs_of(key) == 1);
    }
    SUBCASE("a permission that left in time is the only one") {
        world.at("a").paused = false;
        REQUIRE(world.deliver_one(0));
        REQUIRE(
            std::holds_alternative<key_reply>(world.message_queue[0].content));
        auto const delayed = world.message_queue;
        world.message_queue.clear();
        world.claim("b");
        world.submit("b", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
        world.message_queue.insert(
            world.message_queue.end(), delayed.begin(), delayed.end());
        world.deliver();
        CHECK(world.runs_of(key) <= 1);
    }
}

// A planned stop: the owner hands its table over, so that no booking in
// progress becomes unknown; a repeat joins it at the successor.
TEST_CASE("an owner hands its shard over") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("c", "first", key);
    world.deliver();

    SUBCASE("whole: the successor knows all, and fresh keys run at once") {
        world.hand_over("a", "b");
        world.deliver();
        world.claim("b", true);
        world.submit("b", "second", key);
        world.submit("b", "fresh", world.make_key());
        world.deliver();
        CHECK_FALSE(world.has_decision("second"));
        CHECK(world.decision_of("fresh").verdict == key_verdict::run);
        world.end("c", "first", outcome::done, "booked");
        world.deliver();
        CHECK(world.decision_of("second").answer == "booked");
    }
    SUBCASE("once closed, the old owner lets nothing run") {
        world.hand_over("a", "b");
        world.at("a").authority_until = world.now_ + milliseconds(5'000);
        idempotency_key const late = world.make_key();
        world.submit("c", "late", late);
        world.deliver();
        CHECK_FALSE(world.has_decision("late"));
    }
    SUBCASE("aborted: it goes on, and knows what it knew") {
        key_owner& owner = *world.at("a").owner;
        CHECK(owner.close_and_export(key_simulation::shard).size() == 1);
        idempotency_key const other = world.make_key();
        world.submit("c", "other", other);
        world.deliver();
        CHECK_FALSE(world.has_decision("other"));
        owner.reopen(key_simulation::shard);
        world.advance_and_deliver(milliseconds(300));
        CHECK(world.decision_of("other").verdict == key_verdict::run);
        world.submit("b", "second", key);
        world.deliver();
        CHECK_FALSE(world.has_decision("second"));
    }
    SUBCASE("a part is lost: as after a crash") {
        world.hand_over("a", "b");
        CHECK(world.lose<key_handover>() == 1);
        world.claim("b", true);
        world.submit("b", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
    }
    SUBCASE("the table of an older claim is no use") {
        // b's copy dates from the handover; a claims again, lets another
        // booking run and dies.
        world.hand_over("a", "b");
        world.deliver();
        world.claim("a");
        world.advance_and_deliver(milliseconds(100));
        idempotency_key const later = world.make_key();
        world.submit("c", "later", later);
        world.deliver();
        REQUIRE(world.runs_of(later) == 1);
        world.kill("a");
        world.claim("b", true);
        world.submit("b", "repeat", later);
        world.deliver();
        CHECK(world.decision_of("repeat").verdict == key_verdict::unknown);
        CHECK(world.runs_of(later) == 1);
    }
    CHECK(world.runs_of(key) == 1);
}

// Two crashes, or a crash and then a planned stop: the second successor's table
// has the first one's gap, and must not take it for complete.
TEST_CASE("a takeover within a takeover") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("c", "first", key);
    world.deliver();
    world.end("c", "first", outcome::done, "booked");
    world.deliver();
    world.kill("a");
    world.claim("b");

    SUBCASE("the second is planned: the gap is handed on") {
        world.hand_over("b", "c");
        world.deliver();
        world.claim("c", true);
    }
    SUBCASE("the second is a crash too: its own time counts") {
        world.kill("b");
        world.claim("c");
    }
    world.submit("c", "second", key);
    world.deliver();
    CHECK(world.decision_of("second").verdict == key_verdict::unknown);
    CHECK(world.runs_of(key) == 1);
}

// A node's time synchronisation fails and its calendar clock is a minute off.
// The takeover check would compare times of different clocks. Bookings through
// it are not run, and the operator sees the warning.
TEST_CASE("a node's calendar clock is wrong") {
    key_simulation world;
    world.add("a");
    world.add("b", std::chrono::minutes(-1));
    world.claim("a");
    world.advance_and_deliver(milliseconds(2'000));
    world.renew();
    idempotency_key const key = world.make_key();
    world.submit("b", "booking", key);
    world.submit("b", "summary", world.make_key(), true);
    world.advance_and_deliver(milliseconds(3'200));
    CHECK(world.decision_of("booking").verdict == key_verdict::unknown);
    CHECK(world.decision_of("summary").verdict == key_verdict::run);
    CHECK(world.runs_of(key) == 0);
    CHECK(world.clock_warnings == 1);
}

// A record is forgotten by an owner with a fast clock, and the table goes to a
// node with a slow one: for it the key must be too old already, or it would
// run as if it were new.
TEST_CASE("retention ends on two clocks that are apart") {
    key_simulation world;
    world.add("a", milliseconds(250));
    world.add("b", milliseconds(-250));
    world.claim("a");
    world.advance_and_deliver(milliseconds(2'000));
    world.renew();
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    world.deliver();
    world.end("b", "first", outcome::done, "booked");
    world.deliver();

    key_verdict expected = key_verdict::answer;
    SUBCASE("too old for the fast clock, not for the slow one: known") {
        world.now_ += std::chrono::hours(24);
    }
    SUBCASE("once forgotten, it is too old everywhere") {
        world.now_ += std::chrono::hours(24) + milliseconds(751);
        expected = key_verdict::unknown;
    }
    world.advance(milliseconds(100));
    world.at("a").authority_until = world.now_ + milliseconds(100);
    world.hand_over("a", "b");
    world.deliver();
    world.claim("b", true);
    world.submit("b", "second", key);
    world.deliver();
    CHECK(world.decision_of("second").verdict == expected);
    CHECK(world.runs_of(key) == 1);
}

} // namespace camphorpoint::test
