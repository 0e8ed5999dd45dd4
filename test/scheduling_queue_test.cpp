#include "scheduling_fixture.hpp"

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");

/// Number of an attempt that is past the maximum number of redirects.
constexpr std::uint32_t beyond_redirects = 3;

} // namespace

TEST_CASE("an owner queues and grants requests") {
    scheduler_fixture fixture;
    fixture.report({audit});

    SUBCASE("as many requests run as fit into the batch") {
        fixture.request_grant("a", audit);
        fixture.request_grant("b", audit);
        fixture.request_grant("c", audit);
        CHECK(fixture.granted() == names{"a", "b"});

        SUBCASE("the next request runs when one has completed") {
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

    SUBCASE("a ready request overtakes requests that wait for a load") {
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

// Guards against starvation: with a steady stream of urgent requests, a
// scheduler that orders by urgency alone never serves a background request,
// although the engine serves many requests in the meantime.
TEST_CASE("the lowest class does not starve") {
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

// Guards against urgent requests, such as a licence match, that wait for a long
// answer to complete because the batch is full of requests that could have
// waited.
TEST_CASE("the last slot of a batch is reserved for urgent requests") {
    urgent_first const policy;
    instant const now = instant{} + std::chrono::hours(1);
    batch_state state;
    state.batch_limit = 32;
    state.running = 31;
    state.classes[2].ready = 5;
    CHECK(policy.next_class(state, now) == urgency::normal);

    SUBCASE("if an immediate request arrived recently") {
        state.classes[0].last_request = now - seconds(4);
        CHECK_FALSE(policy.next_class(state, now));
        state.classes[1].ready = 1;
        CHECK(policy.next_class(state, now) == urgency::high);
        state.classes[1].ready = 0;
        state.running = 30;
        CHECK(policy.next_class(state, now) == urgency::normal);
    }

    SUBCASE("until the reserve period has passed") {
        state.classes[0].last_request = now - seconds(5);
        CHECK(policy.next_class(state, now) == urgency::normal);
    }
}

// Guards against callers that learn only at their deadline that a request is
// too late, after a wait in a queue that could never have served it in time;
// the retry then is too late as well. The owner can estimate the time of a
// request, and refuses it at once.
TEST_CASE("requests beyond the capacity are refused at once") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);
    for (int count = 0; count < 8; ++count) {
        fixture.request_grant(
            "q" + std::to_string(count), audit, urgency::high, seconds(30),
            "n1", beyond_redirects);
    }

    SUBCASE("a request that cannot meet its deadline is not queued") {
        fixture.request_grant(
            "hopeless", audit, urgency::normal, seconds(4), "n1",
            beyond_redirects);
        CHECK(fixture.refused("hopeless") == reason::deadline_unreachable);
        auto const after = fixture.last<reply_refusal>().message.retry_after;
        CHECK(after > milliseconds(0));
        CHECK(fixture.refused("q7") == reason::none);
    }

    SUBCASE(
        "a queued request that is too late is refused before its deadline") {
        fixture.request_grant(
            "waits", audit, urgency::background, seconds(15), "n1",
            beyond_redirects);
        CHECK(fixture.refused("waits") == reason::none);
        fixture.advance(seconds(14));
        CHECK(fixture.refused("waits") == reason::deadline_unreachable);
    }

    SUBCASE("a full queue refuses only requests of its own class") {
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

// Guards against requests that queue for many seconds at some replicas while
// others are idle. Entry nodes know the queues only from replies to their own
// requests, which are outdated by the time of the next request.
TEST_CASE("an owner with a long queue redirects the first attempts") {
    scheduler_fixture fixture;
    fixture.report({audit, labels});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);

    SUBCASE("a request waits in a short queue") {
        fixture.request_grant("l", labels);
        CHECK(fixture.refused("l") == reason::none);

        SUBCASE("a request is redirected from a long queue") {
            fixture.request_grant("m", labels);
            CHECK(fixture.refused("m") == reason::queue_full);
            auto const after =
                fixture.last<reply_refusal>().message.retry_after;
            CHECK(after == milliseconds(0));
        }

        SUBCASE("a request that was redirected twice is queued") {
            fixture.request_grant(
                "m", labels, urgency::normal, seconds(30), "n1",
                beyond_redirects);
            CHECK(fixture.refused("m") == reason::none);
        }
    }

    SUBCASE("requests for an adapter in steady demand are redirected sooner") {
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

// Guards against duplicate execution, such as a booking made twice: a grant
// request is repeated after a lost connection, and the owner mistakes it for a
// second request.
TEST_CASE("a repeated grant request receives no second grant") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);

    SUBCASE("a granted request receives the same grant again") {
        fixture.advance(milliseconds(200));
        fixture.request_grant("a", audit);
        auto const grants = fixture.all<reply_grant>();
        REQUIRE(grants.size() == 2);
        CHECK(grants[0].message.grant == grants[1].message.grant);
        CHECK(grants[1].message.send_within == milliseconds(800));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    }

    SUBCASE("after the grant has expired there is no answer") {
        fixture.advance(milliseconds(1'000));
        fixture.request_grant("a", audit);
        CHECK(fixture.all<reply_grant>().size() == 1);
    }

    SUBCASE("a queued request stays in the queue once") {
        fixture.request_grant("b", audit);
        fixture.request_grant("c", audit);
        fixture.request_grant("c", audit);
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).queued == 1);
    }

    SUBCASE("a further attempt replaces the earlier attempt") {
        fixture.request_grant(
            "a", audit, urgency::normal, seconds(30), "n1", 1);
        CHECK(fixture.last<reply_grant>().message.attempt == 1);
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    }
}

// Guards against a loss of batch capacity until the owner is replaced: an entry
// node cancels its request while the grant is in transit, and the owner counts
// the grant forever.
TEST_CASE("a cancellation that crosses the grant frees its slot") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);
    fixture.request_grant("c", audit);
    fixture.cancel_request("a");
    CHECK(fixture.granted() == names{"a", "b", "c"});

    SUBCASE("a cancelled request is removed from the queue") {
        fixture.request_grant("d", audit);
        fixture.cancel_request("d");
        fixture.release("b");
        CHECK(fixture.granted() == names{"a", "b", "c"});
    }
}

} // namespace camphorpoint::test
