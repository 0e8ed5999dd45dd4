#include <Camphorpoint/Loading>

#include <doctest/doctest.h>

#include <string>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The budget of a weight store in virtual time. The test plays the owners of
/// the replicas and their loads.
class budget_fixture {
public:
    explicit budget_fixture(store_limits const& limits = {})
        : budget_(limits) {
        budget_.on_authority(log_offset{1}, now_ + seconds(600), now_);
        advance(seconds(2));
    }

    store_budget& budget() { return budget_; }
    instant now() const { return now_; }
    void advance(milliseconds span) {
        constexpr milliseconds step{20};
        for (milliseconds passed{}; passed < span; passed += step) {
            now_ += step;
            budget_.on_tick(now_);
            collect();
        }
    }
    void request_load(
        std::string const& adapter, std::uint32_t waiting = 1,
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
    void report_result(
        std::size_t index, bool ok, milliseconds took = milliseconds(400),
        bool started = true) {
        load_allowed const& given = allowed_.at(index);
        load_result const message{
            given.replica, given.adapter, given.permission, started, ok, took};
        budget_.on_load_result(node_id("n1"), message, now_);
        collect();
    }
    /// @returns the adapters whose loads were permitted, in order
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
            if (auto const* denial = std::get_if<send_load_denied>(&each)) {
                denied_.push_back(denial->message);
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

TEST_CASE("the owner of a weight store permits loads") {
    budget_fixture fixture;
    fixture.request_load("a");
    fixture.request_load("b");
    CHECK(fixture.allowed() == names{"a", "b"});

    SUBCASE("no more concurrent loads than the store serves at full speed") {
        fixture.request_load("c");
        CHECK(fixture.allowed().size() == 2);
        fixture.report_result(0, true);
        CHECK(fixture.allowed() == names{"a", "b", "c"});
    }

    SUBCASE("no more loads per second than the store permits") {
        for (std::size_t count = 0; count < 9; ++count) {
            fixture.request_load("x" + std::to_string(count));
            fixture.report_result(count, true);
            if (fixture.allowed().size() == 5) {
                break;
            }
        }
        fixture.report_result(3, true);
        fixture.report_result(4, true);
        fixture.request_load("more");
        CHECK(fixture.allowed().size() == 5);
        fixture.advance(milliseconds(980));
        CHECK(fixture.allowed().size() == 5);
        fixture.advance(milliseconds(20));
        CHECK(fixture.allowed().back() == "more");
    }

    SUBCASE("the adapter with the most waiting requests goes first") {
        fixture.request_load("few", 2);
        fixture.request_load("many", 5);
        fixture.report_result(0, true);
        CHECK(fixture.allowed().back() == "many");
    }

    SUBCASE("urgent requests have a larger weight") {
        fixture.request_load("many", 3);
        fixture.request_load("urgent", 1, urgency::immediate);
        fixture.report_result(0, true);
        CHECK(fixture.allowed().back() == "urgent");
    }

    SUBCASE("a long wait outweighs several requests") {
        fixture.request_load("old", 1, urgency::normal, milliseconds(4'000));
        fixture.request_load("many", 3);
        fixture.report_result(0, true);
        CHECK(fixture.allowed().back() == "old");
    }

    SUBCASE("no prefetch while other loads run") {
        fixture.request_load("ahead", 0);
        fixture.report_result(0, true);
        CHECK(fixture.allowed().size() == 2);
        fixture.report_result(1, true);
        fixture.advance(milliseconds(1'000));
        CHECK(fixture.allowed().back() == "ahead");
    }

    // The owner of a replica repeats its request while the permission is in
    // transit.
    SUBCASE("a request that crosses its permission gets no second load") {
        fixture.report_result(1, true);
        fixture.request_load("a", 3);
        CHECK(fixture.allowed() == names{"a", "b"});
        fixture.report_result(0, true);
        CHECK(fixture.allowed() == names{"a", "b"});
    }

    SUBCASE("a returned permission does not count towards the rate") {
        fixture.report_result(0, false, milliseconds(0), false);
        fixture.report_result(1, false, milliseconds(0), false);
        for (std::size_t count = 0; count < 5; ++count) {
            fixture.request_load("x" + std::to_string(count));
            fixture.report_result(2 + count, true);
        }
        CHECK(fixture.allowed().size() == 7);
    }
}

// Guards against a blocked store, and against permissions that are never used:
// the owner of a replica crashes while it holds a permission or has pending
// requests.
TEST_CASE("requests and permissions that are not renewed expire") {
    budget_fixture fixture;
    fixture.request_load("a");
    fixture.request_load("b");
    fixture.request_load("silent");
    fixture.advance(seconds(3));
    CHECK(fixture.budget().waiting() == 0);
    fixture.advance(seconds(18));
    CHECK(fixture.budget().running() == 0);
}

// Guards against an overload of the store by retries for minutes after its
// recovery, and against slots that are blocked by loads that cannot complete
// while it is down.
TEST_CASE("a store that is down receives one load at a time") {
    budget_fixture fixture;
    fixture.request_load("a");
    fixture.request_load("b");
    fixture.report_result(0, false);
    fixture.request_load("a");
    fixture.report_result(1, false);
    fixture.request_load("c");
    CHECK_FALSE(fixture.budget().down());
    fixture.report_result(2, false);
    CHECK(fixture.budget().down());
    fixture.report_result(3, false);

    SUBCASE("loads are denied during the pause") {
        std::size_t const before = fixture.allowed().size();
        fixture.request_load("d");
        CHECK(fixture.denied().back().retry_after > milliseconds(0));
        fixture.advance(milliseconds(980));
        CHECK(fixture.allowed().size() == before);
        fixture.advance(milliseconds(20));
        CHECK(fixture.allowed().size() == before + 1);

        SUBCASE("a successful load ends the pause") {
            fixture.report_result(before, true);
            CHECK_FALSE(fixture.budget().down());
        }

        SUBCASE("a failed load doubles the pause") {
            fixture.report_result(before, false);
            fixture.request_load("e");
            CHECK(fixture.denied().back().retry_after == milliseconds(2'000));
        }
    }
}

// Guards against one broken adapter that stops all loads because its failures
// are attributed to the store.
TEST_CASE("failures of one adapter do not mean that the store is down") {
    budget_fixture fixture;
    for (std::size_t count = 0; count < 5; ++count) {
        fixture.request_load("broken");
        fixture.report_result(count, false);
    }
    CHECK_FALSE(fixture.budget().down());
}

// Guards against two owners of one store that together exceed its rate, which
// slows down all loads. The cause is an owner that was paused and resumes, or a
// claim that was followed by another claim.
TEST_CASE("an owner of the store stays within its authority") {
    store_limits const limits;
    store_budget budget(limits);
    instant const now = instant{} + std::chrono::hours(1);
    load_request message;
    message.adapter = {adapter_id("a"), 1};
    message.waiting = 1;
    budget.on_load_request(node_id("n1"), message, now);
    CHECK(budget.running() == 0);

    SUBCASE("a new owner skips the second that the old owner may have used") {
        budget.on_authority(log_offset{4}, now + seconds(9), now);
        CHECK(budget.running() == 0);
        budget.on_tick(now + milliseconds(999));
        CHECK(budget.running() == 0);
        budget.on_tick(now + milliseconds(1'000));
        CHECK(budget.running() == 1);
    }

    SUBCASE("a paused owner permits nothing after its authority has ended") {
        budget.on_authority(log_offset{4}, now + milliseconds(500), now);
        budget.on_tick(now + milliseconds(1'200));
        CHECK(budget.running() == 0);
    }
}

TEST_CASE("without a reachable owner the nodes share the rate") {
    store_limits const total;
    store_limits const per_node = fallback_limits(9, total);
    CHECK(per_node.loads_per_second * 9 == doctest::Approx(5));
    CHECK(per_node.concurrency == 1);
    budget_fixture fixture(per_node);
    fixture.request_load("a");
    fixture.report_result(0, true);
    fixture.request_load("b");
    fixture.advance(milliseconds(1'780));
    CHECK(fixture.allowed() == names{"a"});
    fixture.advance(milliseconds(20));
    CHECK(fixture.allowed() == names{"a", "b"});
}

} // namespace camphorpoint::test
