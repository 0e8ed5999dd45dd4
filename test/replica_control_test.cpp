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

TEST_CASE("a load is ordered, and seen to have come") {
    slot_tracker_fixture fixture;
    fixture.request(adapter("a"));
    auto const command =
        fixture.expect_command(replica_command_kind::load_adapter, "a");
    CHECK(command.expected_count == 0);
    fixture.tracker.on_result(command, command_result::accepted, fixture.now);
    CHECK_FALSE(fixture.tracker.ready(adapter("a")));
    CHECK_FALSE(fixture.tracker.next_command(fixture.now));

    SUBCASE("the same order is given again until it holds") {
        fixture.advance(milliseconds(300));
        auto const again =
            fixture.expect_command(replica_command_kind::load_adapter, "a");
        CHECK(again.expected_count == 1);
        fixture.tracker.on_result(again, command_result::accepted, fixture.now);
        CHECK_FALSE(fixture.tracker.ready(adapter("a")));
        fixture.advance(milliseconds(20));
        auto const third =
            fixture.expect_command(replica_command_kind::load_adapter, "a");
        CHECK(third.expected_count == 1);
        fixture.tracker.on_result(
            third, command_result::already_done, fixture.now);
        CHECK(fixture.tracker.ready(adapter("a")));
        auto const changes = fixture.tracker.drain_changes();
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().resident);
    }
}

// All callers of one rack wait for an adapter that never comes. A load of what
// lay there already was counted as an order, the replica had not counted it,
// and every order after it was out of step for good.
TEST_CASE("a load of what lies there is not counted") {
    slot_tracker_fixture fixture;
    fixture.request(adapter("a"));
    auto const command =
        fixture.expect_command(replica_command_kind::load_adapter, "a");
    fixture.tracker.on_result(
        command, command_result::already_done, fixture.now);
    CHECK(fixture.tracker.ready(adapter("a")));
    fixture.request(adapter("b"));
    CHECK(fixture.tracker.next_command(fixture.now)->expected_count == 0);
}

// Guards against refusals after each first report on what was ordered without
// a version: an adapter that has long been there would count as just come, and
// its place as taken for a while.
TEST_CASE("a version that a report names first is no load") {
    slot_tracker_fixture fixture;
    for (std::string const name : {"a", "b", "c"}) {
        fixture.load(name);
        fixture.advance(milliseconds(500));
    }
    int const spare = fixture.tracker.available_slots(fixture.now);
    CHECK(spare == 3);
    fixture.report.sequence = 3;
    fixture.report.adapters = {
        adapter("a", 1), adapter("b", 1), adapter("c", 1)};
    fixture.tracker.require_report();
    fixture.tracker.apply_report(fixture.report, fixture.now);
    CHECK(fixture.tracker.ready(adapter("a", 1)));
    CHECK(fixture.tracker.available_slots(fixture.now) == spare);

    SUBCASE("another than it had is one") {
        fixture.report.adapters.front().version = 2;
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.available_slots(fixture.now) == spare - 1);
    }
}

// A replica has three slots. It is sent a fourth adapter while one is still on
// its way: it crashes, and all that it ran is lost.
TEST_CASE("never more adapters than slots, those under way included") {
    slot_tracker_fixture fixture;
    fixture.load("a");
    fixture.advance(milliseconds(500));
    fixture.load("b");
    fixture.advance(milliseconds(500));
    fixture.request(adapter("c"));
    auto const third =
        fixture.expect_command(replica_command_kind::load_adapter, "c");
    fixture.tracker.on_result(third, command_result::accepted, fixture.now);
    fixture.request(adapter("d"));

    SUBCASE("what was unused for longest goes first") {
        auto const unload =
            fixture.expect_command(replica_command_kind::unload_adapter, "a");
        fixture.tracker.on_result(
            unload, command_result::already_done, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 2);
        fixture.expect_command(replica_command_kind::load_adapter, "d");
    }
    SUBCASE("it is told before the order leaves") {
        fixture.tracker.drain_changes();
        fixture.tracker.next_command(fixture.now);
        auto const changes = fixture.tracker.drain_changes();
        REQUIRE(changes.size() == 1);
        CHECK_FALSE(changes.front().resident);
    }
    SUBCASE("an unload that waits for runs frees nothing yet") {
        auto const unload =
            fixture.expect_command(replica_command_kind::unload_adapter, "a");
        fixture.tracker.on_result(
            unload, command_result::accepted, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 3);
        CHECK_FALSE(fixture.tracker.next_command(fixture.now));
        fixture.advance(milliseconds(20));
        auto const check =
            fixture.expect_command(replica_command_kind::unload_adapter, "a");
        fixture.tracker.on_result(
            check, command_result::already_done, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 2);
    }
}

