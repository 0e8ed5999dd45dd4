#include <Camphorpoint/Loading>

#include <doctest/doctest.h>

#include <string>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A weight store's budget, its loads played by the test.
class budget_fixture {
public:
    explicit budget_fixture(store_limits const& limits = {})
        : budget_(limits) {
        budget_.on_authority(log_offset{1}, now_ + seconds(600), now_);
        pass(seconds(2));
    }

    store_budget& budget() { return budget_; }
    instant now() const { return now_; }
    void pass(milliseconds span) {
        constexpr milliseconds step{20};
        for (milliseconds passed{}; passed < span; passed += step) {
            now_ += step;
            budget_.on_tick(now_);
            collect();
        }
    }
    void
    ask(std::string const& adapter, std::uint32_t waiting = 1,
        urgency how_urgent = urgency::normal, milliseconds oldest = {}) {
        load_request message;
        message.replica = endpoint_id("r1");
        message.adapter = {adapter_id(adapter), 1};
        message.waiting = waiting;
        message.how_urgent = how_urgent;
        message.oldest_wait = oldest;
        message.expected_demand = 1;
        budget_.on_load_request(node_id("n1"), message, now_);
        collect();
    }
    void
    end(std::size_t index, bool ok, milliseconds took = milliseconds(400),
        bool started = true) {
        load_allowed const& given = allowed_.at(index);
        load_result const message{
            given.replica, given.adapter, given.permission, started, ok, took};
        budget_.on_load_result(node_id("n1"), message, now_);
        collect();
    }
    /// @returns the adapters whose loads were allowed, in order
    std::vector<std::string> allowed() const {
        std::vector<std::string> names;
        for (load_allowed const& each : allowed_) {
            names.push_back(each.adapter.id.str());
        }
        return names;
    }
    std::vector<load_denied> const& denied() const { return denied_; }

private:
    void collect() {
        for (budget_action const& each : budget_.take_actions()) {
            if (auto const* given = std::get_if<send_load_allowed>(&each)) {
                allowed_.push_back(given->message);
            }
            if (auto const* no = std::get_if<send_load_denied>(&each)) {
                denied_.push_back(no->message);
            }
        }
    }

    store_budget budget_;
    instant now_ = instant{} + std::chrono::hours(1);
    std::vector<load_allowed> allowed_;
    std::vector<load_denied> denied_;
};

using names = std::vector<std::string>;

} // namespace

