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

// An entry node crashes after it received a permission, so it is unknown
// whether the booking was executed. Requests that wait for it must get the
// verdict unknown within seconds.
TEST_CASE("an entry node crashes after it received a permission") {
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

// An entry node pauses while it executes a booking, and its key becomes
// unknown. After it resumes and reports the completion, repeats must get the
// answer.
TEST_CASE("an entry node pauses after it received a permission") {
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

    SUBCASE("still running: repeats wait") {
        world.submit("c", "after", key);
        world.deliver();
        CHECK_FALSE(world.has_decision("after"));
    }
    SUBCASE("completed: repeats get the answer") {
        world.end("b", "first", outcome::done, "booked");
        world.deliver();
        world.submit("c", "after", key);
        world.deliver();
        CHECK(world.decision_of("after").answer == "booked");
    }
    CHECK(world.runs_of(key) == 1);
}

// The message that reports the completion of a booking is lost. The entry node
// repeats it until the owner acknowledges it; without that, a repeat would get
// the verdict unknown instead of the answer.
TEST_CASE("the completion message is lost") {
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

// The reply with the permission is lost. The entry node repeats its request and
// must get the same permission, not `wait`, which would make it wait for its
// own execution.
TEST_CASE("a permission is lost and requested again") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    REQUIRE(world.deliver_one(0));
    REQUIRE(world.lose<key_reply>() == 1);
    world.advance_and_deliver(milliseconds(400));
    CHECK(world.decision_of("first").verdict == key_verdict::run);
    CHECK(world.runs_of(key) == 1);
}

// A caller disconnects, or its wait is cancelled, while the permission request
// is in transit, and the permission arrives late. The entry node must return it
// unused, so that a repeat is executed.
TEST_CASE("a permission arrives after the request was withdrawn") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    auto const requests = world.message_queue;
    auto& entry = *world.at("b").entry;

    SUBCASE("the withdrawal arrives after the permission request") {
        entry.withdraw(request_id("first"), world.clock(world.at("b")));
        world.advance(milliseconds(1'100));
        world.deliver();
    }
    SUBCASE("the withdrawal overtakes the permission request") {
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

// The permission arrives after the request's deadline. The work must not be
// started; since this was the only permission, the verdict is refused (not
// run).
TEST_CASE("a permission arrives after the deadline") {
    three_nodes world;
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key, false, 1, milliseconds(50));
    world.now_ += milliseconds(60);
    world.deliver();
    CHECK(world.decision_of("first").verdict == key_verdict::refused);
    CHECK(world.decision_of("first").why == reason::deadline_passed);
    CHECK(world.runs_of(key) == 0);
}

// The owner of the key of an idempotent summary is unreachable. The request
// must run without waiting for the owner, since a second execution does no
// harm.
TEST_CASE("idempotent work does not wait for an owner") {
    three_nodes world;
    world.kill("a");
    idempotency_key const key = world.make_key();
    world.submit("b", "summary", key, true);
    world.advance_and_deliver(milliseconds(600));
    CHECK(world.decision_of("summary").verdict == key_verdict::run);
}

// Many callers repeat a booking that takes long. The owner keeps a bounded
// number of waiting requests; the others must be rejected with a retry delay.
TEST_CASE("too many requests wait for one key") {
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