// A hot adapter gets a new version. Its replica waits for all its runs, takes
// no other order for eight seconds, and refuses what comes for it.
TEST_CASE("what is in use is neither unloaded nor replaced") {
    slot_tracker_fixture fixture;
    for (std::string const name : {"a", "b", "c"}) {
        fixture.load(name);
    }
    for (std::string const name : {"a", "b", "c"}) {
        fixture.tracker.record_use(adapter(name).id, true, fixture.now);
    }

    SUBCASE("no slot is taken from it, until it rests") {
        CHECK_FALSE(
            fixture.tracker.has_capacity_for(adapter("d").id, fixture.now));
        CHECK(fixture.tracker.has_capacity_for(adapter("a").id, fixture.now));
        fixture.request(adapter("d"));
        CHECK_FALSE(fixture.tracker.next_command(fixture.now));
        fixture.advance(milliseconds(550));
        CHECK(fixture.tracker.has_capacity_for(adapter("d").id, fixture.now));
        fixture.request(adapter("d"));
        CHECK(fixture.tracker.next_command(fixture.now));
    }
    SUBCASE("a new version waits, and others go on") {
        fixture.request(adapter("a", 2));
        CHECK_FALSE(fixture.tracker.next_command(fixture.now));
        fixture.advance(milliseconds(550));
        fixture.request(adapter("a", 2));
        auto const command =
            fixture.expect_command(replica_command_kind::load_adapter, "a");
        CHECK(command.adapter.version == 2);
        fixture.tracker.on_result(
            command, command_result::accepted, fixture.now);
        CHECK_FALSE(fixture.tracker.ready(adapter("a", 1)));
        CHECK(fixture.tracker.occupied_slots() == 3);
    }
}

// The store's answer to an order is lost; the order is carried out seconds
// later. With another order in its place, two loads take the last slot.
TEST_CASE("an order without answer is given again, and nothing else") {
    slot_tracker_fixture fixture;
    fixture.request(adapter("a"));
    fixture.request(adapter("b"));
    auto const first = fixture.tracker.next_command(fixture.now);
    REQUIRE(first);
    std::string const name = first->adapter.id.str();

    SUBCASE("the same order with the same number") {
        fixture.tracker.on_result(
            *first, command_result::no_answer, fixture.now);
        auto const again = fixture.tracker.next_command(fixture.now);
        REQUIRE(again);
        CHECK(again->adapter.id.str() == name);
        CHECK(again->kind == first->kind);
        CHECK(again->expected_count == first->expected_count);
        SUBCASE("of the two the replica carries out one") {
            fixture.tracker.on_result(
                *again, command_result::accepted, fixture.now);
            CHECK(fixture.tracker.occupied_slots() == 1);
            auto const next = fixture.tracker.next_command(fixture.now);
            REQUIRE(next);
            CHECK(next->expected_count == first->expected_count + 1);
        }
        SUBCASE("when the first has counted, a report comes before all else") {
            fixture.tracker.on_result(
                *again, command_result::out_of_sequence, fixture.now);
            CHECK_FALSE(fixture.tracker.next_command(fixture.now));
            CHECK(fixture.tracker.report_due(fixture.now));
        }
    }
    SUBCASE("three times, then a report comes first") {
        for (int each = 0; each < 3; ++each) {
            auto const command = fixture.tracker.next_command(fixture.now);
            REQUIRE(command);
            CHECK(command->adapter.id.str() == name);
            fixture.tracker.on_result(
                *command, command_result::no_answer, fixture.now);
        }
        CHECK_FALSE(fixture.tracker.next_command(fixture.now));
        CHECK_FALSE(fixture.tracker.report_due(fixture.now));
        fixture.advance(milliseconds(300));
        CHECK(fixture.tracker.report_due(fixture.now));
    }
}