TEST_CASE("a weight store's owner deals out loads") {
    budget_fixture fixture;
    fixture.ask("a");
    fixture.ask("b");
    CHECK(fixture.allowed() == names{"a", "b"});

    SUBCASE("no more at once than the store serves at full speed") {
        fixture.ask("c");
        CHECK(fixture.allowed().size() == 2);
        fixture.end(0, true);
        CHECK(fixture.allowed() == names{"a", "b", "c"});
    }

    SUBCASE("no more in a second than the store allows") {
        for (std::size_t count = 0; count < 9; ++count) {
            fixture.ask("x" + std::to_string(count));
            fixture.end(count, true);
            if (fixture.allowed().size() == 5) {
                break;
            }
        }
        fixture.end(3, true);
        fixture.end(4, true);
        fixture.ask("more");
        CHECK(fixture.allowed().size() == 5);
        fixture.pass(milliseconds(980));
        CHECK(fixture.allowed().size() == 5);
        fixture.pass(milliseconds(20));
        CHECK(fixture.allowed().back() == "more");
    }

    SUBCASE("the most waiting goes first") {
        fixture.ask("few", 2);
        fixture.ask("many", 5);
        fixture.end(0, true);
        CHECK(fixture.allowed().back() == "many");
    }

    SUBCASE("urgent work counts for more") {
        fixture.ask("many", 3);
        fixture.ask("urgent", 1, urgency::immediate);
        fixture.end(0, true);
        CHECK(fixture.allowed().back() == "urgent");
    }

    SUBCASE("a long wait counts for more than many") {
        fixture.ask("old", 1, urgency::normal, milliseconds(4'000));
        fixture.ask("many", 3);
        fixture.end(0, true);
        CHECK(fixture.allowed().back() == "old");
    }

    SUBCASE("nothing ahead of demand while others load") {
        fixture.ask("ahead", 0);
        fixture.end(0, true);
        CHECK(fixture.allowed().size() == 2);
        fixture.end(1, true);
        fixture.pass(milliseconds(1'000));
        CHECK(fixture.allowed().back() == "ahead");
    }

    // A replica's owner asks again while the permission is on its way to it.
    SUBCASE("an ask that crosses its permission earns no second load") {
        fixture.end(1, true);
        fixture.ask("a", 3);
        CHECK(fixture.allowed() == names{"a", "b"});
        fixture.end(0, true);
        CHECK(fixture.allowed() == names{"a", "b"});
    }

    SUBCASE("a permission that was given back doesn't use up the rate") {
        fixture.end(0, false, milliseconds(0), false);
        fixture.end(1, false, milliseconds(0), false);
        for (std::size_t count = 0; count < 5; ++count) {
            fixture.ask("x" + std::to_string(count));
            fixture.end(2 + count, true);
        }
        CHECK(fixture.allowed().size() == 7);
    }
}

// The store is never asked for anything again, or loads that nobody carries
// out use it up: the replica's owner died with its permission.
TEST_CASE("what falls silent is forgotten") {
    budget_fixture fixture;
    fixture.ask("a");
    fixture.ask("b");
    fixture.ask("silent");
    fixture.pass(seconds(3));
    CHECK(fixture.budget().waiting() == 0);
    fixture.pass(seconds(18));
    CHECK(fixture.budget().running() == 0);
}

// For minutes after the store comes back it is swamped by everyone's retries,
// or, while it is down, engines hold slots for loads that can't end.
TEST_CASE("a store that is down is tried with one load at a time") {
    budget_fixture fixture;
    fixture.ask("a");
    fixture.ask("b");
    fixture.end(0, false);
    fixture.ask("a");
    fixture.end(1, false);
    fixture.ask("c");
    CHECK_FALSE(fixture.budget().down());
    fixture.end(2, false);
    CHECK(fixture.budget().down());
    fixture.end(3, false);

    SUBCASE("nothing is allowed during the pause, and askers are told") {
        std::size_t const before = fixture.allowed().size();
        fixture.ask("d");
        CHECK(fixture.denied().back().retry_after > milliseconds(0));
        fixture.pass(milliseconds(980));
        CHECK(fixture.allowed().size() == before);
        fixture.pass(milliseconds(20));
        CHECK(fixture.allowed().size() == before + 1);

        SUBCASE("a load that works ends it") {
            fixture.end(before, true);
            CHECK_FALSE(fixture.budget().down());
        }

        SUBCASE("one that fails doubles it") {
            fixture.end(before, false);
            fixture.ask("e");
            CHECK(fixture.denied().back().retry_after == milliseconds(2'000));
        }
    }
}

// One broken adapter stops all loads: its failures are taken for the store's.
TEST_CASE("one adapter's failures don't mean that the store is down") {
    budget_fixture fixture;
    for (std::size_t count = 0; count < 5; ++count) {
        fixture.ask("broken");
        fixture.end(count, false);
    }
    CHECK_FALSE(fixture.budget().down());
}

// Two owners of one store: the old one was paused and wakes up, or its claim
// was followed by another. Loads beyond the rate slow down all of them.
TEST_CASE("an owner of the store deals out only what is its own") {
    store_limits const limits;
    store_budget budget(limits);
    instant const now = instant{} + std::chrono::hours(1);
    load_request ask;
    ask.adapter = {adapter_id("a"), 1};
    ask.waiting = 1;
    budget.on_load_request(node_id("n1"), ask, now);
    CHECK(budget.running() == 0);

    SUBCASE("a new owner leaves out the second that the old one dealt out") {
        budget.on_authority(log_offset{4}, now + seconds(9), now);
        CHECK(budget.running() == 0);
        budget.on_tick(now + milliseconds(999));
        CHECK(budget.running() == 0);
        budget.on_tick(now + milliseconds(1'000));
        CHECK(budget.running() == 1);
    }

    SUBCASE("a paused owner deals out nothing past its authority") {
        budget.on_authority(log_offset{4}, now + milliseconds(500), now);
        budget.on_tick(now + milliseconds(1'200));
        CHECK(budget.running() == 0);
    }
}

TEST_CASE("without an owner the nodes share the rate") {
    store_limits const whole;
    store_limits const share = fallback_limits(9, whole);
    CHECK(share.loads_per_second * 9 == doctest::Approx(5));
    CHECK(share.concurrency == 1);
    budget_fixture fixture(share);
    fixture.ask("a");
    fixture.end(0, true);
    fixture.ask("b");
    fixture.pass(milliseconds(1'780));
    CHECK(fixture.allowed() == names{"a"});
    fixture.pass(milliseconds(20));
    CHECK(fixture.allowed() == names{"a", "b"});
}

} // namespace camphorpoint::test
