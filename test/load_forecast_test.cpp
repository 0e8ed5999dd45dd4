#include "test/holding_fixture.hpp"

#include <Camphorpoint/Holding>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::account_world;
using testing::adapter;

// Eighteen replicas load three adapters each at the same time. The way from the
// store carries eight at full speed: all come after two seconds, none in time.
TEST_CASE("loads that take longer are ordered one at a time") {
    load_pace pace;
    auto const load = [&](milliseconds time) {
        pace.begin();
        pace.end();
        pace.note(time);
    };
    pace.begin();
    CHECK(pace.may_begin());
    pace.end();
    load(milliseconds(250));
    for (int each = 0; each < 8; ++each) {
        load(milliseconds(500));
    }
    pace.begin();
    CHECK_FALSE(pace.may_begin());
    pace.note(milliseconds(260));
    CHECK(pace.may_begin());
    pace.end();

    SUBCASE("also where each load takes longer than elsewhere") {
        load_pace slow;
        for (int each = 0; each < 4; ++each) {
            slow.begin();
            slow.begin();
            slow.end();
            slow.note(milliseconds(900));
            slow.end();
        }
        slow.begin();
        slow.begin();
        CHECK(slow.may_begin());
        CHECK(slow.usual() == milliseconds(900));
    }
}

// Callers of a rare adapter wait two seconds for its load, and are refused
// then. Whoever orders knew at their coming how many loads go before theirs.
TEST_CASE("how long a load will take is told before anybody waits") {
    slot_outlook by;
    by.free = 2;
    by.load = milliseconds(250);
    by.release_pause = milliseconds(100);
    SUBCASE("a free slot and nobody ahead: the load alone") {
        CHECK(expected_ready(by) == milliseconds(250));
    }
    SUBCASE("loads ahead share what the node has under way at once") {
        by.ahead = 1;
        by.loads_ahead = milliseconds(250);
        by.at_once = 0.5;
        CHECK(expected_ready(by) == milliseconds(750));
    }
    SUBCASE("no slot: it waits for one to come free") {
        by.free = 0;
        CHECK(expected_ready(by) == milliseconds(350));
        by.load = milliseconds(25);
        CHECK(expected_ready(by) == milliseconds(125));
    }

    SUBCASE("by the account: resident, kept, never seen") {
        account_world world;
        world.load("a");
        CHECK(
            world.account.expected_wait(
                adapter("a"), want_kind::waited_for, world.now) ==
            duration::zero());
        duration const fetched = world.account.expected_wait(
            adapter("b"), want_kind::waited_for, world.now);
        world.want(adapter("b"));
        CHECK(
            world.account.expected_wait(
                adapter("c"), want_kind::waited_for, world.now) > fetched);
        SUBCASE("what is wanted ahead holds nobody up") {
            account_world other;
            other.load("a");
            other.account.want(adapter("b"), want_kind::ahead, other.now);
            CHECK(
                other.account.expected_wait(
                    adapter("c"), want_kind::waited_for, other.now) == fetched);
        }
    }
}

// A replica's six adapters come and go. Each return of one that it still keeps
// in memory waits behind three that come from the store.
TEST_CASE("what a replica keeps in memory comes back before the store's") {
    account_world world;
    for (std::string const name : {"a", "b", "c"}) {
        world.load(name);
        world.pass(milliseconds(500));
    }
    world.want(adapter("d"));
    auto const first_out =
        world.expect_order(slot_order_kind::unload_adapter, "a");
    world.account.answered(first_out, slot_answer::holds, world.now);
    world.load("d");
    world.pass(milliseconds(500));
    world.want(adapter("new"));
    world.want(adapter("a"));
    auto const out = world.account.next(world.now);
    REQUIRE(out);
    CHECK(out->kind == slot_order_kind::unload_adapter);
    world.account.answered(*out, slot_answer::holds, world.now);
    world.expect_order(slot_order_kind::load_adapter, "a");
    CHECK(
        world.account.expected_wait(
            adapter("a"), want_kind::waited_for, world.now) <
        world.account.expected_wait(
            adapter("new"), want_kind::waited_for, world.now));
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
            account_world world(slots);
            auto const free_now = [&](std::string const& name) {
                return !world.account.turn_away(
                    adapter(name), want_kind::waited_for, milliseconds(750),
                    world.now);
            };
            CHECK(free_now("a"));
            for (int each = 0; each < 20; ++each) {
                world.pace->begin();
                world.pace->note(milliseconds(load_ms));
                world.pace->end();
            }
            CHECK(free_now("b"));
            world.pace->note(seconds(20));
            CHECK(free_now("c"));

            SUBCASE("and one such load does not make the next ones late") {
                CHECK(
                    world.account.expected_wait(
                        adapter("c"), want_kind::waited_for, world.now) <=
                    milliseconds(2 * load_ms));
            }
            SUBCASE("but behind others that come too late it is said so") {
                for (int each = 0; each < 40; ++each) {
                    world.want(adapter("w" + std::to_string(each)));
                }
                auto const wait = world.account.turn_away(
                    adapter("d"), want_kind::waited_for, milliseconds(750),
                    world.now);
                REQUIRE(wait);
                CHECK(*wait > milliseconds(750));
            }
        }
    }
}

// A node stops ordering for a replica while a load is under way there. Its
// window stays narrower by that load, for good.
TEST_CASE("an account that goes takes its loads off the window") {
    auto const pace = std::make_shared<load_pace>();
    instant const now = instant() + seconds(100);
    replica_report report;
    report.models = {model_id("m")};
    for (int round = 0; round < 5; ++round) {
        slot_account account({3}, pace);
        account.reported(report, now);
        account.want(adapter("a"), want_kind::waited_for, now);
        auto const order = account.next(now);
        REQUIRE(order);
        account.answered(*order, slot_answer::accepted, now);
    }
    CHECK(pace->may_begin());
    SUBCASE("also one that outlives the node's other services") {
        std::weak_ptr<load_pace> const watched = pace;
        slot_account last({3}, pace);
        CHECK(watched.use_count() == 2);
    }
}

} // namespace camphorpoint
