#include "common/rate_limiter.hpp"
#include "instances/lagging_list.hpp"
#include "log/log_faults.hpp"
#include "log/record_stream.hpp"
#include "service/call_capacity.hpp"
#include "store/fetch_pace.hpp"

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>

namespace standins {

using camphorpoint::instant;
using std::chrono::milliseconds;

TEST_CASE("the log stand-in keeps records for a time") {
    retention kept;
    kept.records = 2;
    kept.age = milliseconds(100);
    record_stream stream(kept);
    CHECK(stream.append("a", milliseconds(0)) == 0);
    CHECK(stream.append("b", milliseconds(10)) == 1);

    SUBCASE("offsets go on, and a reader learns what is kept") {
        CHECK(stream.append("c", milliseconds(20)) == 2);
        read_answer const answer = stream.read(0, 10);
        CHECK(answer.first == 1);
        CHECK(answer.head == 3);
        REQUIRE(answer.records.size() == 2);
        CHECK(answer.records.front().data == "b");
    }
    SUBCASE("records expire by age") {
        stream.expire(milliseconds(105));
        CHECK(stream.read(0, 10).first == 1);
    }
    SUBCASE("a read takes no more than it asks for") {
        CHECK(stream.read(0, 1).records.size() == 1);
        CHECK(stream.read(9, 10).records.empty());
    }
}

TEST_CASE("the log stand-in's faults") {
    log_faults faults;
    CHECK(faults.reachable("node-1", "graz-a"));

    SUBCASE("an outage is for all") {
        faults.change(json_body(R"({"outage":true})"));
        CHECK_FALSE(faults.reachable("node-1", "graz-a"));
    }
    SUBCASE("a cut is for a failure domain or a node") {
        faults.change(json_body(R"({"cut_from":["graz-a","node-9"]})"));
        CHECK_FALSE(faults.reachable("node-1", "graz-a"));
        CHECK_FALSE(faults.reachable("node-9", "leoben"));
        CHECK(faults.reachable("node-2", "leoben"));
        faults.change(json_body(R"({"cut_from":[]})"));
        CHECK(faults.reachable("node-1", "graz-a"));
    }
    SUBCASE("so many answers are lost, and no more") {
        faults.change(json_body(R"({"lose_answers":1,"lose_requests":1})"));
        CHECK(faults.next_append() == append_fate::answer_lost);
        CHECK(faults.next_append() == append_fate::request_lost);
        CHECK(faults.next_append() == append_fate::normal);
    }
}

TEST_CASE("a rate limit allows a burst and then the rate") {
    rate_limiter limiter(10);
    instant now{};
    int taken = 0;
    for (int each = 0; each < 10; ++each) {
        taken += limiter.take(now) ? 1 : 0;
    }
    CHECK(taken == 2);
    CHECK(limiter.take(now + milliseconds(100)));
    CHECK_FALSE(limiter.take(now + milliseconds(100)));
}

TEST_CASE("the list of instances lags") {
    lagging_list list(milliseconds(1'000));
    boost::json::object const first{
        {"nodes", boost::json::array{}},
        {"endpoints", boost::json::array{boost::json::object{
                          {"id", "engine-1"}, {"state", "live"}}}}};
    instant const start{};
    list.put(first, start);
    auto const endpoints = [&](milliseconds after) {
        return list.read(start + after).at("endpoints").as_array();
    };
    CHECK(endpoints(milliseconds(999)).empty());
    CHECK(endpoints(milliseconds(1'000)).size() == 1);

    SUBCASE("a leaving endpoint shows when the lag has passed") {
        CHECK(
            list.set_state("engine-1", "leaving", start + milliseconds(2'000)));
        CHECK(endpoints(milliseconds(2'999))[0].at("state") == "live");
        CHECK(endpoints(milliseconds(3'000))[0].at("state") == "leaving");
    }
    SUBCASE("an endpoint is taken off") {
        CHECK(list.remove("engine-1", start + milliseconds(2'000)));
        CHECK(endpoints(milliseconds(3'000)).empty());
        CHECK_FALSE(list.remove("engine-1", start + milliseconds(4'000)));
    }
}

TEST_CASE("a crowded service slows down, then refuses") {
    call_capacity capacity(1, milliseconds(10));
    REQUIRE(capacity.begin());
    CHECK(capacity.time() == milliseconds(10));
    REQUIRE(capacity.begin());
    CHECK(capacity.time() == milliseconds(40));
    CHECK_FALSE(capacity.begin());
    capacity.end();
    CHECK(capacity.begin());
}

TEST_CASE("the weight store keeps its rate and shares its speed") {
    fetch_settings settings;
    settings.per_second = 10;
    settings.full_speed = 1;
    settings.time = milliseconds(50);
    fetch_pace pace(settings);
    instant const now{};
    CHECK(pace.begin(now, 1) == milliseconds(50));
    // The second waits its tenth of a second, then has half the speed.
    CHECK(pace.begin(now, 1) == milliseconds(200));
    pace.end();
    pace.end();
    CHECK(pace.begin(now + milliseconds(300), 2) == milliseconds(100));
}

} // namespace standins
