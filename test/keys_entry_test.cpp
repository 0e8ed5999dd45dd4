#include "keys_world.hpp"

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
        live(milliseconds(2'000));
        renew();
    }
};

} // namespace

// The entry node dies with a permission in hand: nobody can say whether the
// booking ran. Callers that wait for it are told unknown within seconds.
TEST_CASE("an entry node dies with its permission") {
    three_nodes world;
    idempotency_key const key = world.key_made();
    world.ask("b", "first", key);
    world.deliver();
    world.ask("c", "second", key);
    world.deliver();
    world.kill("b");
    for (int second = 0; second < 6; ++second) {
        world.live(milliseconds(1'000));
        world.renew();
    }
    CHECK(world.settled_of("second").verdict == key_verdict::unknown);
    CHECK(world.settled_of("second").why == reason::key_entry_lost);
    CHECK(world.runs_of(key) == 1);
}

// The entry node is only paused: it comes back, ends its booking, and repeats
// get the answer after all.
TEST_CASE("an entry node is paused with its permission") {
    three_nodes world;
    idempotency_key const key = world.key_made();
    world.ask("b", "first", key);
    world.deliver();
    world.at("b").paused = true;
    for (int second = 0; second < 6; ++second) {
        world.live(milliseconds(1'000));
        world.renew();
    }
    world.ask("c", "during", key);
    world.deliver();
    CHECK(world.settled_of("during").verdict == key_verdict::unknown);
    world.at("b").paused = false;
    world.live(milliseconds(1'000));
    world.renew();

    SUBCASE("it runs still: repeats wait") {
        world.ask("c", "after", key);
        world.deliver();
        CHECK_FALSE(world.has_settled("after"));
    }
    SUBCASE("it ran: repeats get the answer") {
        world.end("b", "first", outcome::done, "booked");
        world.deliver();
        world.ask("c", "after", key);
        world.deliver();
        CHECK(world.settled_of("after").answer == "booked");
    }
    CHECK(world.runs_of(key) == 1);
}

// The message that a booking has ended is lost. The entry node sends it until
// the owner has noted it, so a repeat gets the answer and not unknown.
TEST_CASE("the message of an end is lost") {
    three_nodes world;
    idempotency_key const key = world.key_made();
    world.ask("b", "first", key);
    world.deliver();
    world.end("b", "first", outcome::done, "booked");
    REQUIRE(world.lose<key_completion>() == 1);
    world.live(milliseconds(1'200));
    world.ask("c", "second", key);
    world.deliver();
    CHECK(world.settled_of("second").answer == "booked");
}

// The owner's permission is lost on the way. The entry node asks again under
// the same request and gets the same permission, not "wait" for itself.
TEST_CASE("a permission is lost and asked for again") {
    three_nodes world;
    idempotency_key const key = world.key_made();
    world.ask("b", "first", key);
    REQUIRE(world.deliver_one(0));
    REQUIRE(world.lose<key_reply>() == 1);
    world.live(milliseconds(400));
    CHECK(world.settled_of("first").verdict == key_verdict::run);
    CHECK(world.runs_of(key) == 1);
}

// A caller goes away, or is given up, while its ask is on its way; the
// permission comes late. It is handed back unused, and a repeat runs.
TEST_CASE("a permission comes after the request was given up") {
    three_nodes world;
    idempotency_key const key = world.key_made();
    world.ask("b", "first", key);
    auto const ask = world.letters;
    auto& entry = *world.at("b").entry;

    SUBCASE("the withdrawal comes after the ask") {
        entry.withdraw(request_id("first"), world.clock(world.at("b")));
        world.advance(milliseconds(1'100));
        world.deliver();
    }
    SUBCASE("the withdrawal overtakes the ask") {
        world.letters.clear();
        entry.withdraw(request_id("first"), world.clock(world.at("b")));
        world.advance(milliseconds(1'100));
        world.deliver();
        world.letters.insert(world.letters.end(), ask.begin(), ask.end());
        world.deliver();
    }
    CHECK_FALSE(world.has_settled("first"));
    CHECK(world.runs_of(key) == 0);
    world.ask("c", "second", key);
    world.deliver();
    CHECK(world.settled_of("second").verdict == key_verdict::run);
    CHECK(world.runs_of(key) == 1);
}

// Its caller's time is over when the permission comes: it is not started, and
// since this was the only permission, "not run" is the truth.
TEST_CASE("a permission comes after the deadline") {
    three_nodes world;
    idempotency_key const key = world.key_made();
    world.ask("b", "first", key, false, 1, milliseconds(50));
    world.now_ += milliseconds(60);
    world.deliver();
    CHECK(world.settled_of("first").verdict == key_verdict::refused);
    CHECK(world.settled_of("first").why == reason::deadline_passed);
    CHECK(world.runs_of(key) == 0);
}

// The owner of a summary's key cannot be reached. Running it twice does no
// harm, so it does not wait for the owner's return.
TEST_CASE("idempotent work does not wait for an owner") {
    three_nodes world;
    world.kill("a");
    idempotency_key const key = world.key_made();
    world.ask("b", "summary", key, true);
    world.live(milliseconds(600));
    CHECK(world.settled_of("summary").verdict == key_verdict::run);
}

// Many callers repeat one booking that runs long: the owner remembers only so
// many that wait, and tells the others when to come back.
TEST_CASE("too many wait for one key") {
    three_nodes world;
    idempotency_key const key = world.key_made();
    world.ask("b", "first", key);
    world.deliver();
    for (int index = 0; index < 17; ++index) {
        world.ask("c", "w" + std::to_string(index), key);
        world.deliver();
    }
    CHECK_FALSE(world.has_settled("w15"));
    CHECK(world.settled_of("w16").verdict == key_verdict::unknown);
    CHECK(world.settled_of("w16").why == reason::already_running);
    CHECK(world.settled_of("w16").retry_after > milliseconds(0));
}

} // namespace camphorpoint::test
