#include "scheduling_fixture.hpp"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");
adapter_ref const licences = adapter("licences");

constexpr milliseconds settled{1'600};

} // namespace

// A stream is cut under its caller: its owner died, and the successor, who
// knows nothing of the request, evicted the adapter that it runs on.
TEST_CASE("a new owner takes adapters as in use until it knows") {
    replica_story story;
    story.report({audit, labels});
    story.ask("new", licences);
    story.pass(milliseconds(200));

    SUBCASE("a report from within the old grants' time confirms nothing") {
        CHECK(story.all<want_load>().empty());
        story.report({audit, labels});
        CHECK(story.all<want_load>().empty());

        SUBCASE("a later one does, for what it says is idle") {
            story.pass(settled);
            story.forget();
            story.report({audit, labels}, {audit});
            story.allow(licences);
            CHECK(story.last<engine_order>().adapter == labels);
        }
    }

    SUBCASE("what the engine runs beyond its grants takes up the batch") {
        story.report({audit, labels}, {audit, labels});
        story.ask("a", audit);
        CHECK(story.granted().empty());
        story.report({audit, labels});
        CHECK(story.granted() == names{"a"});
    }

    SUBCASE("heartbeats tell what runs") {
        story.heartbeat({story.use("old", audit, true)}, "n2");
        CHECK(story.scheduler().feedback(audit, story.now()).running == 1);
        story.heartbeat({story.use("lost", audit, false)}, "n3");
        CHECK(story.refused("lost") == reason::owner_unreachable);
    }

    SUBCASE("the former owner's table tells it at once") {
        replica_story former;
        former.report({audit, labels});
        former.ask("old", audit);
        former.scheduler().stop_granting(former.now());
        owner_table table = former.scheduler().export_table(former.now());
        std::stringstream wire;
        cereal::BinaryOutputArchive{wire}(table);
        owner_table received;
        cereal::BinaryInputArchive{wire}(received);
        story.scheduler().import_table(received, story.now());
        story.report({audit, labels});
        story.pass(milliseconds(20));
        story.allow(licences);
        REQUIRE(story.orders(engine_order_kind::evict).size() == 1);
        CHECK(story.last<engine_order>().adapter == labels);
        CHECK(story.scheduler().feedback(audit, story.now()).running == 1);
    }

    SUBCASE("without any word the longest request's time has to pass") {
        replica_story other;
        other.report({audit, labels}, {audit, labels});
        other.pass(seconds(119));
        other.ask("new", licences);
        other.pass(milliseconds(400));
        CHECK(other.all<want_load>().empty());
        other.pass(seconds(4));
        CHECK_FALSE(other.all<want_load>().empty());
    }
}

// An engine runs fewer and fewer requests at once over the hours: some releases
// were lost, and the owner counts their grants for good.
TEST_CASE("a lost release is repaired by the heartbeat") {
    replica_story story;
    story.report({audit});
    story.ask("a", audit);
    story.ask("b", audit);
    story.ask("c", audit);
    story.heartbeat(
        {story.use("b", audit, true), story.use("c", audit, false)});
    CHECK(story.granted() == names{"a", "b", "c"});

    SUBCASE("other nodes' grants are left alone") {
        story.heartbeat({}, "n2");
        CHECK(story.scheduler().feedback(audit, story.now()).running == 2);
    }

    SUBCASE("a grant that was never used ends with its time") {
        story.pass(settled);
        story.heartbeat(
            {story.use("b", audit, true), story.use("c", audit, false)});
        CHECK(story.scheduler().feedback(audit, story.now()).running == 1);
    }
}

// An entry node dies, and its requests run on in the engine for a while. Either
// their adapter is evicted under them, or their places are never used again.
TEST_CASE("a dead entry node's grants run until the engine says otherwise") {
    replica_story story;
    story.report({audit});
    story.ask("a", audit);
    story.pass(seconds(8));
    CHECK(story.scheduler().feedback(audit, story.now()).running == 1);
    story.report({audit}, {audit});
    story.pass(seconds(1));
    CHECK(story.scheduler().feedback(audit, story.now()).running == 1);

    SUBCASE("by a report") {
        story.report({audit});
        story.pass(seconds(1));
        CHECK(story.scheduler().feedback(audit, story.now()).running == 0);
    }

    SUBCASE("by the longest request's time") {
        story.pass(seconds(112));
        CHECK(story.scheduler().feedback(audit, story.now()).running == 0);
    }
}

// Two nodes order one engine about, and an adapter vanishes under a request.
// One of them was paused past its authority and woke up believing in it.
TEST_CASE("an owner without authority orders nothing") {
    replica_story story;
    story.take_over(2, milliseconds(2'000));
    story.pass(settled);
    story.report({audit, labels});
    story.ask("new", licences);
    REQUIRE(story.all<want_load>().size() == 1);

    SUBCASE("its authority lapsed between permission and order") {
        story.pass(milliseconds(400));
        story.allow(licences);
        CHECK(story.all<engine_order>().empty());

        SUBCASE("residents are served on, as in an outage of the log") {
            story.ask("a", audit);
            CHECK(story.granted() == names{"a"});
        }
    }

    SUBCASE("orders bear the claim and end with the authority") {
        story.allow(licences);
        engine_order const evict = story.last<engine_order>();
        CHECK(evict.fencing == log_offset{2});
        CHECK(evict.not_after <= story.now() + milliseconds(400));

        // The engine has seen a newer owner's number.
        SUBCASE("one that is refused for its fencing number ends all") {
            story.ask("waits", licences);
            story.forget();
            story.end_order(evict, order_result::refused_fencing);
            CHECK(story.refused("waits") == reason::owner_unreachable);
            CHECK(story.all<engine_order>().empty());
            story.ask("later", audit);
            CHECK(story.refused("later") == reason::owner_unreachable);
        }
    }

    SUBCASE("a newer claim ends it while a load is under way") {
        story.report({audit});
        story.allow(licences);
        engine_order const load = story.last<engine_order>();
        REQUIRE(load.kind == engine_order_kind::load);
        story.scheduler().on_authority_lost(story.now());
        story.pass(milliseconds(20));
        CHECK(story.last<report_load>().message.permission == 1);
        CHECK(story.refused("new") == reason::owner_unreachable);
        story.forget();
        story.end_order(load, order_result::done);
        CHECK(story.granted().empty());
    }
}

// In an outage of the log one adapter is not served, though it is resident: it
// was about to be evicted when the owner's authority lapsed.
TEST_CASE("an adapter that was stopped is served on when authority lapses") {
    replica_story story;
    story.take_over(2, milliseconds(2'400));
    story.pass(settled);
    story.report({audit, labels});
    story.ask("a", audit);
    story.ask("l", labels);
    story.ask("new", licences);
    story.pass(milliseconds(520));
    // The one in the least demand, or the first by name, is stopped.
    story.release("a");
    story.ask("a2", audit);
    REQUIRE(story.granted() == names{"a", "l"});
    story.pass(milliseconds(400));
    CHECK(story.granted() == names{"a", "l", "a2"});
}

TEST_CASE("an owner that stops refuses what waits and lets run what runs") {
    replica_story story;
    story.report({audit});
    story.ask("a", audit);
    story.ask("b", audit);
    story.ask("c", audit);
    story.scheduler().stop_granting(story.now());
    story.pass(milliseconds(20));
    CHECK(story.refused("c") == reason::draining);
    story.ask("d", audit);
    CHECK(story.refused("d") == reason::draining);
    owner_table const table = story.scheduler().export_table(story.now());
    CHECK(table.grants.size() == 2);
}

} // namespace camphorpoint::test
