#include "scheduling_fixture.hpp"

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");

/// An attempt of a request that was sent elsewhere often enough.
constexpr std::uint32_t beyond_redirects = 3;

} // namespace

TEST_CASE("an owner queues and grants") {
    scheduler_fixture fixture;
    fixture.report({audit});

    SUBCASE("as many run as the engine batches") {
        fixture.request_grant("a", audit);
        fixture.request_grant("b", audit);
        fixture.request_grant("c", audit);
        CHECK(fixture.granted() == names{"a", "b"});

        SUBCASE("the next one runs when one has ended") {
            fixture.advance(milliseconds(100));
            fixture.release("a");
            CHECK(fixture.granted() == names{"a", "b", "c"});
            observed_wait const wait = fixture.last<observed_wait>();
            CHECK(wait.queueing == milliseconds(100));
            CHECK(wait.load_stall == milliseconds(0));
        }

        SUBCASE("the earlier deadline goes first within a class") {
            fixture.request_grant("d", audit, urgency::normal, seconds(20));
            fixture.release("a");
            CHECK(fixture.granted().back() == "d");
        }

        SUBCASE("the more urgent class goes first") {
            fixture.request_grant("d", audit, urgency::background, seconds(9));
            fixture.request_grant("e", audit, urgency::immediate, seconds(60));
            fixture.release("a");
            CHECK(fixture.granted().back() == "e");
        }
    }

    SUBCASE("a request passes those that wait for a load") {
        fixture.request_grant("cold", labels);
        fixture.request_grant("warm", audit);
        CHECK(fixture.granted() == names{"warm"});
        CHECK(fixture.last<send_load_request>().message.adapter == labels);
        fixture.advance(milliseconds(300));
        fixture.load(labels);
        CHECK(fixture.granted() == names{"warm", "cold"});
        CHECK(fixture.last<observed_wait>().load_stall == milliseconds(300));
    }
}

// Under a steady stream of urgent work a background request waits until its
// caller gives up, though the engine serves many requests meanwhile. The cause
// is an order by urgency alone: there is always something more urgent.
TEST_CASE("the lowest class is not starved for good") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("x", audit);
    fixture.request_grant("y", audit);
    fixture.request_grant("lowest", audit, urgency::background, seconds(600));
    std::string running = "x";
    bool served = false;
    for (int count = 0; count < 40 && !served; ++count) {
        std::string const next = "urgent" + std::to_string(count);
        fixture.request_grant(next, audit, urgency::immediate, seconds(600));
        fixture.release(running);
        running = fixture.granted().back();
        served = running == "lowest";
    }
    CHECK(served);
}

// A licence match waits for a long answer to end, since the batch was filled
// up with work that could have waited.
TEST_CASE("the last place of a batch is kept for urgent work") {
    urgent_first const policy;
    instant const now = instant{} + std::chrono::hours(1);
    batch_state state;
    state.batch_limit = 32;
    state.running = 31;
    state.classes[2].ready = 5;
    CHECK(policy.next_class(state, now) == urgency::normal);

    SUBCASE("while some is about") {
        state.classes[0].last_request = now - seconds(4);
        CHECK_FALSE(policy.next_class(state, now));
        state.classes[1].ready = 1;
        CHECK(policy.next_class(state, now) == urgency::high);
        state.classes[1].ready = 0;
        state.running = 30;
        CHECK(policy.next_class(state, now) == urgency::normal);
    }

    SUBCASE("but not for ever") {
        state.classes[0].last_request = now - seconds(5);
        CHECK(policy.next_class(state, now) == urgency::normal);
    }
}

