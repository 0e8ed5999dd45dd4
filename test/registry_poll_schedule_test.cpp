#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds max_interval{1'000};

/// @returns a position in the first epoch
constexpr store_position at(std::uint64_t offset) {
    return {store_epoch{1}, offset};
}

/// @returns a position after a store rollback
constexpr store_position after_rollback(std::uint64_t offset) {
    return {store_epoch{2}, offset};
}

} // namespace

TEST_CASE("a node polls the registry when no other node has done so lately") {
    registry_poll_schedule schedule(max_interval);
    instant const now = instant() + seconds(100);
    schedule.poll_completed(at(40), now);
    CHECK(schedule.next_poll_time(1) == now + max_interval);
    CHECK(schedule.next_poll_time(0) < schedule.next_poll_time(1));

    SUBCASE("an update that continues from this position postpones the poll") {
        instant const then = now + milliseconds(600);
        CHECK(
            schedule.handle_update(at(40), at(50), then) ==
            registry_update_fit::applies);
        CHECK(schedule.position() == at(50));
        CHECK(schedule.next_poll_time(1) == then + max_interval);
        SUBCASE("so does an update without changes") {
            instant const last = then + milliseconds(600);
            CHECK(
                schedule.handle_update(at(50), at(50), last) ==
                registry_update_fit::nothing_new);
            CHECK(schedule.next_poll_time(1) == last + max_interval);
        }
    }
    SUBCASE("an overlapping update applies as well") {
        CHECK(
            schedule.handle_update(at(30), at(45), now) ==
            registry_update_fit::applies);
        CHECK(schedule.position() == at(45));
    }
    SUBCASE("an old update, as of a node that lags behind, changes nothing") {
        CHECK(
            schedule.handle_update(at(10), at(39), now + milliseconds(900)) ==
            registry_update_fit::nothing_new);
        CHECK(schedule.next_poll_time(1) == now + max_interval);
    }
}

// Guards against a replica that gets requests although it leaves: a second
// lost update was forgotten when the poll for the first one ended.
TEST_CASE("a gap that shows while a poll is under way is polled as well") {
    registry_poll_schedule schedule(max_interval);
    instant const now = instant() + seconds(100);
    schedule.poll_completed(at(40), now);
    schedule.handle_update(at(45), at(50), now);
    schedule.poll_started();
    REQUIRE(
        schedule.handle_update(at(60), at(65), now) ==
        registry_update_fit::gap);
    SUBCASE("when the poll has not reached it") {
        schedule.poll_completed(at(50), now);
        CHECK(schedule.next_poll_time(1) <= now);
        SUBCASE("once, when the store has no records there") {
            schedule.poll_started();
            schedule.poll_completed(at(50), now);
            CHECK(schedule.next_poll_time(1) == now + max_interval);
        }
        SUBCASE("in full after a rollback of the store, once") {
            schedule.enter_epoch(store_epoch{2}, now);
            schedule.poll_started();
            schedule.poll_completed(after_rollback(5), now);
            CHECK(schedule.next_poll_time(1) == now + max_interval);
        }
    }
    SUBCASE("unless the poll has reached it") {
        schedule.poll_completed(at(60), now);
        CHECK(schedule.next_poll_time(1) == now + max_interval);
    }
    SUBCASE("nor when an update that arrives late fills the first gap only") {
        CHECK(
            schedule.handle_update(at(40), at(45), now) ==
            registry_update_fit::applies);
        CHECK(schedule.next_poll_time(1) <= now);
        SUBCASE("and updates that arrive late fill both") {
            schedule.handle_update(at(45), at(60), now);
            CHECK(schedule.next_poll_time(1) == now + max_interval);
        }
    }
}

// The datagram with the update that a replica is leaving is lost on its way to
// one node. Guards against that node relying on the next update and sending
// requests to the replica until it is gone.
TEST_CASE("a lost update leads to a poll at once") {
    registry_poll_schedule schedule(max_interval);
    instant const now = instant() + seconds(100);
    schedule.poll_completed(at(40), now);
    instant const then = now + milliseconds(700);
    CHECK(
        schedule.handle_update(at(45), at(50), then) ==
        registry_update_fit::gap);
    CHECK(schedule.position() == at(40));
    CHECK(schedule.next_poll_time(1) <= then);

    SUBCASE("and the poll closes the gap") {
        schedule.poll_completed(at(52), then);
        CHECK(
            schedule.handle_update(at(50), at(55), then) ==
            registry_update_fit::applies);
        CHECK(schedule.next_poll_time(1) == then + max_interval);
    }
}

