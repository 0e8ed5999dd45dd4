#include <Camphorpoint/Delivery>

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

using std::chrono::seconds;

// A florist's booking is sent to a replica, whose connection breaks. Told "not
// run", the caller books again, and the booking stands twice. "Not run" may be
// said only while nothing was written or the replica itself said so.
TEST_CASE("whether a request has run") {
    attempt_ledger booking(false);
    booking.begin();

    SUBCASE("nothing was written: it has not run and may go elsewhere") {
        CHECK_FALSE(booking.may_run());
        CHECK(booking.may_send_again());
        CHECK(booking.sends() == 0);
    }
    SUBCASE("a byte was written: it may run, now or later") {
        booking.written();
        CHECK(booking.may_run());
        CHECK_FALSE(booking.may_send_again());

        SUBCASE("the replica says that it has not run it") {
            booking.not_executed();
            CHECK_FALSE(booking.may_run());
            CHECK(booking.may_send_again());
        }
        SUBCASE("the replica begins to answer, and breaks off") {
            booking.answering();
            CHECK(booking.may_run());
            CHECK_FALSE(booking.may_send_again());
        }
        SUBCASE("a whole answer has come") {
            booking.answering();
            booking.ended();
            CHECK(booking.may_run());
        }
    }
    SUBCASE("a first attempt that may run taints the ones after it") {
        attempt_ledger lookup(true);
        lookup.begin();
        lookup.written();
        lookup.begin();
        CHECK(lookup.may_run());
        lookup.written();
        lookup.not_executed();
        CHECK(lookup.may_run());
        CHECK(lookup.may_send_again());
        CHECK(lookup.sends() == 2);
    }
}

// A quarter of the replicas crashes. Every request comes to the others a second
// and a third time, and they go down under it too.
TEST_CASE("second sends keep to the share of one node") {
    second_send_limits limits;
    limits.ratio = 0.2;
    limits.slack = 40;
    limits.window = seconds(10);
    second_send_budget budget(limits);
    service_id const service("s");
    instant now{};
    now += seconds(100);
    auto const taken = [&](unsigned nodes) {
        int count = 0;
        while (count < 1'000 && budget.take(service, nodes, now)) {
            ++count;
        }
        return count;
    };

    SUBCASE("with no requests a node has its part of the slack") {
        CHECK(taken(4) <= 10);
        CHECK(budget.take(service, 1, now));
    }
    SUBCASE("all nodes together stay below the bound") {
        constexpr unsigned nodes = 4;
        constexpr int requests = 100;
        int sum = 0;
        for (unsigned node = 0; node < nodes; ++node) {
            second_send_budget own(limits);
            for (int each = 0; each < requests; ++each) {
                own.on_request(service, now);
            }
            while (own.take(service, nodes, now)) {
                ++sum;
            }
        }
        CHECK(sum <= 0.2 * nodes * requests + 40);
        CHECK(sum >= 80);
    }
    SUBCASE("a window later there is room again") {
        taken(4);
        CHECK_FALSE(budget.take(service, 4, now));
        now += seconds(12);
        CHECK(budget.take(service, 4, now));
    }
    SUBCASE("services do not share it") {
        taken(4);
        CHECK(budget.take(service_id("other"), 4, now));
    }
}

} // namespace camphorpoint
