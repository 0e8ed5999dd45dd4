#include "Fleet/fleet.hpp"
#include "Limits/slot_grants.hpp"

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant const start = instant(seconds(100));

} // namespace

TEST_CASE("the controller of a brittle replica grants its slots") {
    constexpr unsigned slots = 2;
    slot_grants grants(slots, 4, true, start);
    REQUIRE(grants.request({1, 1}, 0, seconds(1), start).granted);
    REQUIRE(grants.request({2, 1}, 0, seconds(1), start).granted);

    SUBCASE("a granted slot is taken before its request is reported") {
        rate_permit const denied = grants.request({3, 1}, 0, seconds(1), start);
        CHECK_FALSE(denied.granted);
        CHECK(denied.wait > duration::zero());
    }
    SUBCASE("a repeated question gets its grant again") {
        CHECK(grants.request({2, 1}, 0, seconds(1), start).granted);
    }
    SUBCASE("requests that wait come back one after the other") {
        duration const first =
            grants.request({3, 1}, 0, seconds(1), start).wait;
        duration const second =
            grants.request({4, 1}, 0, seconds(1), start).wait;
        CHECK(second > first);
    }
    SUBCASE("a reported request is counted once") {
        grants.on_report(1, 0, 1, start + milliseconds(2));
        CHECK_FALSE(
            grants.request({3, 1}, 1, seconds(1), start + milliseconds(2))
                .granted);
        grants.on_report(1, 1, 0, start + milliseconds(9));
        CHECK(grants.request({3, 1}, 0, seconds(1), start + milliseconds(9))
                  .granted);
    }
    // Guards against slots that stay unused because a node has dropped its
    // grant, or its reports were lost.
    SUBCASE("a grant that is not used lapses") {
        CHECK(grants.request({3, 1}, 0, seconds(1), start + milliseconds(250))
                  .granted);
    }
    SUBCASE("a node that reports later has dropped its unused grant") {
        grants.on_report(1, 0, 0, start + max_grant_age);
        CHECK(grants.request({3, 1}, 0, seconds(1), start + max_grant_age)
                  .granted);
    }
}

TEST_CASE("a rejection cuts the room of a brittle replica") {
    constexpr unsigned slots = 8;
    slot_grants grants(slots, 4, true, start);
    REQUIRE(grants.on_rejection({1, 1}, 6, start));
    CHECK(grants.room() == 5);

    SUBCASE("repeated reports of one rejection have no effect") {
        CHECK_FALSE(grants.on_rejection({1, 1}, 6, start));
        CHECK(grants.room() == 5);
    }
    SUBCASE("half of the rejections that it bears pause all grants") {
        REQUIRE(grants.on_rejection({1, 2}, 5, start));
        CHECK_FALSE(grants.request({2, 1}, 0, seconds(1), start).granted);
        CHECK(
            grants.request({2, 1}, 0, seconds(1), start + seconds(1)).granted);
    }
    SUBCASE("the room grows again by single slots") {
        grants.request({2, 1}, 0, seconds(1), start + seconds(1));
        CHECK(grants.room() == 6);
    }
}

// Guards against a controller that grants slots in which requests run that it
// has not been told of.
TEST_CASE("a new controller begins with half of the slots") {
    slot_grants grants(6, 4, false, start);
    CHECK(grants.room() == 3);
    grants.request({1, 1}, 0, seconds(1), start + seconds(1));
    CHECK(grants.room() == 6);
}

TEST_CASE("brittleness holds for all replicas of a service") {
    fleet replicas;
    replica_record record;
    record.service = service_id("s");
    record.id = endpoint_id("first");
    replicas.apply(record, start);
    auto const brittle = [&](char const* id) {
        return replicas.is_brittle(*replicas.find(endpoint_id(id)));
    };
    REQUIRE(replicas.mark_brittle(record.service, 3, start));

    // Guards against a replica that has fallen over and is taken for a sound
    // one when it is back under a new id.
    SUBCASE("also for one that is listed later") {
        record.id = endpoint_id("second");
        replicas.apply(record, start + seconds(1));
        CHECK(brittle("second"));
    }
    SUBCASE("it is news once") {
        CHECK_FALSE(
            replicas.mark_brittle(record.service, 3, start + seconds(1)));
    }
    SUBCASE("an answer to an earlier request does not lift it") {
        replicas.clear_brittle(record.id, start - seconds(1));
        CHECK(brittle("first"));
    }
    SUBCASE("an answer that does not name it lifts it for its replica") {
        record.id = endpoint_id("second");
        replicas.apply(record, start);
        CHECK(replicas.clear_brittle(record.id, start + seconds(1)));
        CHECK_FALSE(brittle("second"));
        CHECK(brittle("first"));
        CHECK(replicas.mark_brittle(record.service, 3, start + seconds(2)));
        CHECK(brittle("second"));
    }
}

// Guards against a controller that goes on refusing slots since the one
// datagram that tells it of the end was lost.
TEST_CASE("the end of brittleness is told to the controller again") {
    fleet replicas;
    replica_record record;
    record.service = service_id("s");
    record.id = endpoint_id("r");
    replicas.apply(record, start);
    auto const tells = [&](bool news, instant now) {
        return replicas.begin_telling_brittleness_end(record.id, news, now);
    };
    CHECK_FALSE(tells(false, start));
    replicas.mark_brittle(record.service, 3, start);
    CHECK_FALSE(tells(false, start));
    CHECK_FALSE(fleet::not_brittle_since(*replicas.find(record.id), start));
    instant const ended = start + milliseconds(1);
    REQUIRE(replicas.clear_brittle(record.id, ended));
    CHECK(fleet::not_brittle_since(*replicas.find(record.id), start));
    CHECK_FALSE(fleet::not_brittle_since(*replicas.find(record.id), ended));

    REQUIRE(tells(true, ended));
    SUBCASE("once a second") {
        CHECK_FALSE(tells(false, ended + milliseconds(999)));
        CHECK(tells(false, ended + seconds(1)));
        CHECK_FALSE(tells(false, ended + seconds(1)));
    }
    SUBCASE("at once when it has ended anew") {
        CHECK(tells(true, ended + milliseconds(1)));
    }
    SUBCASE("for a minute") {
        CHECK(tells(false, start + milliseconds(59'999)));
        CHECK_FALSE(tells(false, start + seconds(61)));
    }
}

} // namespace camphorpoint
