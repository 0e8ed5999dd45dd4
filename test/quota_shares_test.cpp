#include "support/membership_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>

namespace camphorpoint::simulation {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t partitions = 96;
constexpr std::size_t domains = 5;
constexpr double all_there_is = 1.0 + 1e-9;

double largest_sum(membership_simulation& model, duration span) {
    double most = 0;
    model.run(
        span, [&] { most = std::max(most, model.sum_of_quota_shares()); });
    return most;
}

void restart_all(membership_simulation& model, std::uint64_t run) {
    for (std::size_t index = 0; index < model.nodes.size(); ++index) {
        model.restart(index, run);
    }
}

/// One thing that happens to the nodes and the ways between them.
void disturb(
    membership_simulation& model, std::mt19937_64& random, std::uint64_t run) {
    constexpr std::array<double, 4> losses{0.0, 0.1, 0.5, 0.9};
    std::size_t const which = random() % model.nodes.size();
    switch (random() % 6) {
    case 0:
        restart_all(model, run);
        break;
    case 1:
        model.restart(which, run);
        break;
    case 2:
        model.loss = losses[random() % losses.size()];
        break;
    case 3:
        model.isolated_domains = {model.nodes[which].self.domain};
        break;
    case 4:
        model.isolated_domains.clear();
        break;
    default:
        for (std::size_t each = 0; each < model.nodes.size(); each += 2) {
            model.restart(each, run);
        }
    }
}

} // namespace

// Guards against nodes that take too much of a common limit, since loss keeps
// them from hearing of each other after a restart of all.
TEST_CASE("shares add up to the limit at most on a way that loses datagrams") {
    for (double const loss : {0.1, 0.3, 0.5}) {
        CAPTURE(loss);
        membership_simulation model(200, domains, partitions);
        model.run(seconds(5));
        model.loss = loss;
        restart_all(model, 2);
        CHECK(largest_sum(model, seconds(15)) <= all_there_is);
    }
}

// Guards against the same where one failure domain hears no other.
TEST_CASE("shares add up to the limit at most while a domain is cut off") {
    membership_simulation model(200, domains, partitions);
    model.run(seconds(5));
    model.isolated_domains = {domain_id("domain-0")};
    restart_all(model, 2);
    CHECK(largest_sum(model, seconds(20)) <= all_there_is);
    model.isolated_domains.clear();
    CHECK(largest_sum(model, seconds(10)) <= all_there_is);
}

TEST_CASE("shares add up to the limit at most at 400 nodes") {
    membership_simulation model(400, domains, partitions);
    model.run(seconds(5));
    restart_all(model, 2);
    CHECK(largest_sum(model, seconds(15)) <= all_there_is);
}

// Guards against nodes that keep within the limit by using none of it.
TEST_CASE("each node has a tenth of an equal share at the least") {
    for (std::size_t const count : {2U, 9U, 66U, 200U}) {
        CAPTURE(count);
        membership_simulation model(count, domains, partitions);
        model.run(seconds(5));
        restart_all(model, 2);
        model.run(seconds(15));
        constexpr double least_part = 0.1;
        for (simulated_node const& each : model.nodes) {
            double const share = each.members.quota_share(model.now);
            CHECK(share * static_cast<double>(count) >= least_part);
        }
        CHECK(model.sum_of_quota_shares() >= 0.9);
        CHECK(model.sum_of_quota_shares() <= all_there_is);
    }
}

// Guards against a node that can't send again since the holder it borrows from
// has died.
TEST_CASE("a node without a part borrows from another holder when one dies") {
    membership_simulation model(120, domains, partitions);
    model.run(seconds(12));
    for (std::size_t each = 0; each < partitions / 2; ++each) {
        model.nodes[each].down = true;
    }
    model.run(seconds(12));
    for (std::size_t each = partitions; each < model.nodes.size(); ++each) {
        CHECK(model.nodes[each].members.quota_share(model.now) > 0);
    }
    CHECK(model.sum_of_quota_shares() <= all_there_is);
}

// Guards against any order of restarts, losses and cuts that was not thought
// of.
TEST_CASE("shares add up to the limit at most whatever happens") {
    // More by hand: LIMIT_SHARES_SEEDS names how many.
    char const* const more = std::getenv("LIMIT_SHARES_SEEDS");
    std::uint64_t const seeds =
        more == nullptr ? 10 : std::strtoull(more, nullptr, 10);
    constexpr int events = 12;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        std::size_t const count = 2 + random() % 150;
        membership_simulation model(count, domains, partitions, seed);
        double most = 0;
        for (std::uint64_t event = 0; event < events; ++event) {
            disturb(model, random, event + 2);
            milliseconds const until_next(random() % 5'000);
            most = std::max(most, largest_sum(model, until_next));
        }
        CHECK(most <= all_there_is);
    }
}

} // namespace camphorpoint::simulation