TEST_CASE("after orders without answer a report shows what counted") {
    slot_tracker_fixture fixture;
    fixture.request(adapter("a"));
    for (int each = 0; each < 3; ++each) {
        auto const command =
            fixture.expect_command(replica_command_kind::load_adapter, "a");
        fixture.tracker.on_result(
            command, command_result::no_answer, fixture.now);
    }
    CHECK_FALSE(fixture.tracker.next_command(fixture.now));
    fixture.advance(milliseconds(300));
    CHECK(fixture.tracker.report_due(fixture.now));

    SUBCASE("it was carried out") {
        fixture.report.sequence = 1;
        fixture.report.pending = {adapter("a", 1)};
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 1);
        fixture.request(adapter("b"));
        auto const next = fixture.tracker.next_command(fixture.now);
        REQUIRE(next);
        CHECK(next->expected_count == 1);
    }
    SUBCASE("it was not: the same number goes out, so that one of the two "
            "counts") {
        fixture.tracker.apply_report(fixture.report, fixture.now);
        fixture.request(adapter("a"));
        CHECK(fixture.tracker.next_command(fixture.now)->expected_count == 0);
    }
    SUBCASE(
        "a report that is older than an accepted order takes nothing back") {
        fixture.tracker.apply_report(fixture.report, fixture.now);
        fixture.request(adapter("a"));
        auto const next = fixture.tracker.next_command(fixture.now);
        fixture.tracker.on_result(*next, command_result::accepted, fixture.now);
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 1);
    }
}

