#include "support/membership_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace camphorpoint::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Partitions that the platform deals out: it names at most so many holders.
constexpr std::size_t quota_units = 96;
constexpr std::size_t domains = 5;
/// A node may spend so much on all control.
constexpr double control_bytes_per_s = 5'000;

/// @returns the largest sum of shares while the model goes on
double largest_share_sum(membership_simulation& model, duration span) {
    double most = 0;
    model.run(
        span, [&] { most = std::max(most, model.sum_of_quota_shares()); });
    return most;
}

} // namespace

// Of 200 nodes 104 hold no partition, so the platform's list of holders does
// not name them. They know the holders and are known to them, but never hear
// one another: word of a leaving replica reaches half of the nodes, and by
// their count of 97 they take twice their share of the slack of second sends.
TEST_CASE("every node knows every other, whether it holds a partition or not") {
    membership_simulation model(200, domains, quota_units);
    model.run(seconds(5));
    CHECK(model.nodes_with_full_view() == 200);
    CHECK(model.sum_of_quota_shares() <= 1.0 + 1e-9);

    SUBCASE("also when one datagram in ten is lost") {
        membership_simulation lossy_model(200, domains, quota_units);
        lossy_model.loss = 0.1;
        lossy_model.run(seconds(10));
        CHECK(lossy_model.nodes_with_full_view() == 200);
    }
    SUBCASE("a node that comes later is known to all within seconds") {
        model.nodes[150].down = true;
        model.run(seconds(70));
        REQUIRE(
            model.nodes[0].members.state_of(model.nodes[150].self.id) ==
            std::nullopt);
        model.restart(150, 2);
        model.run(seconds(6));
        CHECK(model.nodes_with_full_view() == 200);
    }
    SUBCASE("a dead one is known to be dead by all") {
        model.nodes[150].down = true;
        model.run(seconds(9));
        auto const dead =
            std::ranges::count_if(model.nodes, [&](simulated_node const& each) {
                return each.members.state_of(model.nodes[150].self.id) ==
                       node_state::dead;
            });
        CHECK(dead == 199);
    }
}

// A failure domain is cut off. Each side takes the other for dead after some
// seconds, divides the slack of second sends among fewer, and both together
// send more than all were allowed: the replicas, which both reach, are flooded.
TEST_CASE(
    "nodes that are cut off from each other share no more than there is") {
    membership_simulation model(100, domains, quota_units);
    model.run(seconds(5));
    model.isolated_domains = {domain_id("domain-0"), domain_id("domain-3")};
    CHECK(largest_share_sum(model, seconds(30)) <= 1.0 + 1e-9);
    model.isolated_domains.clear();
    CHECK(largest_share_sum(model, seconds(20)) <= 1.0 + 1e-9);
    CHECK(model.nodes_with_full_view() == 100);
}

// All processes are killed at the same moment and start again. Each knows only
// whom the platform names, or nobody, and takes a share of that.
TEST_CASE("after a restart of all no node takes another's share for long") {
    membership_simulation model(200, domains, quota_units);
    model.run(seconds(5));
    for (std::size_t index = 0; index < model.nodes.size(); ++index) {
        model.restart(index, 2);
    }
    // In the first two seconds a node that has heard nobody takes all.
    model.run(seconds(2));
    CHECK(largest_share_sum(model, seconds(8)) <= 1.0 + 1e-9);
    CHECK(model.nodes_with_full_view() == 200);
}

// The same from the first moment on: a node that has heard nobody yet takes all
// of the slack of second sends for its own.
TEST_CASE("from a restart of all on no node takes another's share") {
    membership_simulation model(200, domains, quota_units);
    model.run(seconds(5));
    for (std::size_t index = 0; index < model.nodes.size(); ++index) {
        model.restart(index, 2);
    }
    CHECK(largest_share_sum(model, seconds(10)) <= 1.0 + 1e-9);
}

// A node that is alone, as on a developer's machine, must be able to send a
// request again in its first second.
TEST_CASE("a node that is alone takes all there is") {
    membership_simulation model(1, 1, 0);
    model.run(milliseconds(100));
    CHECK(model.sum_of_quota_shares() == doctest::Approx(1));
}

// The time of day of a machine jumps back, and its process starts again: its
// word looks older than that of its former run. Others would hold it for dead
// for good.
TEST_CASE("a node whose clock was set back is believed again") {
    membership_simulation model(20, domains, quota_units);
    model.restart(7, 1'000'000);
    model.run(seconds(5));
    model.restart(7, 10);
    model.run(seconds(15));
    CHECK(model.nodes_with_full_view() == 20);
}

// A few nodes do for all what one could do: read a list, hold partitions. They
// must agree who that is, and small ones must not be swamped by it.
TEST_CASE("nodes agree on their order, those with more of a processor first") {
    membership_simulation model(60, domains, quota_units);
    model.run(seconds(6));
    std::vector<std::size_t> ranks;
    for (simulated_node const& each : model.nodes) {
        ranks.push_back(each.members.capacity_rank());
        bool const has_large_processor = each.self.processor_percent > 12;
        CHECK((each.members.capacity_rank() < 6) == has_large_processor);
    }
    std::ranges::sort(ranks);
    for (std::size_t index = 0; index < ranks.size(); ++index) {
        CHECK(ranks[index] == index);
    }
    SUBCASE("the next one takes the place of one that has died") {
        auto const first =
            std::ranges::find_if(model.nodes, [](auto const& each) {
                return each.members.capacity_rank() == 0;
            });
        first->down = true;
        model.run(seconds(10));
        CHECK(std::ranges::count_if(model.nodes, [](auto const& each) {
                  return !each.down && each.members.capacity_rank() == 0;
              }) == 1);
    }
}

// Telling all names to all costs each node more the more nodes there are. What
// a node spends on knowing the others must not depend on how many there are.
TEST_CASE("to know all costs a node the same at any size") {
    auto const idle_bytes_per_s = [](std::size_t count) {
        membership_simulation model(count, domains, quota_units);
        model.run(seconds(25));
        model.reset_traffic();
        model.run(seconds(10));
        REQUIRE(model.nodes_with_full_view() == count);
        return model.peak_node_bytes_per_s();
    };
    double const at_100 = idle_bytes_per_s(100);
    double const at_400 = idle_bytes_per_s(400);
    MESSAGE("bytes a second at 100 nodes ", at_100, ", at 400 ", at_400);
    CHECK(at_400 < 1.2 * at_100 + 1);
    CHECK(at_400 < control_bytes_per_s / 2);
}

} // namespace camphorpoint::simulation
