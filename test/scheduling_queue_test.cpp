#include "scheduling_fixture.hpp"

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");

/// An attempt of a request that was sent elsewhere often enough.
constexpr std::uint32_t last_try = 3;

} // namespace

TEST_CASE("an owner queues and grants") {
    replica_story story;
    story.report({audit});

    SUBCASE("as many run as the engine batches") {
        story.ask("a", audit);
        story.ask("b", audit);
        story.ask("c", audit);
        CHECK(story.granted() == names{"a", "b"});

        SUBCASE("the next one runs when one has ended") {
            story.pass(milliseconds(100));
            story.release("a");
            CHECK(story.granted() == names{"a", "b", "c"});
            observed_wait const wait = story.last<observed_wait>();
            CHECK(wait.queueing == milliseconds(100));
            CHECK(wait.load_stall == milliseconds(0));
        }

        SUBCASE("the earlier deadline goes first within a class") {
            story.ask("d", audit, urgency::normal, seconds(20));
            story.release("a");
            CHECK(story.granted().back() == "d");
        }

        SUBCASE("the more urgent class goes first") {
            story.ask("d", audit, urgency::background, seconds(9));
            story.ask("e", audit, urgency::immediate, seconds(60));
            story.release("a");
            CHECK(story.granted().back() == "e");
        }
    }

    SUBCASE("a request passes those that wait for a load") {
        story.ask("cold", labels);
        story.ask("warm", audit);
        CHECK(story.granted() == names{"warm"});
        CHECK(story.last<want_load>().message.adapter == labels);
        story.pass(milliseconds(300));
        story.load(labels);
        CHECK(story.granted() == names{"warm", "cold"});
        CHECK(story.last<observed_wait>().load_stall == milliseconds(300));
    }
}

// Under a steady stream of urgent work a background request waits until its
// caller gives up, though the engine serves many requests meanwhile. The cause
// is an order by urgency alone: there is always something more urgent.
TEST_CASE("the lowest class is not starved for good") {
    replica_story story;
    story.report({audit});
    story.ask("x", audit);
    story.ask("y", audit);
    story.ask("lowest", audit, urgency::background, seconds(600));
    std::string running = "x";
    bool served = false;
    for (int count = 0; count < 40 && !served; ++count) {
        std::string const next = "urgent" + std::to_string(count);
        story.ask(next, audit, urgency::immediate, seconds(600));
        story.release(running);
        running = story.granted().back();
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
        state.classes[0].last_ask = now - seconds(4);
        CHECK_FALSE(policy.next_class(state, now));
        state.classes[1].ready = 1;
        CHECK(policy.next_class(state, now) == urgency::high);
        state.classes[1].ready = 0;
        state.running = 30;
        CHECK(policy.next_class(state, now) == urgency::normal);
    }

    SUBCASE("but not for ever") {
        state.classes[0].last_ask = now - seconds(5);
        CHECK(policy.next_class(state, now) == urgency::normal);
    }
}

// A caller is told "too late" only after its whole deadline, having waited in
// a queue that could never have served it in time. Its next try then comes too
// late as well. The owner knows how long a request takes, and says so at once.
TEST_CASE("overload is refused at once") {
    replica_story story;
    story.report({audit});
    story.ask("a", audit);
    story.ask("b", audit);
    for (int count = 0; count < 8; ++count) {
        story.ask(
            "q" + std::to_string(count), audit, urgency::high, seconds(30),
            "n1", last_try);
    }

    SUBCASE("what can't make its deadline is not queued") {
        story.ask(
            "hopeless", audit, urgency::normal, seconds(4), "n1", last_try);
        CHECK(story.refused("hopeless") == reason::deadline_unreachable);
        auto const after = story.last<reply_refusal>().message.retry_after;
        CHECK(after > milliseconds(0));
        CHECK(story.refused("q7") == reason::none);
    }

    SUBCASE("what is late in the queue is refused before its deadline") {
        story.ask(
            "waits", audit, urgency::background, seconds(15), "n1", last_try);
        CHECK(story.refused("waits") == reason::none);
        story.pass(seconds(14));
        CHECK(story.refused("waits") == reason::deadline_unreachable);
    }

    SUBCASE("a full queue refuses, in its own class only") {
        scheduler_settings small = replica_story::plain();
        small.queue_limit = 1;
        replica_story other(small);
        other.report({audit});
        other.ask("a", audit);
        other.ask("b", audit);
        other.ask("c", audit);
        other.ask("d", audit);
        other.ask("e", audit, urgency::high);
        CHECK(other.refused("d") == reason::queue_full);
        CHECK(other.refused("e") == reason::none);
    }
}

