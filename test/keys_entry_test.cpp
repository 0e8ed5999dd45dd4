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

// The entry node dies with a permission in hand: nobody can say whether the
// booking ran. Callers that wait for it are told unknown within seconds.
TEST_CASE("an entry node dies with its permission") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    world.deliver();
    world.submit("c", "second", key);
    world.deliver();
    world.kill("b");
    for (int second = 0; second < 6; ++second) {
        world.advance_and_deliver(milliseconds(1'000));
        world.renew();
    }
    CHECK(world.decision_of("second").verdict == key_verdict::unknown);
    CHECK(world.decision_of("second").why == reason::key_entry_lost);
    CHECK(world.runs_of(key) == 1);
}

// The entry node is only paused: it comes back, ends its booking, and repeats
// get the answer after all.
TEST_CASE("an entry node is paused with its permission") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    world.deliver();
    world.at("b").paused = true;
    for (int second = 0; second < 6; ++second) {
        world.advance_and_deliver(milliseconds(1'000));
        world.renew();
    }
    world.submit("c", "during", key);
    world.deliver();
    CHECK(world.decision_of("during").verdict == key_verdict::unknown);
    world.at("b").paused = false;
    world.advance_and_deliver(milliseconds(1'000));
    world.renew();

    SUBCASE("it runs still: repeats wait") {
        world.submit("c", "after", key);
        world.deliver();
        CHECK_FALSE(world.has_decision("after"));
    }
    SUBCASE("it ran: repeats get the answer") {
        world.end("b", "first", outcome::done, "booked");
        world.deliver();
        world.submit("c", "after", key);
        world.deliver();
        CHECK(world.decision_of("after").answer == "booked");
    }
    CHECK(world.runs_of(key) == 1);
}

// The message that a booking has ended is lost. The entry node sends it until
// the owner has noted it, so a repeat gets the answer and not unknown.
TEST_CASE("the message of an end is lost") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    world.deliver();
    world.end("b", "first", outcome::done, "booked");
    REQUIRE(world.lose<key_completion>() == 1);
    world.advance_and_deliver(milliseconds(1'200));
    world.submit("c", "second", key);
    world.deliver();
    CHECK(world.decision_of("second").answer == "booked");
}

// The owner's permission is lost on the way. The entry node asks again under
// the same request and gets the same permission, not "wait" for itself.
TEST_CASE("a permission is lost and asked for again") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    REQUIRE(world.deliver_one(0));
    REQUIRE(world.lose<key_reply>() == 1);
    world.advance_and_deliver(milliseconds(400));
    CHECK(world.decision_of("first").verdict == key_verdict::run);
    CHECK(world.runs_of(key) == 1);
}

// A caller goes away, or is given up, while its ask is on its way; the
// permission comes late. It is handed back unused, and a repeat runs.
TEST_CASE("a permission comes after the request was given up") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    auto const requests = world.message_queue;
    auto& entry = *world.at("b").entry;

    SUBCASE("the withdrawal comes after the ask") {
        entry.withdraw(request_id("first"), world.clock(world.at("b")));
        world.advance(milliseconds(1'100));
        world.deliver();
    }
    SUBCASE("the withdrawal overtakes the ask") {
        world.message_queue.clear();
        entry.withdraw(request_id("first"), world.clock(world.at("b")));
        world.advance(milliseconds(1'100));
        world.deliver();
        world.message_queue.insert(
            world.message_queue.end(), requests.begin(), requests.end());
        world.deliver();
    }
    CHECK_FALSE(world.has_decision("first"));
    CHECK(world.runs_of(key) == 0);
    world.submit("c", "second", key);
    world.deliver();
    CHECK(world.decision_of("second").verdict == key_verdict::run);
    CHECK(world.runs_of(key) == 1);
}

// Its caller's time is over when the permission comes: it is not started, and
// since this was the only permission, "not run" is the truth.
TEST_CASE("a permission comes after the deadline") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key, false, 1, milliseconds(50));
    world.now_ += milliseconds(60);
    world.deliver();
    CHECK(world.decision_of("first").verdict == key_verdict::refused);
    CHECK(world.decision_of("first").why == reason::deadline_passed);
    CHECK(world.runs_of(key) == 0);
}

// The owner of a summary's key cannot be reached. Running it twice does no
// harm, so it does not wait for the owner's return.
TEST_CASE("idempotent work does not wait for an owner") {
    three_nodes world;
    world.kill("a");
    idempotency_key const key = world.make_key();
    world.submit("b", "summary", key, true);
    world.advance_and_deliver(milliseconds(600));
    CHECK(world.decision_of("summary").verdict == key_verdict::run);
}

// Many callers repeat one booking that runs long: the owner remembers only so
// many that wait, and tells the others when to come back.
TEST_CASE("too many wait for one key") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    world.deliver();
    for (int index = 0; index < 17; ++index) {
        world.submit("c", "w" + std::to_string(index), key);
        world.deliver();
    }
    CHECK_FALSE(world.has_decision("w15"));
    CHECK(world.decision_of("w16").verdict == key_verdict::unknown);
    CHECK(world.decision_of("w16").why == reason::already_running);
    CHECK(world.decision_of("w16").retry_after > milliseconds(0));
}

} // namespace camphorpoint::test
