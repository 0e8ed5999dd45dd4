#include "support/membership_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace camphorpoint::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Quota units that the platform assigns, each to one node. It names only their
/// holders to the nodes, so at most this many.
constexpr std::size_t quota_units = 96;
constexpr std::size_t domains = 5;
/// Limit of a node's control traffic.
constexpr double control_bytes_per_s = 5'000;

/// @returns the largest sum of quota shares during the time span
double largest_share_sum(membership_simulation& model, duration span) {
    double most = 0;
    model.run(
        span, [&] { most = std::max(most, model.sum_of_quota_shares()); });
    return most;
}

} // namespace

// Guards against nodes that never learn of each other because they hold no
// quota unit: of 200 nodes the platform names only the 96 holders. If the other
// 104 knew only the holders, a report of a leaving replica would reach half of
// the nodes, and with a member count of 97 each would take twice its quota
// share of the budget for retries.
TEST_CASE("every node knows all nodes, with and without quota units") {
    membership_simulation model(200, domains, quota_units);
    model.run(seconds(5));
    CHECK(model.nodes_with_full_view() == 200);
    CHECK(model.sum_of_quota_shares() <= 1.0 + 1e-9);

    SUBCASE("one datagram in ten is lost") {
        membership_simulation lossy_model(200, domains, quota_units);
        lossy_model.loss = 0.1;
        lossy_model.run(seconds(10));
        CHECK(lossy_model.nodes_with_full_view() == 200);
    }
    SUBCASE("a node that starts later is known to all within seconds") {
        model.nodes[150].down = true;
        model.run(seconds(70));
        REQUIRE(
            model.nodes[0].members.state_of(model.nodes[150].self.id) ==
            std::nullopt);
        model.restart(150, 2);
        model.run(seconds(6));
        CHECK(model.nodes_with_full_view() == 200);
    }
    SUBCASE("all nodes see a dead node as dead") {
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

// Guards against overload of the replicas in a network partition. Each side
// declares the other dead after some seconds; if it then divided the budget for
// retries among fewer nodes, both sides together would send more than the
// budget to the replicas, which both can reach.
TEST_CASE("quota shares add up to at most the limit in a network partition") {
    membership_simulation model(100, domains, quota_units);
    model.run(seconds(5));
    model.isolated_domains = {domain_id("domain-0"), domain_id("domain-3")};
    CHECK(largest_share_sum(model, seconds(30)) <= 1.0 + 1e-9);
    model.isolated_domains.clear();
    CHECK(largest_share_sum(model, seconds(20)) <= 1.0 + 1e-9);
    CHECK(model.nodes_with_full_view() == 100);
}

// Guards against quota shares that exceed the limit after all processes were
// killed at the same moment and restarted: each node then knows only the nodes
// that the platform names, or none.
TEST_CASE("soon after a restart of all nodes the quota shares fit the limit") {
    membership_simulation model(200, domains, quota_units);
    model.run(seconds(5));
    for (std::size_t index = 0; index < model.nodes.size(); ++index) {
        model.restart(index, 2);
    }
    // Skips the first two seconds, in which a node that has received no message
    // knows too few others. The next test covers them.
    model.run(seconds(2));
    CHECK(largest_share_sum(model, seconds(8)) <= 1.0 + 1e-9);
    CHECK(model.nodes_with_full_view() == 200);
}

// Guards against the same fault from the first moment on: a node that has
// received no message yet takes the entire budget for retries.
TEST_CASE(
    "at no time after a restart of all nodes do the shares exceed the limit") {
    membership_simulation model(200, domains, quota_units);
    model.run(seconds(5));
    for (std::size_t index = 0; index < model.nodes.size(); ++index) {
        model.restart(index, 2);
    }
    CHECK(largest_share_sum(model, seconds(10)) <= 1.0 + 1e-9);
}

// Guards against a single node, as on a developer's machine, that cannot retry
// a request in its first second.
TEST_CASE("a single node has the entire quota") {
    membership_simulation model(1, 1, 0);
    model.run(milliseconds(100));
    CHECK(model.sum_of_quota_shares() == doctest::Approx(1));
}

// Guards against a node that stays dead to the others after the clock of its
// instance was set back and its process restarted: its messages look older than
// those of its former process.
TEST_CASE("a node whose clock was set back becomes live again") {
    membership_simulation model(20, domains, quota_units);
    model.restart(7, 1'000'000);
    model.run(seconds(5));
    model.restart(7, 10);
    model.run(seconds(15));
    CHECK(model.nodes_with_full_view() == 20);
}

// Guards against disagreement about the few nodes that do a task on behalf of
// all, such as reading a list or holding partitions, and against overload of
// nodes with a small CPU share by such tasks.
TEST_CASE("nodes agree on their ranks, those with a larger CPU share first") {
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
    SUBCASE("another node takes over the rank of a dead one") {
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

// Guards against membership traffic per node that grows with the number of
// nodes, as it would if each node sent all ids to all others.
TEST_CASE(
    "membership traffic per node does not depend on the number of nodes") {
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