// A caller is told "too late" only after its whole deadline, having waited in
// a queue that could never have served it in time. Its next try then comes too
// late as well. The owner knows how long a request takes, and says so at once.
TEST_CASE("overload is refused at once") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);
    for (int count = 0; count < 8; ++count) {
        fixture.request_grant(
            "q" + std::to_string(count), audit, urgency::high, seconds(30),
            "n1", beyond_redirects);
    }

    SUBCASE("what can't make its deadline is not queued") {
        fixture.request_grant(
            "hopeless", audit, urgency::normal, seconds(4), "n1",
            beyond_redirects);
        CHECK(fixture.refused("hopeless") == reason::deadline_unreachable);
        auto const after = fixture.last<reply_refusal>().message.retry_after;
        CHECK(after > milliseconds(0));
        CHECK(fixture.refused("q7") == reason::none);
    }

    SUBCASE("what is late in the queue is refused before its deadline") {
        fixture.request_grant(
            "waits", audit, urgency::background, seconds(15), "n1",
            beyond_redirects);
        CHECK(fixture.refused("waits") == reason::none);
        fixture.advance(seconds(14));
        CHECK(fixture.refused("waits") == reason::deadline_unreachable);
    }

    SUBCASE("a full queue refuses, in its own class only") {
        scheduler_settings small = scheduler_fixture::default_settings();
        small.queue_limit = 1;
        scheduler_fixture other(small);
        other.report({audit});
        other.request_grant("a", audit);
        other.request_grant("b", audit);
        other.request_grant("c", audit);
        other.request_grant("d", audit);
        other.request_grant("e", audit, urgency::high);
        CHECK(other.refused("d") == reason::queue_full);
        CHECK(other.refused("e") == reason::none);
    }
}

// Requests queue for many seconds at some replicas while others idle: entry
// nodes know queues only from replies to their own requests, which are old by
// the time of the next one.
TEST_CASE("an owner with a long queue sends the first asks elsewhere") {
    scheduler_fixture fixture;
    fixture.report({audit, labels});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);

    SUBCASE("a short queue is waited for") {
        fixture.request_grant("l", labels);
        CHECK(fixture.refused("l") == reason::none);

        SUBCASE("a long one isn't") {
            fixture.request_grant("m", labels);
            CHECK(fixture.refused("m") == reason::queue_full);
            auto const after =
                fixture.last<reply_refusal>().message.retry_after;
            CHECK(after == milliseconds(0));
        }

        SUBCASE("unless the request was sent on twice already") {
            fixture.request_grant(
                "m", labels, urgency::normal, seconds(30), "n1",
                beyond_redirects);
            CHECK(fixture.refused("m") == reason::none);
        }
    }

    SUBCASE("an adapter in steady demand is sent to its copies sooner") {
        for (int count = 0; count < 4; ++count) {
            std::string const name = "x" + std::to_string(count);
            fixture.request_grant(
                name, audit, urgency::normal, seconds(30), "n1", 3);
            fixture.cancel_request(name);
        }
        fixture.request_grant("c", audit);
        CHECK(fixture.refused("c") == reason::queue_full);
        fixture.request_grant("l", labels);
        CHECK(fixture.refused("l") == reason::none);
    }
}

// A caller's answer comes twice, and a booking is made twice. An ask was sent
// again after a lost connection, and the owner took it for a second request.
TEST_CASE("a repeated ask earns no second grant") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);

    SUBCASE("one that was granted is answered with the same grant") {
        fixture.advance(milliseconds(200));
        fixture.request_grant("a", audit);
        auto const grants = fixture.all<reply_grant>();
        REQUIRE(grants.size() == 2);
        CHECK(grants[0].message.grant == grants[1].message.grant);
        CHECK(grants[1].message.send_within == milliseconds(800));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    }

    SUBCASE("past the grant's time nothing is answered") {
        fixture.advance(milliseconds(1'000));
        fixture.request_grant("a", audit);
        CHECK(fixture.all<reply_grant>().size() == 1);
    }

    SUBCASE("one that waits goes on waiting, once") {
        fixture.request_grant("b", audit);
        fixture.request_grant("c", audit);
        fixture.request_grant("c", audit);
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).queued == 1);
    }

    SUBCASE("a further attempt replaces the earlier one") {
        fixture.request_grant(
            "a", audit, urgency::normal, seconds(30), "n1", 1);
        CHECK(fixture.last<reply_grant>().message.attempt == 1);
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    }
}

// An engine runs fewer requests than it could, until the owner is replaced.
// An entry node took its ask back just when the grant was on its way, and the
// owner still counts the grant.
TEST_CASE("a withdrawal that crosses the grant frees its place") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);
    fixture.request_grant("c", audit);
    fixture.cancel_request("a");
    CHECK(fixture.granted() == names{"a", "b", "c"});

    SUBCASE("one that still waits is just gone") {
        fixture.request_grant("d", audit);
        fixture.cancel_request("d");
        fixture.release("b");
        CHECK(fixture.granted() == names{"a", "b", "c"});
    }
}

} // namespace camphorpoint::test
