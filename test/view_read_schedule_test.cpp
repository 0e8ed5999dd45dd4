#include "Fleet/view_read_schedule.hpp"

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

instant at(milliseconds time) {
    return instant{} + std::chrono::hours(1) + time;
}

} // namespace

// Guards against an answer to a read that was sent before the request arrived,
// which does not show what other nodes knew at its arrival.
TEST_CASE("only a read that was sent after a request shows a current view") {
    view_read_schedule schedule;
    CHECK_FALSE(schedule.next_read(at(milliseconds(0))));
    schedule.request(at(milliseconds(0)));
    REQUIRE(schedule.next_read(at(milliseconds(0))) <= at(milliseconds(0)));
    schedule.begin(at(milliseconds(1)), 3);
    schedule.request(at(milliseconds(2)));
    schedule.end(true);
    CHECK(schedule.outcome(at(milliseconds(0))) == true);
    CHECK_FALSE(schedule.outcome(at(milliseconds(2))).has_value());
    REQUIRE(schedule.next_read(at(milliseconds(5))));
    schedule.begin(at(milliseconds(21)), 3);
    schedule.end(false);
    CHECK(schedule.outcome(at(milliseconds(2))) == false);
    CHECK_FALSE(schedule.next_read(at(milliseconds(22))));
}

TEST_CASE("a request for which no read is due in time causes none") {
    view_read_schedule schedule;
    schedule.request(at(milliseconds(0)));
    CHECK_FALSE(schedule.next_read(at(view_read_patience)));
}

// Guards against reads that use up the calls that all nodes share. A read is
// two calls; half of the store's 2,000 a second are left for the rest.
TEST_CASE("reads of views fit into the store's calls at any number of nodes") {
    for (unsigned const nodes : {1U, 7U, 90U, 1'900U}) {
        view_read_schedule schedule;
        unsigned reads = 0;
        constexpr milliseconds length{20'000};
        for (milliseconds now{0}; now < length; now += milliseconds(1)) {
            schedule.request(at(now));
            auto const due = schedule.next_read(at(now));
            if (due && *due <= at(now)) {
                schedule.begin(at(now), nodes);
                schedule.end(true);
                ++reads;
            }
        }
        // The first read is not due to an interval.
        double const calls = 2.0 * nodes * (reads - 1) / 20;
        MESSAGE(nodes << " nodes, " << calls << " calls a second");
        CHECK(calls <= 1'000);
    }
}

} // namespace camphorpoint