// Of eight slots one or two were held by adapters whose last request had ended
// half a second ago, and requests for others were turned away.
TEST_CASE("a slot is free soon after its last use") {
    slot_tracker_fixture fixture;
    for (std::string const name : {"a", "b", "c"}) {
        fixture.load(name);
    }
    fixture.advance(milliseconds(1'000));
    for (std::string const name : {"a", "b", "c"}) {
        fixture.tracker.record_use(adapter(name).id, true, fixture.now);
    }
    CHECK_FALSE(fixture.tracker.has_capacity_for(adapter("d").id, fixture.now));
    fixture.tracker.record_use(adapter("b").id, false, fixture.now);
    fixture.advance(milliseconds(50));
    CHECK_FALSE(fixture.tracker.has_capacity_for(adapter("d").id, fixture.now));
    fixture.advance(milliseconds(60));
    CHECK(fixture.tracker.has_capacity_for(adapter("d").id, fixture.now));
    fixture.request(adapter("d"));
    fixture.expect_command(replica_command_kind::unload_adapter, "b");
}

TEST_CASE("an empty replica loads its base model first") {
    slot_tracker tracker({3}, std::make_shared<load_limiter>());
    instant now = instant() + seconds(100);
    CHECK(tracker.report_due(now));
    tracker.apply_report({}, now);
    tracker.request_load(adapter("a"), load_priority::demand, now);
    CHECK_FALSE(tracker.next_command(now));
    tracker.set_base_model(model_id("m"));
    auto const command = tracker.next_command(now);
    REQUIRE(command);
    CHECK(command->kind == replica_command_kind::load_model);
    tracker.on_result(*command, command_result::accepted, now);
    CHECK_FALSE(tracker.next_command(now));
    now += milliseconds(700);
    CHECK(tracker.report_due(now));
    replica_report loaded;
    loaded.sequence = 1;
    loaded.models = {model_id("m")};
    tracker.apply_report(loaded, now);
    tracker.request_load(adapter("a"), load_priority::demand, now);
    CHECK(
        tracker.next_command(now)->kind == replica_command_kind::load_adapter);
}

// Rare adapters are asked for at once, and each was promised a time by those
// ahead of it. When later ones go before it, it comes too late for its caller,
// who was not turned away while there was time to go elsewhere.
TEST_CASE("loads come in the order in which they were promised") {
    slot_tracker_fixture fixture;
    fixture.tracker.request_load(
        adapter("copy"), load_priority::prefetch, fixture.now);
    fixture.request(adapter("old"));
    duration const promised = fixture.tracker.expected_wait(
        adapter("old"), load_priority::demand, fixture.now);
    fixture.advance(milliseconds(600));
    fixture.request(adapter("old"));
    fixture.tracker.request_load(
        adapter("copy"), load_priority::prefetch, fixture.now);
    fixture.request(adapter("new"));
    SUBCASE("who asks for what others wait for shares their place") {
        CHECK(
            fixture.tracker.expected_wait(
                adapter("old"), load_priority::demand, fixture.now) ==
            promised);
        CHECK(
            fixture.tracker.expected_wait(
                adapter("new"), load_priority::demand, fixture.now) > promised);
    }
    auto const first =
        fixture.expect_command(replica_command_kind::load_adapter, "old");
    fixture.tracker.on_result(first, command_result::already_done, fixture.now);
    auto const second =
        fixture.expect_command(replica_command_kind::load_adapter, "new");
    fixture.tracker.on_result(
        second, command_result::already_done, fixture.now);
    fixture.expect_command(replica_command_kind::load_adapter, "copy");

    SUBCASE("wants that nobody repeats are dropped") {
        fixture.advance(milliseconds(1'500));
        fixture.tracker.next_command(fixture.now);
        CHECK(fixture.tracker.pending_requests() <= 2);
    }
}

// A replica starts again, empty, under the id that it had, between two orders.
// An account that goes on would take its slots for full, wait for loads that
// nobody carries out, and name a count of orders that is refused for good.
TEST_CASE("the account of a replica that starts again begins anew") {
    slot_tracker_fixture fixture;
    fixture.report.started_at = incarnation(milliseconds(1'000));
    fixture.report.sequence = 0;
    fixture.tracker.apply_report(fixture.report, fixture.now);
    fixture.load("a1");
    fixture.load("a2");
    fixture.request(adapter("a3"));
    replica_command const command =
        fixture.expect_command(replica_command_kind::load_adapter, "a3");
    CHECK(command.expected_count == 2);
    fixture.tracker.on_result(command, command_result::accepted, fixture.now);
    fixture.tracker.drain_changes();

    fixture.report.started_at = incarnation(milliseconds(5'000));
    fixture.report.sequence = 0;
    fixture.advance(milliseconds(50));
    fixture.tracker.require_report();
    REQUIRE(fixture.tracker.report_due(fixture.now));
    fixture.tracker.apply_report(fixture.report, fixture.now);

    SUBCASE("nothing lies there, and all are told") {
        CHECK(fixture.tracker.occupied_slots() == 0);
        CHECK_FALSE(fixture.tracker.ready(adapter("a1")));
        auto const changes = fixture.tracker.drain_changes();
        REQUIRE(changes.size() == 2);
        CHECK_FALSE(changes[0].resident);
        CHECK_FALSE(changes[1].resident);
    }
    SUBCASE("who waits still waits, and orders count from the beginning") {
        auto const again =
            fixture.expect_command(replica_command_kind::load_adapter, "a3");
        CHECK(again.expected_count == 0);
    }
    SUBCASE(
        "an order that the earlier one left unanswered is not given again") {
        slot_tracker_fixture other;
        other.report.started_at = incarnation(milliseconds(1'000));
        other.tracker.apply_report(other.report, other.now);
        other.request(adapter("b1"));
        replica_command const lost =
            other.expect_command(replica_command_kind::load_adapter, "b1");
        other.tracker.on_result(lost, command_result::no_answer, other.now);
        other.report.started_at = incarnation(milliseconds(5'000));
        other.tracker.require_report();
        other.tracker.apply_report(other.report, other.now);
        other.request(adapter("b2"));
        auto const next = other.tracker.next_command(other.now);
        REQUIRE(next);
        CHECK(next->expected_count == 0);
    }
    SUBCASE("a late report of the earlier one does not bring its slots back") {
        replica_report late = fixture.report;
        late.started_at = incarnation(milliseconds(1'000));
        late.adapters = {adapter("a1", 1), adapter("a2", 1)};
        late.sequence = 2;
        fixture.tracker.apply_report(late, fixture.now);
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 0);
    }
}

TEST_CASE("leases on partitions") {
    lease_times times;
    partition_leases leases(times);
    instant const start = instant() + seconds(100);
    auto const fresh = leases.on_renewal_granted(start, 1, {4, 5}, start);
    CHECK(fresh.size() == 2);
    leases.set_token(4, 17);
    instant const settled = start + times.settling;

    SUBCASE("orders go out with the fencing number, once settled") {
        CHECK_FALSE(leases.token(4, start));
        CHECK(leases.token(4, settled) == 17);
        CHECK_FALSE(leases.token(5, settled));
        CHECK(leases.partitions_without_token().size() == 1);
    }
    SUBCASE("a partition that is taken away is not ordered for any more") {
        leases.on_renewal_granted(settled, 2, {5}, settled);
        CHECK_FALSE(leases.token(4, settled));
    }

    // A holder is suspended for seven seconds. Another has taken its replicas
    // over; it wakes, still believes that it holds them, and orders.
    SUBCASE("a holder that wakes after its lease orders nothing") {
        instant const woken = start + seconds(7);
        CHECK_FALSE(leases.token(4, woken));
        SUBCASE("also when its next renewal fails") {
            leases.on_renewal_failed(woken);
            CHECK_FALSE(leases.token(4, woken));
        }
        SUBCASE("and after a renewal it needs a new fencing number") {
            auto const again =
                leases.on_renewal_granted(woken, 3, {4, 5}, woken);
            CHECK(again.size() == 2);
            CHECK_FALSE(leases.token(4, woken + seconds(1)));
        }
    }

    // It is suspended between its look at the lease and the first byte of the
    // order, while it connects. The order leaves when another orders there.
    SUBCASE("the lease's end goes with the order to its first byte") {
        for (int step = 1; step <= 30; ++step) {
            instant const at = settled + step * milliseconds(100);
            CHECK(
                leases.token(4, at).has_value() == (at < leases.expires_at()));
        }
        CHECK(leases.expires_at() == start + times.lease);
        leases.on_renewal_failed(start + seconds(1));
        CHECK(leases.expires_at() == start + seconds(1) + times.lease);
        for (int step = 2; step <= 30; ++step) {
            leases.on_renewal_failed(start + step * seconds(1));
        }
        CHECK(leases.expires_at() <= start + times.outage_extension);
    }

    // The store is down for eight seconds. Nobody can take anything over, yet
    // all holders stop, and no adapter is loaded until it is back.
    SUBCASE("an outage that began within the lease is bridged") {
        for (int step = 1; step <= 10; ++step) {
            leases.on_renewal_failed(start + step * milliseconds(600));
        }
        CHECK(leases.token(4, start + seconds(6)) == 17);
        SUBCASE("but not for ever") {
            CHECK_FALSE(leases.token(4, start + seconds(20)));
        }
    }
    SUBCASE("where replicas check no fencing number it is not") {
        times.replicas_check_fencing = false;
        partition_leases strict(times);
        strict.on_renewal_granted(start, 1, {4}, start);
        strict.set_token(4, 17);
        strict.on_renewal_failed(start + seconds(1));
        strict.on_renewal_failed(start + seconds(2));
        CHECK_FALSE(strict.token(4, start + milliseconds(2'100)));
    }

    // The store comes back from an older copy and gives the place of a claim
    // out again. Two holders with one number are both believed by replicas.
    SUBCASE("after the store has gone back each claim is made again") {
        constexpr store_epoch next{1};
        leases.on_store_rollback(next);
        CHECK(leases.token(4, settled) == 17);
        CHECK(leases.partitions_without_token().size() == 2);
        CHECK(leases.set_token(4, fencing_number({next, 3})));
        CHECK(leases.partitions_without_token().size() == 1);
        CHECK(leases.token(4, settled) > 17);
        SUBCASE("and one of the era before overtakes nobody") {
            leases.on_higher_token(4, fencing_number({store_epoch{}, 90'000}));
            CHECK(leases.token(4, settled));
        }
    }
    // A holder that claims anew would else take all adapters for used just now.
    SUBCASE("no other can have ordered since the partition was given") {
        constexpr store_epoch next{1};
        auto const since = leases.exclusive_since(4);
        REQUIRE(since);
        CHECK_FALSE(leases.exclusive_since(95));
        leases.on_store_rollback(next);
        SUBCASE("also in a new era, where the lease goes on") {
            leases.on_renewal_granted(settled, 1, {4, 5}, settled);
            CHECK(leases.exclusive_since(4) == since);
        }
        SUBCASE("but once it was over the store may have given it to another") {
            instant const later = settled + times.lease;
            leases.on_renewal_granted(later, 1, {4, 5}, later);
            CHECK(leases.exclusive_since(4) == later);
        }
        SUBCASE("also where an outage was bridged") {
            for (int step = 1; step <= 6; ++step) {
                leases.on_renewal_failed(start + step * milliseconds(600));
            }
            instant const later = start + milliseconds(4'000);
            leases.on_renewal_granted(later, 1, {4, 5}, later);
            CHECK(leases.token(4, later) == 17);
            CHECK(leases.exclusive_since(4) == later);
        }
        SUBCASE("nor when another has shown a higher number") {
            leases.on_higher_token(4, fencing_number({next, 9}));
            CHECK_FALSE(leases.exclusive_since(4));
        }
    }
    SUBCASE("a number that another has shown is not taken, but had again") {
        leases.on_higher_token(6, 20);
        leases.on_renewal_granted(settled, 2, {4, 5, 6}, settled);
        CHECK_FALSE(leases.set_token(6, 20));
        CHECK_FALSE(leases.token(6, settled + times.settling));
        CHECK(leases.set_token(6, 21));
        CHECK(leases.token(6, settled + times.settling) == 21);
    }

    // The store deals all partitions out anew without a word. Two nodes would
    // order until the old holder's next renewal.
    SUBCASE("a higher number seen elsewhere ends the holding") {
        leases.on_higher_token(4, 16);
        CHECK(leases.token(4, settled) == 17);
        leases.on_higher_token(4, 18);
        CHECK_FALSE(leases.token(4, settled));
    }
}

// Guards against a holder that looks at its partitions at its renewals only:
// requests waited up to half a second more for the first loads.
TEST_CASE("a holder knows when its partitions have settled") {
    constexpr instant begin{std::chrono::hours(1)};
    lease_times const times;
    partition_leases leases(times);
    CHECK(leases.next_settling_end(begin) == instant::max());
    leases.on_renewal_granted(begin, 1, {3}, begin);
    instant const settled = begin + times.settling;
    CHECK(leases.next_settling_end(begin) == settled);
    CHECK(leases.next_settling_end(settled) == instant::max());
    leases.on_renewal_granted(settled, 2, {3, 4}, settled);
    CHECK(leases.next_settling_end(settled) == settled + times.settling);
}

} // namespace camphorpoint
