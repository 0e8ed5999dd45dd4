#include "test/replica_control_fixture.hpp"

#include <Camphorpoint/ReplicaControl>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::adapter;
using testing::slot_tracker_fixture;

// Guards against starting more loads at once than the path from the adapter
// store carries: with three loads on each of eighteen replicas and a path that
// carries eight at full speed, all loads take two seconds and every one misses
// its deadline.
TEST_CASE("loads that take longer are commanded one at a time") {
    load_limiter limiter;
    auto const load = [&](milliseconds time) {
        limiter.on_load_started();
        limiter.on_load_finished();
        limiter.record_load(time);
    };
    limiter.on_load_started();
    CHECK(limiter.can_start());
    limiter.on_load_finished();
    load(milliseconds(250));
    for (int each = 0; each < 8; ++each) {
        load(milliseconds(500));
    }
    limiter.on_load_started();
    CHECK_FALSE(limiter.can_start());
    limiter.record_load(milliseconds(260));
    CHECK(limiter.can_start());
    limiter.on_load_finished();

    SUBCASE("uniformly slow loads do not shrink the window") {
        load_limiter slow;
        for (int each = 0; each < 4; ++each) {
            slow.on_load_started();
            slow.on_load_started();
            slow.on_load_finished();
            slow.record_load(milliseconds(900));
            slow.on_load_finished();
        }
        slow.on_load_started();
        slow.on_load_started();
        CHECK(slow.can_start());
        CHECK(slow.typical_duration() == milliseconds(900));
    }
}

// Guards against letting callers of a rare adapter wait two seconds and
// refusing them then: when a request arrives, the controller already knows how
// many loads precede its own.
TEST_CASE("the wait for a load is forecast before a request waits") {
    forecast_input input;
    input.free_slots = 2;
    input.load_duration = milliseconds(250);
    input.release_interval = milliseconds(100);
    SUBCASE("a free slot and no load ahead: the load alone") {
        CHECK(time_to_ready(input) == milliseconds(250));
    }
    SUBCASE("loads ahead share the node's concurrent loads") {
        input.requests_ahead = 1;
        input.duration_ahead = milliseconds(250);
        input.concurrent_loads = 0.5;
        CHECK(time_to_ready(input) == milliseconds(750));
    }
    SUBCASE("no free slot: waits until one is released") {
        input.free_slots = 0;
        CHECK(time_to_ready(input) == milliseconds(350));
        input.load_duration = milliseconds(25);
        CHECK(time_to_ready(input) == milliseconds(125));
    }

    SUBCASE("forecast of the tracker") {
        slot_tracker_fixture fixture;
        fixture.load("a");
        CHECK(
            fixture.tracker.expected_wait(
                adapter("a"), load_priority::demand, fixture.now) ==
            duration::zero());
        duration const fetched = fixture.tracker.expected_wait(
            adapter("b"), load_priority::demand, fixture.now);
        fixture.request(adapter("b"));
        CHECK(
            fixture.tracker.expected_wait(
                adapter("c"), load_priority::demand, fixture.now) > fetched);
        SUBCASE("a prefetch does not delay demand loads") {
            slot_tracker_fixture other;
            other.load("a");
            other.tracker.request_load(
                adapter("b"), load_priority::prefetch, other.now);
            CHECK(
                other.tracker.expected_wait(
                    adapter("c"), load_priority::demand, other.now) == fetched);
        }
    }
}

// Guards against a cached adapter waiting behind loads from the store: on a
// replica whose six adapters change often, each return of a cached adapter
// waited for three slower loads.
TEST_CASE("cached adapters load before those from the store") {
    slot_tracker_fixture fixture;
    for (std::string const name : {"a", "b", "c"}) {
        fixture.load(name);
        fixture.advance(milliseconds(500));
    }
    fixture.request(adapter("d"));
    auto const first_out =
        fixture.expect_command(replica_command_kind::unload_adapter, "a");
    fixture.tracker.on_result(
        first_out, command_result::already_done, fixture.now);
    fixture.load("d");
    fixture.advance(milliseconds(500));
    fixture.request(adapter("new"));
    fixture.request(adapter("a"));
    auto const out = fixture.tracker.next_command(fixture.now);
    REQUIRE(out);
    CHECK(out->kind == replica_command_kind::unload_adapter);
    fixture.tracker.on_result(*out, command_result::already_done, fixture.now);
    fixture.expect_command(replica_command_kind::load_adapter, "a");
    CHECK(
        fixture.tracker.expected_wait(
            adapter("a"), load_priority::demand, fixture.now) <
        fixture.tracker.expected_wait(
            adapter("new"), load_priority::demand, fixture.now));
}

