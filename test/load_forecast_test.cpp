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

// Eighteen replicas load three adapters each at the same time. The way from the
// store carries eight at full speed: all come after two seconds, none in time.
TEST_CASE("loads that take longer are ordered one at a time") {
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

    SUBCASE("also where each load takes longer than elsewhere") {
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

// Callers of a rare adapter wait two seconds for its load, and are refused
// then. Whoever orders knew at their coming how many loads go before theirs.
TEST_CASE("how long a load will take is told before anybody waits") {
    forecast_input input;
    input.free_slots = 2;
    input.load_duration = milliseconds(250);
    input.release_interval = milliseconds(100);
    SUBCASE("a free slot and nobody ahead: the load alone") {
        CHECK(time_to_ready(input) == milliseconds(250));
    }
    SUBCASE("loads ahead share what the node has under way at once") {
        input.requests_ahead = 1;
        input.duration_ahead = milliseconds(250);
        input.concurrent_loads = 0.5;
        CHECK(time_to_ready(input) == milliseconds(750));
    }
    SUBCASE("no slot: it waits for one to come free") {
        input.free_slots = 0;
        CHECK(time_to_ready(input) == milliseconds(350));
        input.load_duration = milliseconds(25);
        CHECK(time_to_ready(input) == milliseconds(125));
    }

    SUBCASE("by the account: resident, kept, never seen") {
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
        SUBCASE("what is wanted ahead holds nobody up") {
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

// A replica's six adapters come and go. Each return of one that it still keeps
// in memory waits behind three that come from the store.
TEST_CASE("what a replica keeps in memory comes back before the store's") {
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

// A holder is suspended while a load is under way, or the order is carried out
// late: the load seems to have taken twenty seconds. From then on every caller
// of an adapter that lies nowhere is refused, though slots and the way are
// free: no load comes any more that would show how long loads take.
TEST_CASE("nobody is turned away while a slot and the way are free") {
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

            SUBCASE("and one such load does not make the next ones late") {
                CHECK(
                    fixture.tracker.expected_wait(
                        adapter("c"), load_priority::demand, fixture.now) <=
                    milliseconds(2 * load_ms));
            }
            SUBCASE("but behind others that come too late it is said so") {
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

// A node stops ordering for a replica while a load is under way there. Its
// window stays narrower by that load, for good.
TEST_CASE("an account that goes takes its loads off the window") {
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
