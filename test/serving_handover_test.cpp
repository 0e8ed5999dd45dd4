#include "test/support/cluster.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

namespace camphorpoint {

namespace {

using test::milliseconds;

profile booking_profile() {
    profile result;
    result.name = profile_name("booking");
    result.model = model_id("base");
    result.adapter = {adapter_id("booking"), 1};
    result.idempotent = false;
    return result;
}

/// Cluster that receives bookings, each with a new key, at chosen nodes.
struct booking_cluster : test::cluster {
    booking_cluster()
        : cluster(5, 3) {
        publish(booking_profile());
    }
    /// Sends a booking every 25 ms for the given time, to the entry nodes in
    /// turn.
    void book(milliseconds time, std::vector<std::size_t> const& entries) {
        constexpr milliseconds period{25};
        for (milliseconds done{}; done < time; done += period) {
            caller_request result;
            result.id = request_id(fmt::format("b{}", booked));
            result.profile = profile_name("booking");
            result.deadline = milliseconds(10'000);
            result.key = new_key();
            post(entries[booked % entries.size()], result);
            ++booked;
            run(period);
        }
    }
    std::size_t count_endings(reason why) const {
        std::size_t count = 0;
        for (auto const& [id, ends] : endings) {
            for (finish_request const& each : ends) {
                count += each.why == why ? 1 : 0;
            }
        }
        return count;
    }
    std::size_t count_begun_twice() const {
        std::size_t count = 0;
        for (std::size_t each = 0; each < booked; ++each) {
            count += begun(fmt::format("b{}", each)) > 1 ? 1 : 0;
        }
        return count;
    }
    void
    restart_nodes(std::vector<std::size_t> const& which, milliseconds time) {
        for (std::size_t const node : which) {
            kill(node);
        }
        run(time);
        for (std::size_t const node : which) {
            start(node);
        }
    }
    void drain(std::size_t node) { bring(node, drain_started{}); }

    std::size_t booked = 0;
};

} // namespace

// Guards against bookings that end as "unknown" during a rolling restart
// although no node crashed; each would need a manual check. A node drains while
// bookings continue at other nodes. When a key shard passes to its next owner
// without its table, that owner treats it as after a crash and has no knowledge
// of keys generated up to 1.5 s after its claim.
TEST_CASE("planned shutdowns leave no booking with an unknown outcome") {
    booking_cluster all;
    milliseconds const settled{40'000};

    SUBCASE("first claims of a new cluster: no node can have run a request") {
        all.book(milliseconds(20'000), {0, 1, 2});
    }
    SUBCASE("one node drains and exits") {
        all.run(settled);
        all.drain(4);
        all.book(milliseconds(8'000), {0, 1, 2});
        CHECK(all.nodes[4].drained);
        all.kill(4);
        all.book(milliseconds(20'000), {0, 1, 2});
    }
    SUBCASE("two nodes drain at once and are each other's successors") {
        all.run(settled);
        all.drain(3);
        all.drain(4);
        // Shorter than the timeout of an unanswered handover offer.
        all.book(milliseconds(1'800), {0, 1, 2});
        CHECK(all.nodes[3].drained);
        CHECK(all.nodes[4].drained);
        all.kill(3);
        all.kill(4);
        all.book(milliseconds(20'000), {0, 1, 2});
    }
    SUBCASE("a node drains while it takes over from a draining node") {
        all.run(settled);
        milliseconds between{};
        SUBCASE("offers are accepted, releases are not yet appended") {
            between = milliseconds(3);
        }
        SUBCASE("releases are appended, but not yet read") {
            between = milliseconds(150);
        }
        SUBCASE("releases have just been read") {
            between = milliseconds(600);
        }
        all.drain(3);
        all.book(between, {0, 1, 2});
        all.drain(4);
        all.book(milliseconds(15'000), {0, 1, 2});
        CHECK(all.nodes[3].drained);
        CHECK(all.nodes[4].drained);
        all.kill(3);
        all.kill(4);
        all.book(milliseconds(20'000), {0, 1, 2});
    }
    SUBCASE("a node exits as soon as it is drained") {
        SUBCASE("all nodes read the log at the same times") {
            all.run(settled);
        }
        SUBCASE(
            "it leaves the platform's list before others read its releases") {
            // Nodes receive the platform's list at 0 ms of each half second.
            // Since all nodes start while the log is down, each becomes owner
            // of its own part of the resources once the log is back, and writes
            // no further records.
            all.log.down = true;
            all.restart_nodes({0, 1, 2, 4}, milliseconds(120));
            all.restart_nodes({3}, milliseconds(100));
            all.run(milliseconds(5'000));
            all.log.down = false;
            all.run(settled);
        }
        SUBCASE("others receive its offer before they read its claims") {
            // Nodes receive the platform's list at 0 ms of each half second.
            all.kill(0);
            all.kill(1);
            all.kill(2);
            all.restart_nodes({3, 4}, milliseconds(220));
            all.restart_nodes({0, 1, 2}, milliseconds(400));
            all.run(settled);
        }
        for (std::size_t const node : {3U, 4U}) {
            all.drain(node);
            for (int waits = 0; !all.nodes[node].drained && waits < 1'200;
                 ++waits) {
                all.book(milliseconds(25), {0, 1, 2});
            }
            REQUIRE(all.nodes[node].drained);
            all.kill(node);
        }
        all.book(milliseconds(20'000), {0, 1, 2});
    }
    all.run(milliseconds(15'000));
    CHECK(all.count_endings(reason::key_unknown_after_takeover) == 0);
    CHECK(all.count_endings(reason::key_entry_lost) == 0);
    CHECK(all.count_begun_twice() == 0);
    CHECK(all.count_endings(reason::none) > all.booked / 2);
}

// Guards against the same failure when the successor drains as well, at each
// moment between the offer and its first ticks as owner of the shards.
TEST_CASE("a successor drains at any moment of the handover") {
    std::size_t unknown = 0;
    std::size_t twice = 0;
    for (milliseconds gap{5}; gap < milliseconds(600); gap += tick_period) {
        booking_cluster all;
        all.kill(4);
        all.run(milliseconds(20'000));
        // The node runs too briefly to gain resources other than by a handover.
        all.start(4);
        all.run(milliseconds(8'000));
        all.drain(3);
        all.run(gap);
        all.drain(4);
        for (int waits = 0; !all.nodes[4].drained && waits < 400; ++waits) {
            all.book(milliseconds(25), {0, 1, 2});
        }
        REQUIRE(all.nodes[4].drained);
        all.kill(4);
        all.book(milliseconds(10'000), {0, 1, 2});
        all.run(milliseconds(10'000));
        unknown += all.count_endings(reason::key_unknown_after_takeover);
        twice += all.count_begun_twice();
    }
    CHECK(unknown == 0);
    CHECK(twice == 0);
}

} // namespace camphorpoint
