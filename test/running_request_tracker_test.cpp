#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t at_r1 = 1;
constexpr std::uint64_t at_r2 = 2;
adapter_id const hot("m/hot");

} // namespace

// Sixty nodes broadcast their counts every second. Guards against all of them
// seeing that a replica of 16 slots has 9 requests and sending there: callers
// would wait two seconds for a first event while the next replica is half
// empty.
TEST_CASE("one node counts the running requests of all nodes at a replica") {
    running_request_tracker tracker;
    instant now = instant() + seconds(100);
    tracker.update("n1", at_r1, hot, 1, 500, now);
    tracker.update("n2", at_r1, hot, 2, 700, now);
    tracker.update("n2", at_r2, hot, 1, 0, now);
    CHECK(tracker.usage(at_r1, now).running == 3);
    CHECK(tracker.usage(at_r1, now).backlog_tokens == 1'200);
    CHECK(tracker.usage(at_r2, now).running == 1);
    CHECK(tracker.in_use(at_r1, hot));

    SUBCASE("a repeated report counts once") {
        tracker.update("n2", at_r1, hot, 2, 0, now);
        CHECK(tracker.usage(at_r1, now).running == 3);
    }
    SUBCASE(
        "an adapter is in use until the last node's request has completed") {
        tracker.update("n1", at_r1, hot, 0, 0, now);
        CHECK(tracker.in_use(at_r1, hot));
        tracker.update("n2", at_r1, hot, 0, 0, now);
        CHECK_FALSE(tracker.in_use(at_r1, hot));
        CHECK(tracker.usage(at_r1, now).running == 0);
    }
    SUBCASE("a node that timed out has no running requests there any more") {
        now += seconds(2);
        tracker.update("n1", at_r1, hot, 1, 0, now);
        now += seconds(2);
        tracker.drop_timed_out_nodes(now);
        CHECK(tracker.usage(at_r1, now).running == 1);
        CHECK(tracker.usage(at_r2, now).running == 0);
    }
}

// An adapter suddenly becomes busy. Guards against two hundred requests at
// ninety nodes that wait for its load, are resumed together, and are all sent
// to the one replica.
TEST_CASE("upcoming requests count as well") {
    running_request_tracker tracker;
    instant now = instant() + seconds(100);

    SUBCASE(
        "nodes that ask at the same moment are told of each other's requests") {
        for (int each = 0; each < 9; ++each) {
            tracker.add_expected_request(at_r1, 1.0 / 3, now);
        }
        CHECK(tracker.usage(at_r1, now).running >= 2);
        SUBCASE("until their requests have been reported") {
            now += milliseconds(200);
            CHECK(tracker.usage(at_r1, now).running == 0);
        }
    }
    SUBCASE("requests that wait for a load take slots") {
        for (int each = 0; each < 12; ++each) {
            tracker.add_waiting_request(at_r1, now);
        }
        CHECK(tracker.usage(at_r1, now).running == 12);
        CHECK(
            replica_selector::utilization(tracker.usage(at_r1, now), 12) >=
            1.0);
        SUBCASE("while the load may still complete") {
            now += seconds(3);
            CHECK(tracker.usage(at_r1, now).running == 0);
        }
    }
}

TEST_CASE("a tracker forgets replicas with nothing to count") {
    running_request_tracker tracker;
    instant const now = instant() + seconds(100);
    tracker.add_waiting_request(at_r1, now);
    tracker.drop_timed_out_nodes(now + seconds(5));
    CHECK(tracker.usage(at_r1, now + seconds(5)).running == 0);
    CHECK(tracker.usage(at_r2, now).running == 0);
}

} // namespace camphorpoint