// Requests queue for many seconds at some replicas while others idle: entry
// nodes know queues only from replies to their own requests, which are old by
// the time of the next one.
TEST_CASE("an owner with a long queue sends the first asks elsewhere") {
    replica_story story;
    story.report({audit, labels});
    story.ask("a", audit);
    story.ask("b", audit);

    SUBCASE("a short queue is waited for") {
        story.ask("l", labels);
        CHECK(story.refused("l") == reason::none);

        SUBCASE("a long one isn't") {
            story.ask("m", labels);
            CHECK(story.refused("m") == reason::queue_full);
            auto const after = story.last<reply_refusal>().message.retry_after;
            CHECK(after == milliseconds(0));
        }

        SUBCASE("unless the request was sent on twice already") {
            story.ask(
                "m", labels, urgency::normal, seconds(30), "n1", last_try);
            CHECK(story.refused("m") == reason::none);
        }
    }

    SUBCASE("an adapter in steady demand is sent to its copies sooner") {
        for (int count = 0; count < 4; ++count) {
            std::string const name = "x" + std::to_string(count);
            story.ask(name, audit, urgency::normal, seconds(30), "n1", 3);
            story.withdraw(name);
        }
        story.ask("c", audit);
        CHECK(story.refused("c") == reason::queue_full);
        story.ask("l", labels);
        CHECK(story.refused("l") == reason::none);
    }
}

// A caller's answer comes twice, and a booking is made twice. An ask was sent
// again after a lost connection, and the owner took it for a second request.
TEST_CASE("a repeated ask earns no second grant") {
    replica_story story;
    story.report({audit});
    story.ask("a", audit);

    SUBCASE("one that was granted is answered with the same grant") {
        story.pass(milliseconds(200));
        story.ask("a", audit);
        auto const grants = story.all<reply_grant>();
        REQUIRE(grants.size() == 2);
        CHECK(grants[0].message.grant == grants[1].message.grant);
        CHECK(grants[1].message.send_within == milliseconds(800));
        CHECK(story.scheduler().feedback(audit, story.now()).running == 1);
    }

    SUBCASE("past the grant's time nothing is answered") {
        story.pass(milliseconds(1'000));
        story.ask("a", audit);
        CHECK(story.all<reply_grant>().size() == 1);
    }

    SUBCASE("one that waits goes on waiting, once") {
        story.ask("b", audit);
        story.ask("c", audit);
        story.ask("c", audit);
        CHECK(story.scheduler().feedback(audit, story.now()).queued == 1);
    }

    SUBCASE("a further attempt replaces the earlier one") {
        story.ask("a", audit, urgency::normal, seconds(30), "n1", 1);
        CHECK(story.last<reply_grant>().message.attempt == 1);
        CHECK(story.scheduler().feedback(audit, story.now()).running == 1);
    }
}

// An engine runs fewer requests than it could, until the owner is replaced.
// An entry node took its ask back just when the grant was on its way, and the
// owner still counts the grant.
TEST_CASE("a withdrawal that crosses the grant frees its place") {
    replica_story story;
    story.report({audit});
    story.ask("a", audit);
    story.ask("b", audit);
    story.ask("c", audit);
    story.withdraw("a");
    CHECK(story.granted() == names{"a", "b", "c"});

    SUBCASE("one that still waits is just gone") {
        story.ask("d", audit);
        story.withdraw("d");
        story.release("b");
        CHECK(story.granted() == names{"a", "b", "c"});
    }
}

} // namespace camphorpoint::test
