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

TEST_CASE("a load is commanded and confirmed") {
    slot_tracker_fixture fixture;
    fixture.request(adapter("a"));
    auto const command =
        fixture.expect_command(replica_command_kind::load_adapter, "a");
    CHECK(command.expected_count == 0);
    fixture.tracker.on_result(command, command_result::accepted, fixture.now);
    CHECK_FALSE(fixture.tracker.ready(adapter("a")));
    CHECK_FALSE(fixture.tracker.next_command(fixture.now));

    SUBCASE("the same command is repeated until the load is done") {
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

// Guards against callers that wait for an adapter which never loads: the
// tracker counted a load of a resident adapter as an accepted command, the
// replica did not, and every later command was out of sequence.
TEST_CASE("a load of a resident adapter is not counted as a command") {
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

// Guards against refusals after the first report on adapters that were loaded
// without a version: adapters resident for a long time would count as newly
// loaded, and their slots as blocked for the cooldown.
TEST_CASE("a version first named by a report is not a new load") {
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

    SUBCASE("a version other than the known one is a new load") {
        fixture.report.adapters.front().version = 2;
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.available_slots(fixture.now) == spare - 1);
    }
}

// Guards against crashing a replica with three slots by loading a fourth
// adapter while another one is still loading; all its attempts would be lost.
TEST_CASE("resident and loading adapters never exceed the slots") {
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

    SUBCASE("the least recently used adapter is evicted first") {
        auto const unload =
            fixture.expect_command(replica_command_kind::unload_adapter, "a");
        fixture.tracker.on_result(
            unload, command_result::already_done, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 2);
        fixture.expect_command(replica_command_kind::load_adapter, "d");
    }
    SUBCASE("the eviction is reported before the command is sent") {
        fixture.tracker.drain_changes();
        fixture.tracker.next_command(fixture.now);
        auto const changes = fixture.tracker.drain_changes();
        REQUIRE(changes.size() == 1);
        CHECK_FALSE(changes.front().resident);
    }
    SUBCASE("an unload that waits for attempts frees no slot yet") {
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

// Guards against blocking a replica by replacing an adapter in use: the replica
// waits for all attempts that use it, accepts no other command for eight
// seconds and refuses requests for the new version.
TEST_CASE("an adapter in use is neither unloaded nor replaced") {
    slot_tracker_fixture fixture;
    for (std::string const name : {"a", "b", "c"}) {
        fixture.load(name);
    }
    for (std::string const name : {"a", "b", "c"}) {
        fixture.tracker.record_use(adapter(name).id, true, fixture.now);
    }

    SUBCASE("its slot is not freed until it is idle") {
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
    SUBCASE("a new version waits until the adapter is idle") {
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

// Guards against two loads into the last slot: a command's answer is lost,
// another command is sent in its place, and the first one is carried out
// seconds later.
TEST_CASE("a command without an answer is repeated before any other") {
    slot_tracker_fixture fixture;
    fixture.request(adapter("a"));
    fixture.request(adapter("b"));
    auto const first = fixture.tracker.next_command(fixture.now);
    REQUIRE(first);
    std::string const name = first->adapter.id.str();

    SUBCASE("the same command with the same expected count") {
        fixture.tracker.on_result(
            *first, command_result::no_answer, fixture.now);
        auto const again = fixture.tracker.next_command(fixture.now);
        REQUIRE(again);
        CHECK(again->adapter.id.str() == name);
        CHECK(again->kind == first->kind);
        CHECK(again->expected_count == first->expected_count);
        SUBCASE("the replica carries out one of the two") {
            fixture.tracker.on_result(
                *again, command_result::accepted, fixture.now);
            CHECK(fixture.tracker.occupied_slots() == 1);
            auto const next = fixture.tracker.next_command(fixture.now);
            REQUIRE(next);
            CHECK(next->expected_count == first->expected_count + 1);
        }
        SUBCASE("when the first took effect, a report is read first") {
            fixture.tracker.on_result(
                *again, command_result::out_of_sequence, fixture.now);
            CHECK_FALSE(fixture.tracker.next_command(fixture.now));
            CHECK(fixture.tracker.report_due(fixture.now));
        }
    }
    SUBCASE("after three attempts a report is read first") {
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

TEST_CASE("after commands without an answer a report shows their effect") {
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

    SUBCASE("the command was carried out") {
        fixture.report.sequence = 1;
        fixture.report.pending = {adapter("a", 1)};
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 1);
        fixture.request(adapter("b"));
        auto const next = fixture.tracker.next_command(fixture.now);
        REQUIRE(next);
        CHECK(next->expected_count == 1);
    }
    SUBCASE("the command was not carried out: it is repeated with the same "
            "count, so that only one takes effect") {
        fixture.tracker.apply_report(fixture.report, fixture.now);
        fixture.request(adapter("a"));
        CHECK(fixture.tracker.next_command(fixture.now)->expected_count == 0);
    }
    SUBCASE("a report older than an accepted command reverts nothing") {
        fixture.tracker.apply_report(fixture.report, fixture.now);
        fixture.request(adapter("a"));
        auto const next = fixture.tracker.next_command(fixture.now);
        fixture.tracker.on_result(*next, command_result::accepted, fixture.now);
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 1);
    }
}

// Guards against refusing requests because one or two of eight slots are
// blocked by adapters whose last request ended half a second ago.
TEST_CASE("a slot is available soon after its last use") {
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

// Guards against overtaking: the expected wait of a load counts only the
// requests ahead of it. If later requests went first, the adapter would come
// too late for a caller that was not refused while it could still go elsewhere.
TEST_CASE("loads are commanded in the order of the forecasts") {
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
    SUBCASE("a request for a requested adapter shares its position") {
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

    SUBCASE("load requests that are not repeated are dropped") {
        fixture.advance(milliseconds(1'500));
        fixture.tracker.next_command(fixture.now);
        CHECK(fixture.tracker.pending_requests() <= 2);
    }
}

// Guards against keeping state over a restart: a replica restarts, empty, under
// the same id. The tracker would count its slots as occupied, wait for loads
// that no process carries out, and send a count of commands that the replica
// refuses for ever.
TEST_CASE("the tracker of a restarted replica resets its state") {
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

    SUBCASE("no adapter is resident, and all changes are reported") {
        CHECK(fixture.tracker.occupied_slots() == 0);
        CHECK_FALSE(fixture.tracker.ready(adapter("a1")));
        auto const changes = fixture.tracker.drain_changes();
        REQUIRE(changes.size() == 2);
        CHECK_FALSE(changes[0].resident);
        CHECK_FALSE(changes[1].resident);
    }
    SUBCASE("load requests stay, and commands count from zero") {
        auto const again =
            fixture.expect_command(replica_command_kind::load_adapter, "a3");
        CHECK(again.expected_count == 0);
    }
    SUBCASE("a command unanswered before the restart is not repeated") {
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
    SUBCASE("a late report from before the restart restores no slots") {
        replica_report late = fixture.report;
        late.started_at = incarnation(milliseconds(1'000));
        late.adapters = {adapter("a1", 1), adapter("a2", 1)};
        late.sequence = 2;
        fixture.tracker.apply_report(late, fixture.now);
        fixture.tracker.apply_report(fixture.report, fixture.now);
        CHECK(fixture.tracker.occupied_slots() == 0);
    }
}

TEST_CASE("partition leases") {
    lease_times times;
    partition_leases leases(times);
    instant const start = instant() + seconds(100);
    auto const gained = leases.on_renewal_granted(start, 1, {4, 5}, start);
    CHECK(gained.size() == 2);
    leases.set_token(4, 17);
    instant const settled = start + times.settling;

    SUBCASE("the fencing number is usable after the settling time") {
        CHECK_FALSE(leases.token(4, start));
        CHECK(leases.token(4, settled) == 17);
        CHECK_FALSE(leases.token(5, settled));
        CHECK(leases.partitions_without_token().size() == 1);
    }
    SUBCASE("a partition that was reassigned is no longer commanded") {
        leases.on_renewal_granted(settled, 2, {5}, settled);
        CHECK_FALSE(leases.token(4, settled));
    }

    // A lease holder is suspended for seven seconds while another node takes
    // its replicas over. When it resumes it must not send commands.
    SUBCASE("a holder resumed after its lease sends no commands") {
        instant const resumed = start + seconds(7);
        CHECK_FALSE(leases.token(4, resumed));
        SUBCASE("also when its next renewal fails") {
            leases.on_renewal_failed(resumed);
            CHECK_FALSE(leases.token(4, resumed));
        }
        SUBCASE("after a renewal it needs a new fencing number") {
            auto const again =
                leases.on_renewal_granted(resumed, 3, {4, 5}, resumed);
            CHECK(again.size() == 2);
            CHECK_FALSE(leases.token(4, resumed + seconds(1)));
        }
    }

    // A holder is suspended after checking the lease and before the first byte
    // of the command, while it connects. The command must not be sent after the
    // lease has passed to another node.
    SUBCASE("the fencing number is usable until the lease expires") {
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

    // The store is down for eight seconds. No node can take a partition over,
    // so holders must continue; otherwise no adapter is loaded until the store
    // is back.
    SUBCASE("the lease is extended over an outage that began within it") {
        for (int step = 1; step <= 10; ++step) {
            leases.on_renewal_failed(start + step * milliseconds(600));
        }
        CHECK(leases.token(4, start + seconds(6)) == 17);
        SUBCASE("but not without a limit") {
            CHECK_FALSE(leases.token(4, start + seconds(20)));
        }
    }
    SUBCASE("not extended where replicas do not check fencing numbers") {
        times.replicas_check_fencing = false;
        partition_leases strict(times);
        strict.on_renewal_granted(start, 1, {4}, start);
        strict.set_token(4, 17);
        strict.on_renewal_failed(start + seconds(1));
        strict.on_renewal_failed(start + seconds(2));
        CHECK_FALSE(strict.token(4, start + milliseconds(2'100)));
    }

    // A holder that alone has lost the store goes on counting the usage of a
    // team, beside the node that has received the partition.
    SUBCASE("usage is counted until the lease ends, or through an outage") {
        instant const failed = start + milliseconds(600);
        for (int step = 1; step <= 10; ++step) {
            leases.on_renewal_failed(start + step * milliseconds(600));
        }
        instant const in_lease = start + times.lease - milliseconds(1);
        instant const extended = start + seconds(6);
        CHECK(leases.counting_since(4, extended) == start);
        SUBCASE("also when the store last answered another node before") {
            leases.on_store_answered_other(
                failed + times.renewal - milliseconds(1));
            CHECK(leases.counting_since(4, extended) == start);
        }
        SUBCASE("not extended once the store has answered another node") {
            leases.on_store_answered_other(failed + times.renewal);
            CHECK(leases.counting_since(4, in_lease) == start);
            CHECK_FALSE(leases.counting_since(4, extended));
            CHECK(leases.token(4, extended) == 17);
        }
        SUBCASE("not when another node has claimed the partition") {
            leases.on_higher_token(4, 18);
            CHECK_FALSE(leases.counting_since(4, in_lease));
        }
    }

    // After a rollback the store assigns the log position of a claim again.
    // Replicas would accept the commands of two holders with the same fencing
    // number.
    SUBCASE("after a store rollback each partition is claimed again") {
        constexpr store_epoch next{1};
        leases.on_store_rollback(next);
        CHECK(leases.token(4, settled) == 17);
        CHECK(leases.partitions_without_token().size() == 2);
        CHECK(leases.set_token(4, fencing_number({next, 3})));
        CHECK(leases.partitions_without_token().size() == 1);
        CHECK(leases.token(4, settled) > 17);
        SUBCASE("a number of an earlier epoch has no effect") {
            leases.on_higher_token(4, fencing_number({store_epoch{}, 90'000}));
            CHECK(leases.token(4, settled));
        }
    }
    // A holder that claims a partition again would otherwise count all resident
    // adapters as just used.
    SUBCASE("exclusive since the partition was gained") {
        constexpr store_epoch next{1};
        auto const since = leases.exclusive_since(4);
        REQUIRE(since);
        CHECK_FALSE(leases.exclusive_since(95));
        leases.on_store_rollback(next);
        SUBCASE("also in a new epoch while the lease continues") {
            leases.on_renewal_granted(settled, 1, {4, 5}, settled);
            CHECK(leases.exclusive_since(4) == since);
        }
        SUBCASE("after expiry another node may have held it meanwhile") {
            instant const later = settled + times.lease;
            leases.on_renewal_granted(later, 1, {4, 5}, later);
            CHECK(leases.exclusive_since(4) == later);
        }
        SUBCASE("also when the lease was extended over an outage") {
            for (int step = 1; step <= 6; ++step) {
                leases.on_renewal_failed(start + step * milliseconds(600));
            }
            instant const later = start + milliseconds(4'000);
            leases.on_renewal_granted(later, 1, {4, 5}, later);
            CHECK(leases.token(4, later) == 17);
            CHECK(leases.exclusive_since(4) == later);
        }
        SUBCASE("not after another node's higher number") {
            leases.on_higher_token(4, fencing_number({next, 9}));
            CHECK_FALSE(leases.exclusive_since(4));
        }
    }
    SUBCASE("a number already seen is refused and claimed again") {
        leases.on_higher_token(6, 20);
        leases.on_renewal_granted(settled, 2, {4, 5, 6}, settled);
        CHECK_FALSE(leases.set_token(6, 20));
        CHECK_FALSE(leases.token(6, settled + times.settling));
        CHECK(leases.set_token(6, 21));
        CHECK(leases.token(6, settled + times.settling) == 21);
    }

    // The store reassigns all partitions without notifying the holders. Two
    // nodes would send commands until the previous holder's next renewal.
    SUBCASE("a higher number of another node ends the hold") {
        leases.on_higher_token(4, 16);
        CHECK(leases.token(4, settled) == 17);
        leases.on_higher_token(4, 18);
        CHECK_FALSE(leases.token(4, settled));
    }
}

// Guards against a holder that checks its partitions only at its renewals:
// requests waited up to half a second longer for the first loads.
TEST_CASE("the end of the settling time is known") {
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
