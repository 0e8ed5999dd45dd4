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

// The answer to a booking is lost in transit, and the owner of its key crashes
// and loses its records. The caller repeats the booking through another entry
// node, and the new owner has no record of the key. The verdict must be
// unknown; the booking must not be executed again.
TEST_CASE("an owner crashes without a handover, and a booking is repeated") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("c", "first", key);
    world.deliver();
    REQUIRE(world.runs_of(key) == 1);
    world.kill("a");

    SUBCASE("before a successor claims: unknown after the wait budget") {
        world.submit("b", "second", key);
        world.advance_and_deliver(milliseconds(3'100));
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
        CHECK(world.decision_of("second").why == reason::owner_unreachable);
        CHECK(world.decision_of("second").retry_after > milliseconds(0));
    }
    SUBCASE("after the claim: the successor replies unknown") {
        world.lose<key_completion>();
        world.claim("b");
        world.submit("b", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
        CHECK(
            world.decision_of("second").why ==
            reason::key_unknown_after_takeover);
    }
    SUBCASE("the entry node still runs it: the repeat waits for completion") {
        world.claim("b");
        world.advance_and_deliver(milliseconds(1'500));
        world.submit("b", "second", key);
        world.deliver();
        CHECK_FALSE(world.has_decision("second"));
        world.end("c", "first", outcome::done, "booked");
        world.deliver();
        CHECK(world.decision_of("second").answer == "booked");
    }
    SUBCASE("the completion was sent to the crashed owner: it is sent again") {
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

// Right after a crash, callers send bookings with keys created about the time
// of the takeover. The crashed owner can have accepted any key up to its clock
// plus the limit, and its clock may have been ahead. Keys up to that bound must
// be unknown; keys from one millisecond later must run.
TEST_CASE("the bound of the takeover check") {
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

TEST_CASE("the first owner of a shard has no takeover bound") {
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

// A phone's clock is one hour behind. After a crash all its new bookings get
// the verdict unknown, although none was executed. A booking with a key fetched
// from a node must run.
TEST_CASE("a phone whose clock is an hour behind, after a crash") {
    three_nodes world;
    world.claim("b");
    world.advance_and_deliver(milliseconds(1'600));
    world.submit("c", "phone", world.make_key(-std::chrono::hours(1)));
    world.submit("c", "fetched", world.make_key());
    world.deliver();
    CHECK(world.decision_of("phone").verdict == key_verdict::unknown);
    CHECK(world.decision_of("fetched").verdict == key_verdict::run);
}

// The owner pauses until after its authority expires, with an unread permission
// request for a booking, and a successor takes over. When the owner resumes
// with a stale view that it still owns the shard, it must not permit the
// execution in addition to its successor.
TEST_CASE("a paused owner resumes after its successor took over") {
    three_nodes world;
    idempotency_key const key = world.make_key(milliseconds(900));
    world.at("a").paused = true;
    world.submit("c", "first", key);

    SUBCASE("the request is queued in the socket of the paused owner") {
        world.claim("b");
        world.advance(milliseconds(100));
        world.at("a").paused = false;
        world.deliver();
        CHECK(world.decision_of("first").verdict == key_verdict::unknown);
        CHECK(world.runs_of(key) == 0);
    }
    SUBCASE("an entry node with a stale view sends it a new key") {
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
    SUBCASE("it does not acknowledge a completion in place of its successor") {
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
    SUBCASE("a permission sent before the expiry stays the only one") {
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

// Planned shutdown: the owner hands its table over, so that no booking in
// progress becomes unknown. At the successor a repeat must wait for the running
// booking.
TEST_CASE("an owner hands its shard over") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("c", "first", key);
    world.deliver();

    SUBCASE(
        "complete: the successor has all records, new keys run immediately") {
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
    SUBCASE("once closed, the old owner gives no permissions") {
        world.hand_over("a", "b");
        world.at("a").authority_until = world.now_ + milliseconds(5'000);
        idempotency_key const late = world.make_key();
        world.submit("c", "late", late);
        world.deliver();
        CHECK_FALSE(world.has_decision("late"));
    }
    SUBCASE("aborted: the owner continues with its records") {
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
    SUBCASE("a part is lost: keys are unknown, as after a crash") {
        world.hand_over("a", "b");
        CHECK(world.lose<key_handover>() == 1);
        world.claim("b", true);
        world.submit("b", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
    }
    SUBCASE("the table of an older claim is not imported") {
        // The copy at node b is from the handover. Node a then claims the shard
        // again, permits another booking and crashes.
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

// Two crashes, or a crash followed by a planned shutdown. The table of the
// second successor lacks the records that the first successor lacked, and must
// not be treated as complete.
TEST_CASE("a second takeover after an incomplete first one") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("c", "first", key);
    world.deliver();
    world.end("c", "first", outcome::done, "booked");
    world.deliver();
    world.kill("a");
    world.claim("b");

    SUBCASE("the second one is planned: the bound is handed over") {
        world.hand_over("b", "c");
        world.deliver();
        world.claim("c", true);
    }
    SUBCASE("the second one follows a crash: its own time is the bound") {
        world.kill("b");
        world.claim("c");
    }
    world.submit("c", "second", key);
    world.deliver();
    CHECK(world.decision_of("second").verdict == key_verdict::unknown);
    CHECK(world.runs_of(key) == 1);
}

// Time synchronization fails on a node, and its calendar clock is one minute
// off, so that the takeover check would compare times of different clocks.
// Bookings through this node must not be executed, and the operator must get a
// warning.
TEST_CASE("the calendar clock of a node is wrong") {
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

// An owner with a fast clock removes a record, and its table is handed over to
// a node with a slow clock. The new owner must already reject the key as too
// old; otherwise the work would be executed as if the key were new.
TEST_CASE("the retention expires on nodes with different clocks") {
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
    SUBCASE("too old for the fast clock but not for the slow one: answered") {
        world.now_ += std::chrono::hours(24);
    }
    SUBCASE("once removed, the key is too old on every node") {
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
