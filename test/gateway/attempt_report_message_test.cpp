#include "Gateway/peer_datagram.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace camphorpoint;

// Guards against a signal that receivers take for a damaged message: the whole
// datagram would be dropped, with the count of running requests in it.
TEST_CASE("each outcome of an attempt is read as it was written") {
    for (health_signal const signal :
         {health_signal::answered, health_signal::failed,
          health_signal::truncated, health_signal::no_response,
          health_signal::rejected}) {
        peer_datagram sent;
        sent.from = "127.0.0.1:1";
        peer_attempt_report report;
        report.replica = 7;
        report.signal = signal;
        report.event_interval_us = 40'000;
        report.probe = true;
        sent.attempt_reports.push_back(report);
        auto const read = decode_peer_datagram(encode(sent));
        REQUIRE(read);
        REQUIRE(read->attempt_reports.size() == 1);
        peer_attempt_report const& each = read->attempt_reports.front();
        CHECK(each.replica == 7);
        CHECK(each.signal == signal);
        CHECK(each.event_interval_us == 40'000);
        CHECK(each.probe);
    }
}

// Guards against a list that is left out of the datagram, or read as another.
TEST_CASE("what a controller has learnt is read as it was written") {
    peer_datagram sent;
    sent.from = "127.0.0.1:1";
    peer_replica_usage usage;
    usage.replica = 9;
    usage.failure_permille = 250;
    usage.interval_ticks = 900;
    usage.token_ticks = 340;
    usage.slowdown_percent = 250;
    usage.slowdown_age_ms = 120;
    usage.flags = usage_avoided | usage_probe_permitted;
    sent.replica_usages.push_back(usage);
    sent.slowdowns.push_back({9, 250});
    sent.brittleness_ends.push_back({9, 70});
    auto const read = decode_peer_datagram(encode(sent));
    REQUIRE(read);
    REQUIRE(read->replica_usages.size() == 1);
    REQUIRE(read->slowdowns.size() == 1);
    peer_replica_usage const& each = read->replica_usages.front();
    CHECK(each.failure_permille == 250);
    CHECK(each.interval_ticks == 900);
    CHECK(each.token_ticks == 340);
    CHECK(each.slowdown_percent == 250);
    CHECK(each.slowdown_age_ms == 120);
    CHECK(each.flags == (usage_avoided | usage_probe_permitted));
    CHECK(read->slowdowns.front().percent == 250);
    REQUIRE(read->brittleness_ends.size() == 1);
    CHECK(read->brittleness_ends.front().replica == 9);
    CHECK(read->brittleness_ends.front().age_ms == 70);
}