TEST_CASE(
    "a node that has not polled yet does not rely on other nodes' updates") {
    registry_poll_schedule schedule(max_interval);
    instant const now = instant() + seconds(100);
    CHECK(
        schedule.handle_update(at(0), at(50), now) ==
        registry_update_fit::nothing_new);
    CHECK(schedule.position() == store_position{});
}

// Guards against ninety nodes that each poll the registry every second: they
// would make ninety calls per second on a store that charges for every call.
TEST_CASE("many nodes poll hardly more often than a few") {
    constexpr std::size_t nodes = 90;
    constexpr milliseconds message_delay{10};
    std::vector<registry_poll_schedule> all(
        nodes, registry_poll_schedule(max_interval));
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> random_fraction(0, 1);
    instant now = instant() + seconds(100);
    instant const end = now + seconds(60);
    std::vector<double> random_fractions(nodes);
    for (std::size_t each = 0; each < nodes; ++each) {
        all[each].poll_completed(at(1), now);
        random_fractions[each] = random_fraction(random);
    }
    std::size_t polls = 0;
    duration longest_gap{0};
    while (now < end) {
        instant first = instant::max();
        for (std::size_t each = 0; each < nodes; ++each) {
            first = std::min(
                first, all[each].next_poll_time(random_fractions[each]));
        }
        longest_gap = std::max(longest_gap, first - now);
        // All nodes whose interval ends before the first one's update arrives
        // poll too.
        std::uint64_t const next_offset = all.front().position().offset + 1;
        for (std::size_t each = 0; each < nodes; ++each) {
            if (all[each].next_poll_time(random_fractions[each]) <=
                first + message_delay) {
                ++polls;
                random_fractions[each] = random_fraction(random);
            }
        }
        now = first + message_delay;
        for (registry_poll_schedule& each : all) {
            each.poll_completed(at(next_offset), now);
        }
    }
    CHECK(longest_gap <= max_interval);
    CHECK(polls < 60 * 8);
}

// The store is restored from a snapshot that is some seconds old. Guards
// against a node that continues from its former position: a replica that starts
// to leave is written below it, and the node would send requests there until
// the replica is gone.
TEST_CASE("after a store rollback no poll continues from an old position") {
    registry_poll_schedule schedule(max_interval);
    instant const now = instant() + seconds(100);
    instant const own_poll_time = now + milliseconds(300);
    schedule.poll_completed(at(40), now);
    CHECK_FALSE(schedule.needs_full_poll());

    SUBCASE("the full registry is polled at a time of this node's own") {
        schedule.enter_epoch(store_epoch{2}, own_poll_time);
        CHECK(schedule.needs_full_poll());
        CHECK(schedule.next_poll_time(1) == own_poll_time);
        schedule.poll_completed(after_rollback(31), own_poll_time);
        CHECK_FALSE(schedule.needs_full_poll());
        CHECK(schedule.position() == after_rollback(31));
        CHECK(schedule.next_poll_time(1) == own_poll_time + max_interval);
    }
    SUBCASE("an update of the later epoch reveals the rollback") {
        CHECK(
            schedule.handle_update(
                after_rollback(30), after_rollback(35), now) ==
            registry_update_fit::later_epoch);
        CHECK(schedule.position() == at(40));
    }
    SUBCASE("and no update postpones or replaces the full poll") {
        schedule.enter_epoch(store_epoch{2}, own_poll_time);
        CHECK(
            schedule.handle_update(at(40), at(50), now) ==
            registry_update_fit::nothing_new);
        CHECK(
            schedule.handle_update(
                after_rollback(0), after_rollback(50), now) ==
            registry_update_fit::nothing_new);
        CHECK(schedule.next_poll_time(1) == own_poll_time);
    }
    SUBCASE("updates of the earlier epoch are ignored") {
        schedule.enter_epoch(store_epoch{2}, own_poll_time);
        schedule.poll_completed(after_rollback(31), own_poll_time);
        CHECK(
            schedule.handle_update(at(31), at(90), own_poll_time) ==
            registry_update_fit::nothing_new);
        CHECK(
            schedule.handle_update(at(50), at(90), own_poll_time) ==
            registry_update_fit::nothing_new);
        CHECK(schedule.position() == after_rollback(31));
        CHECK(schedule.next_poll_time(1) == own_poll_time + max_interval);
    }
    SUBCASE("a poll that was in progress does not set the position") {
        schedule.enter_epoch(store_epoch{2}, own_poll_time);
        schedule.poll_completed(at(60), now);
        CHECK(schedule.needs_full_poll());
    }
    SUBCASE("a store without epochs no longer contains the position") {
        schedule.position_expired();
        CHECK(schedule.needs_full_poll());
        schedule.poll_completed(at(31), now);
        CHECK(schedule.position() == at(31));
    }
}

} // namespace camphorpoint
