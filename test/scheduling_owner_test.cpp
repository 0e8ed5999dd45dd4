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

// Guards against aborted streams after a takeover: the owner crashes, and its
// successor, which does not know about a running request, evicts the adapter
// that the request uses.
TEST_CASE(
    "a new owner treats adapters as in use until a report proves otherwise") {
    scheduler_fixture fixture;
    fixture.report({audit, labels});
    fixture.request_grant("new", licences);
    fixture.advance(milliseconds(200));

    SUBCASE("a report measured while old grants are usable proves nothing") {
        CHECK(fixture.all<send_load_request>().empty());
        fixture.report({audit, labels});
        CHECK(fixture.all<send_load_request>().empty());

        SUBCASE("a later report proves which adapters are idle") {
            fixture.advance(grants_expired);
            fixture.clear_actions();
            fixture.report({audit, labels}, {audit});
            fixture.permit_load(licences);
            CHECK(fixture.last<engine_order>().adapter == labels);
        }
    }

    SUBCASE("running requests without a grant occupy the batch") {
        fixture.report({audit, labels}, {audit, labels});
        fixture.request_grant("a", audit);
        CHECK(fixture.granted().empty());
        fixture.report({audit, labels});
        CHECK(fixture.granted() == names{"a"});
    }

    SUBCASE("heartbeats show which requests are running") {
        fixture.heartbeat({fixture.grant_entry("old", audit, true)}, "n2");
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
        fixture.heartbeat({fixture.grant_entry("lost", audit, false)}, "n3");
        CHECK(fixture.refused("lost") == reason::owner_unreachable);
    }

    SUBCASE("the table of the former owner shows it at once") {
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

    SUBCASE("without a report the longest request time has to pass") {
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

// Guards against a slow loss of batch capacity: release messages are lost, and
// the owner counts their grants forever.
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

    SUBCASE("grants of other nodes are unaffected") {
        fixture.heartbeat({}, "n2");
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 2);
    }

    SUBCASE("a grant that was never used expires") {
        fixture.advance(grants_expired);
        fixture.heartbeat(
            {fixture.grant_entry("b", audit, true),
             fixture.grant_entry("c", audit, false)});
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    }
}

// Requests of a crashed entry node keep running in the engine for a while.
// Guards against evicting their adapter while they run, and against never
// reusing their slots of the batch.
TEST_CASE("grants of a crashed entry node last until the engine is idle") {
    scheduler_fixture fixture;
    fixture.report({audit});
    fixture.request_grant("a", audit);
    fixture.advance(seconds(8));
    CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);
    fixture.report({audit}, {audit});
    fixture.advance(seconds(1));
    CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 1);

    SUBCASE("a report shows the adapter as idle") {
        fixture.report({audit});
        fixture.advance(seconds(1));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 0);
    }

    SUBCASE("the longest request time has passed") {
        fixture.advance(seconds(112));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 0);
    }
}

// Guards against two nodes that command the same engine, so that an adapter is
// evicted while a request uses it. The cause is an owner that was paused beyond
// the end of its authority and resumes without noticing.
TEST_CASE("an owner without authority sends no commands") {
    scheduler_fixture fixture;
    fixture.take_ownership(2, milliseconds(2'000));
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.request_grant("new", licences);
    REQUIRE(fixture.all<send_load_request>().size() == 1);

    SUBCASE("the authority expires between permission and command") {
        fixture.advance(milliseconds(400));
        fixture.permit_load(licences);
        CHECK(fixture.all<engine_order>().empty());

        SUBCASE(
            "resident adapters are still served, as in an outage of the log") {
            fixture.request_grant("a", audit);
            CHECK(fixture.granted() == names{"a"});
        }
    }

    SUBCASE("commands carry the fencing number and expire with the authority") {
        fixture.permit_load(licences);
        engine_order const evict = fixture.last<engine_order>();
        CHECK(evict.fencing == log_offset{2});
        CHECK(evict.not_after <= fixture.now() + milliseconds(400));

        // The engine has seen the fencing number of a newer owner.
        SUBCASE("a command refused for its fencing number ends the ownership") {
            fixture.request_grant("waits", licences);
            fixture.clear_actions();
            fixture.complete_command(evict, order_result::refused_fencing);
            CHECK(fixture.refused("waits") == reason::owner_unreachable);
            CHECK(fixture.all<engine_order>().empty());
            fixture.request_grant("later", audit);
            CHECK(fixture.refused("later") == reason::owner_unreachable);
        }
    }

    SUBCASE("a newer claim ends the ownership during a load") {
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

// Guards against a resident adapter that is not served during an outage of the
// log: it was draining for its eviction when the authority of the owner
// expired.
TEST_CASE("a draining adapter is served again when the authority expires") {
    scheduler_fixture fixture;
    fixture.take_ownership(2, milliseconds(2'400));
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.request_grant("a", audit);
    fixture.request_grant("l", labels);
    fixture.request_grant("new", licences);
    fixture.advance(milliseconds(520));
    // The adapter with the lowest demand, or the first by name, is drained.
    fixture.release("a");
    fixture.request_grant("a2", audit);
    REQUIRE(fixture.granted() == names{"a", "l"});
    fixture.advance(milliseconds(400));
    CHECK(fixture.granted() == names{"a", "l", "a2"});
}

TEST_CASE("a stopping owner refuses queued requests and keeps running ones") {
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
