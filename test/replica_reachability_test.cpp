#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a node that takes its own lost links for replicas that have
// stopped, and against one that takes a few stopped replicas for lost links.
TEST_CASE("a node doubts its links when several replicas fail in a row") {
    instant now = instant() + seconds(100);
    replica_reachability links;
    endpoint_id const first("a");
    endpoint_id const second("b");

    SUBCASE("one replica that cannot be reached has stopped") {
        links.on_connect_failed(first, now);
        links.on_connect_failed(first, now);
        CHECK_FALSE(links.in_doubt(now));
        CHECK_FALSE(links.probe_due(now));

        SUBCASE("unless a request has no other replica left") {
            links.on_replicas_exhausted(now);
            CHECK(links.probe_due(now));
        }
    }
    SUBCASE("failures far apart are unrelated") {
        links.on_connect_failed(first, now);
        links.on_connect_failed(second, now + seconds(3));
        CHECK_FALSE(links.in_doubt(now + seconds(3)));
    }
    SUBCASE("an answer between two missing ones shows that links work") {
        links.on_answer_missing(first, now);
        links.on_answered();
        links.on_answer_missing(second, now);
        CHECK_FALSE(links.in_doubt(now));
    }
    SUBCASE("an answer over an open connection proves no new connection") {
        links.on_connect_failed(first, now);
        links.on_answered();
        links.on_connect_failed(second, now);
        CHECK(links.in_doubt(now));
    }
    SUBCASE("a new connection ends the doubt") {
        links.on_connect_failed(first, now);
        links.on_connect_failed(second, now);
        links.on_connected(first);
        CHECK_FALSE(links.in_doubt(now));
    }
    // Guards against refusals of a node that reaches only some replicas.
    SUBCASE("its links count as partly cut until the replicas are reached") {
        links.on_connect_failed(first, now);
        CHECK(links.links(now) == replica_links::intact);
        links.on_connect_failed(second, now);
        links.on_connected(endpoint_id("c"));
        CHECK(links.links(now) == replica_links::partly_cut);
        links.on_connected(first);
        CHECK(links.links(now) == replica_links::intact);
    }
    SUBCASE("a probe decides") {
        links.on_connect_failed(first, now);
        links.on_connect_failed(second, now);
        REQUIRE(links.probe_due(now));
        CHECK_FALSE(links.probe_due(now));
        CHECK_FALSE(links.partitioned());

        SUBCASE("one probed replica is reached: the others have stopped") {
            CHECK_FALSE(links.on_probe_result(true, now));
            CHECK_FALSE(links.partitioned());
            CHECK_FALSE(links.in_doubt(now));
        }
        SUBCASE("none is reached: the node is partitioned") {
            CHECK(links.on_probe_result(false, now));
            CHECK(links.partitioned());
            CHECK(links.links(now) == replica_links::cut);
            CHECK(links.in_doubt(now + seconds(60)));

            SUBCASE("it probes again until one is reached") {
                CHECK_FALSE(links.probe_due(now));
                now += milliseconds(500);
                REQUIRE(links.probe_due(now));
                CHECK(links.on_probe_result(true, now));
                CHECK_FALSE(links.partitioned());
                CHECK_FALSE(links.probe_due(now + seconds(1)));
            }
        }
    }
}

} // namespace camphorpoint