// Guards against refusing every caller of an adapter that is not resident
// although slots and the path from the store are free. A lease holder is
// suspended during a load, or a command is carried out late, so that the load
// seems to take twenty seconds; if the forecast then prevents all loads, no
// shorter duration is ever measured.
TEST_CASE("no request is refused while a load can start at once") {
    for (int const load_ms : {50, 250, 420, 1'000, 4'000}) {
        for (unsigned const slots : {2U, 6U, 32U}) {
            CAPTURE(load_ms);
            CAPTURE(slots);
            slot_tracker_fixture fixture(slots);
            auto const free_now = [&](std::string const& name) {
                return !fixture.tracker.refused_wait(
                    adapter(name), load_priority::demand, milliseconds(750),
                    fixture.now);
            };
            CHECK(free_now("a"));
            for (int each = 0; each < 20; ++each) {
                fixture.limiter->on_load_started();
                fixture.limiter->record_load(milliseconds(load_ms));
                fixture.limiter->on_load_finished();
            }
            CHECK(free_now("b"));
            fixture.limiter->record_load(seconds(20));
            CHECK(free_now("c"));

            SUBCASE("one such load does not lengthen later forecasts") {
                CHECK(
                    fixture.tracker.expected_wait(
                        adapter("c"), load_priority::demand, fixture.now) <=
                    milliseconds(2 * load_ms));
            }
            SUBCASE("a request behind too many others is refused") {
                for (int each = 0; each < 40; ++each) {
                    fixture.request(adapter("w" + std::to_string(each)));
                }
                auto const wait = fixture.tracker.refused_wait(
                    adapter("d"), load_priority::demand, milliseconds(750),
                    fixture.now);
                REQUIRE(wait);
                CHECK(*wait > milliseconds(750));
            }
        }
    }
}

// Guards against adapters that are taken for slow to load because their replica
// was silent: its controller checks later loads too late and refuses requests.
TEST_CASE("a silence of the replica during a load lengthens no later one") {
    slot_tracker_fixture fixture;
    auto const first_check = [&] {
        return fixture.limiter->first_check_delay();
    };
    auto const check = [&](std::string const& name, command_result result) {
        auto const command =
            fixture.expect_command(replica_command_kind::load_adapter, name);
        fixture.tracker.on_result(command, result, fixture.now);
    };
    auto const load_in_silence = [&](std::string const& name, int checks) {
        fixture.request(adapter(name));
        check(name, command_result::accepted);
        fixture.advance(milliseconds(300));
        for (int each = 0; each < checks; ++each) {
            fixture.advance(milliseconds(200));
            check(name, command_result::no_answer);
            fixture.advance(milliseconds(15));
        }
        check(name, command_result::already_done);
        REQUIRE(fixture.tracker.ready(adapter(name)));
    };
    SUBCASE("the first load of a node") {
        duration const before = first_check();
        load_in_silence("a", 5);
        CHECK(first_check() == before);
    }
    SUBCASE("a later load") {
        fixture.load("a");
        duration const before = fixture.limiter->typical_duration();
        load_in_silence("b", 5);
        CHECK(fixture.limiter->typical_duration() == before);
        SUBCASE("nor does it reduce the loads at a time") {
            fixture.limiter->on_load_started();
            CHECK(fixture.limiter->can_start());
        }
    }
    SUBCASE("a check that is lost is no silence") {
        load_in_silence("a", 1);
        CHECK(
            fixture.limiter->typical_duration() ==
            milliseconds(300 + 200 + 15));
    }
}

// Guards against a load window that stays too small: a node loses control of a
// replica during a load and never counts that load as ended.
TEST_CASE("a destroyed tracker ends its loads in the limiter") {
    auto const limiter = std::make_shared<load_limiter>();
    instant const now = instant() + seconds(100);
    replica_report report;
    report.models = {model_id("m")};
    for (int round = 0; round < 5; ++round) {
        slot_tracker tracker({3}, limiter);
        tracker.apply_report(report, now);
        tracker.request_load(adapter("a"), load_priority::demand, now);
        auto const command = tracker.next_command(now);
        REQUIRE(command);
        tracker.on_result(*command, command_result::accepted, now);
    }
    CHECK(limiter->can_start());
    SUBCASE("also one that outlives the node's other services") {
        std::weak_ptr<load_limiter> const watched = limiter;
        slot_tracker last({3}, limiter);
        CHECK(watched.use_count() == 2);
    }
}

} // namespace camphorpoint
