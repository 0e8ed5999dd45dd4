#include <Camphorpoint/Delivery>

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

using std::chrono::seconds;

// Guards against executing a booking twice: its connection to a replica breaks,
// the caller is told "not run" and books again. "Not run" may be reported only
// while nothing was sent or the replica itself said so.
TEST_CASE("whether a request has run") {
    attempt_tracker booking(false);
    booking.begin();

    SUBCASE("nothing was sent: it has not run and may be resent") {
        CHECK_FALSE(booking.may_run());
        CHECK(booking.may_resend());
        CHECK(booking.sends() == 0);
    }
    SUBCASE("a byte was sent: it may run, now or later") {
        booking.on_sent();
        CHECK(booking.may_run());
        CHECK_FALSE(booking.may_resend());

        SUBCASE("the replica reports that it has not run it") {
            booking.on_not_executed();
            CHECK_FALSE(booking.may_run());
            CHECK(booking.may_resend());
        }
        SUBCASE("the replica begins to answer and is cut off") {
            booking.on_answering();
            CHECK(booking.may_run());
            CHECK_FALSE(booking.may_resend());
        }
        SUBCASE("a complete answer was received") {
            booking.on_answering();
            booking.on_completed();
            CHECK(booking.may_run());
        }
    }
    SUBCASE("a first attempt that may run counts for the later ones") {
        attempt_tracker lookup(true);
        lookup.begin();
        lookup.on_sent();
        lookup.begin();
        CHECK(lookup.may_run());
        lookup.on_sent();
        lookup.on_not_executed();
        CHECK(lookup.may_run());
        CHECK(lookup.may_resend());
        CHECK(lookup.sends() == 2);
    }
}

// Guards against a retry storm: a quarter of the replicas crashes, every
// request reaches the others two or three times, and they become overloaded as
// well.
TEST_CASE("resends stay within the quota share of one node") {
    resend_limits limits;
    limits.ratio = 0.2;
    limits.slack = 40;
    limits.window = seconds(10);
    resend_budget budget(limits);
    service_id const service("s");
    instant now{};
    now += seconds(100);
    auto const taken = [&](unsigned nodes) {
        int count = 0;
        while (count < 1'000 && budget.try_consume(service, nodes, now)) {
            ++count;
        }
        return count;
    };

    SUBCASE("without requests a node has its part of the slack") {
        CHECK(taken(4) <= 10);
        CHECK(budget.try_consume(service, 1, now));
    }
    SUBCASE("all nodes together stay within the limit") {
        constexpr unsigned nodes = 4;
        constexpr int requests = 100;
        int sum = 0;
        for (unsigned node = 0; node < nodes; ++node) {
            resend_budget own(limits);
            for (int each = 0; each < requests; ++each) {
                own.on_request(service, now);
            }
            while (own.try_consume(service, nodes, now)) {
                ++sum;
            }
        }
        CHECK(sum <= 0.2 * nodes * requests + 40);
        CHECK(sum >= 80);
    }
    SUBCASE("a window later resends are available again") {
        taken(4);
        CHECK_FALSE(budget.try_consume(service, 4, now));
        now += seconds(12);
        CHECK(budget.try_consume(service, 4, now));
    }
    SUBCASE("services have separate budgets") {
        taken(4);
        CHECK(budget.try_consume(service_id("other"), 4, now));
    }
}

} // namespace camphorpoint
