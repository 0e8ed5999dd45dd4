#include "scheduling_fixture.hpp"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>

#include <sstream>

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");
adapter_ref const licences = adapter("licences");

constexpr milliseconds grants_expired{1'600};

} // namespace

// A stream is cut under its caller: its owner died, and the successor, who
// knows nothing of the request, evicted the adapter that it runs on.
TEST_CASE("a new owner takes adapters as in use until it knows") {
    scheduler_fixture fixture;
    fixture.report({audit, labels});
    fixture.request_grant("new", licences);
    fixture.advance(milliseconds(200));

    SUBCASE("a report from within the old grants' time confirms nothing") {
        CHECK(fixture.all<send_load_request>().empty());
        fixture.report({audit, labels});
        CHECK(fixture.all<send_load_request>().empty());

        SUBCASE("a later one does, for what it says is idle") {
            fixture.advance(grants_expired);
            fixture.clear_actions();
            fixture.report({audit, labels}, {audit});
            fixture.permit_load(licences);
            CHECK(fixture.last<engine_order>().adapter == labels);
        }
    }

    SUBCASE("what the engine runs beyond its grants takes up the batch") {
        fixture.report({audit, labels}, {audit, labels});
        fixture.request_grant("a", audit);
        CHECK(fixture.granted().empty());
        fixture.report({audit, labels});
        CHECK(fixture.granted() == names{"a"});
    }

    SUBCASE("heartbeats tell what runs") {
        fixture.heartbeat({fixture.grant_entry("old", audit, true)}, "n2");
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
        fixture.heartbeat({fixture.grant_entry("lost", audit, false)}, "n3");
        CHECK(fixture.refused("lost") == reason::owner_unreachable);
    }

    SUBCASE("the former owner's table tells it at once") {
        scheduler_fixture former;
        former.report({audit, labels});
        former.request_grant("old", audit);
        former.scheduler().stop_granting(former.now());
        owner_table table = former.scheduler().export_table(former.now());
        std::stringstream wire;
        cereal::BinaryOutputArchive{wire}(table);
        owner_table received;
        cereal::BinaryInputArchive{wire}(received);
        fixture.scheduler().import_table(received, fixture.now());
        fixture.report({audit, labels});
        fixture.advance(milliseconds(20));
        fixture.permit_load(licences);
        REQUIRE(fixture.commands(engine_order_kind::evict).size() == 1);
        CHECK(fixture.last<engine_order>().adapter == labels);
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    }

    SUBCASE("without any word the longest request's time has to pass") {
        scheduler_fixture other;
        other.report({audit, labels}, {audit, labels});
        other.advance(seconds(119));
        other.request_grant("new", licences);
        other.advance(milliseconds(400));
        CHECK(other.all<send_load_request>().empty());
        other.advance(seconds(4));
        CHECK_FALSE(other.all<send_load_request>().empty());
    }
}

// An engine runs fewer and fewer requests at once over the hours: some releases
// were lost, and the owner counts their grants for good.
TEST_CASE("a lost release is repaired by the heartbeat") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);
    fixture.request_grant("c", audit);
    fixture.heartbeat(
        {fixture.grant_entry("b", audit, true),
         fixture.grant_entry("c", audit, false)});
    CHECK(fixture.granted() == names{"a", "b", "c"});

    SUBCASE("other nodes' grants are left alone") {
        fixture.heartbeat({}, "n2");
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 2);
    }

    SUBCASE("a grant that was never used ends with its time") {
        fixture.advance(grants_expired);
        fixture.heartbeat(
            {fixture.grant_entry("b", audit, true),
             fixture.grant_entry("c", audit, false)});
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    }
}

// An entry node dies, and its requests run on in the engine for a while. Either
// their adapter is evicted under them, or their places are never used again.
TEST_CASE("a dead entry node's grants run until the engine says otherwise") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.advance(seconds(8));
    CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    fixture.report({audit}, {audit});
    fixture.advance(seconds(1));
    CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);

    SUBCASE("by a report") {
        fixture.report({audit});
        fixture.advance(seconds(1));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 0);
    }

    SUBCASE("by the longest request's time") {
        fixture.advance(seconds(112));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 0);
    }
}

// Two nodes order one engine about, and an adapter vanishes under a request.
// One of them was paused past its authority and woke up believing in it.
TEST_CASE("an owner without authority orders nothing") {
    scheduler_fixture fixture;
    fixture.take_ownership(2, milliseconds(2'000));
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.request_grant("new", licences);
    REQUIRE(fixture.all<send_load_request>().size() == 1);

    SUBCASE("its authority lapsed between permission and order") {
        fixture.advance(milliseconds(400));
        fixture.permit_load(licences);
        CHECK(fixture.all<engine_order>().empty());

        SUBCASE("residents are served on, as in an outage of the log") {
            fixture.request_grant("a", audit);
            CHECK(fixture.granted() == names{"a"});
        }
    }

    SUBCASE("orders bear the claim and end with the authority") {
        fixture.permit_load(licences);
        engine_order const evict = fixture.last<engine_order>();
        CHECK(evict.fencing == log_offset{2});
        CHECK(evict.not_after <= fixture.now() + milliseconds(400));

        // The engine has seen a newer owner's number.
        SUBCASE("one that is refused for its fencing number ends all") {
            fixture.request_grant("waits", licences);
            fixture.clear_actions();
            fixture.complete_command(evict, order_result::refused_fencing);
            CHECK(fixture.refused("waits") == reason::owner_unreachable);
            CHECK(fixture.all<engine_order>().empty());
            fixture.request_grant("later", audit);
            CHECK(fixture.refused("later") == reason::owner_unreachable);
        }
    }

    SUBCASE("a newer claim ends it while a load is under way") {
        fixture.report({audit});
        fixture.permit_load(licences);
        engine_order const load = fixture.last<engine_order>();
        REQUIRE(load.kind == engine_order_kind::load);
        fixture.scheduler().on_authority_lost(fixture.now());
        fixture.advance(milliseconds(20));
        CHECK(fixture.last<send_load_result>().message.permission == 1);
        CHECK(fixture.refused("new") == reason::owner_unreachable);
        fixture.clear_actions();
        fixture.complete_command(load, order_result::done);
        CHECK(fixture.granted().empty());
    }
}

// In an outage of the log one adapter is not served, though it is resident: it
// was about to be evicted when the owner's authority lapsed.
TEST_CASE("an adapter that was stopped is served on when authority lapses") {
    scheduler_fixture fixture;
    fixture.take_ownership(2, milliseconds(2'400));
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.request_grant("a", audit);
    fixture.request_grant("l", labels);
    fixture.request_grant("new", licences);
    fixture.advance(milliseconds(520));
    // The one in the least demand, or the first by name, is stopped.
    fixture.release("a");
    fixture.request_grant("a2", audit);
    REQUIRE(fixture.granted() == names{"a", "l"});
    fixture.advance(milliseconds(400));
    CHECK(fixture.granted() == names{"a", "l", "a2"});
}

TEST_CASE("an owner that stops refuses what waits and lets run what runs") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.request_grant("b", audit);
    fixture.request_grant("c", audit);
    fixture.scheduler().stop_granting(fixture.now());
    fixture.advance(milliseconds(20));
    CHECK(fixture.refused("c") == reason::draining);
    fixture.request_grant("d", audit);
    CHECK(fixture.refused("d") == reason::draining);
    owner_table const table = fixture.scheduler().export_table(fixture.now());
    CHECK(table.grants.size() == 2);
}

} // namespace camphorpoint::test
