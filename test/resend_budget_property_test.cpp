#include "test/support/resend_simulation.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::node_outage;
using testing::resend_scenario;
using testing::rolling_restart;
using testing::simulate_resends;
using testing::time_span;

namespace {

/// The limits of the deployment on which the incident was seen.
resend_limits incident_limits() {
    resend_limits limits;
    limits.ratio = 0.2;
    limits.slack = 58;
    return limits;
}

/// A deployment of the given size, whose replicas reject most requests for a
/// while.
resend_scenario deployment(std::size_t nodes, std::uint64_t seed) {
    resend_scenario result;
    result.nodes = nodes;
    result.requests_per_second = 15.0 * static_cast<double>(nodes);
    result.rejecting = {seconds(25), seconds(50)};
    result.seed = seed;
    return result;
}

void append(std::vector<node_outage>& to, std::vector<node_outage> more) {
    to.insert(to.end(), more.begin(), more.end());
}

} // namespace

// Guards against resends beyond the budget of all nodes together: a restarted
// node does not know what its earlier process has spent in the same window, and
// a new holder of a partition does not know what the last one has spent.
TEST_CASE("resends of all nodes stay within the budget across restarts") {
    for (std::size_t const nodes : {1U, 3U, 9U, 90U, 1'900U}) {
        std::uint64_t const seeds = nodes > 90 ? 1 : 6;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            resend_limits const limits = incident_limits();
            resend_scenario scenario = deployment(nodes, seed);
            auto const interval = milliseconds(3'600) / static_cast<int>(nodes);
            CAPTURE(nodes);
            CAPTURE(seed);
            {
                INFO("calm nodes");
                auto const calm = simulate_resends(scenario, limits);
                CHECK(calm.worst_excess(limits) <= 0);
            }
            {
                INFO("all nodes restart one after the other, twice");
                scenario.outages = rolling_restart(
                    nodes, seconds(27), interval, milliseconds(700));
                append(
                    scenario.outages, rolling_restart(
                                          nodes, milliseconds(31'500), interval,
                                          milliseconds(700)));
                auto const trace = simulate_resends(scenario, limits);
                CHECK(trace.worst_excess(limits) <= 0);
            }
            {
                INFO("some nodes cannot reach the store meanwhile");
                std::size_t const cut = (nodes + 2) / 3;
                scenario.store_cuts = {{0, cut, {seconds(26), seconds(36)}}};
                auto const trace = simulate_resends(scenario, limits);
                CHECK(trace.worst_excess(limits) <= 0);
                scenario.store_cuts.clear();
            }
            {
                INFO("all nodes restart at once, three times");
                scenario.outages = {
                    {0, nodes, {milliseconds(26'000), milliseconds(26'400)}},
                    {0, nodes, {milliseconds(29'000), milliseconds(29'400)}},
                    {0, nodes, {milliseconds(32'000), milliseconds(32'400)}}};
                auto const trace = simulate_resends(scenario, limits);
                CHECK(trace.worst_excess(limits) <= 0);
            }
            {
                INFO("a third of the nodes is lost for good");
                scenario.outages = {
                    {0, nodes / 3, {milliseconds(25'500), seconds(60)}}};
                auto const trace = simulate_resends(scenario, limits);
                CHECK(trace.worst_excess(limits) <= 0);
            }
        }
    }
}

// Guards against a budget that is kept by resending nothing.
TEST_CASE("rejected requests are resent while the budget allows it") {
    resend_limits const limits = incident_limits();
    auto const used = [&](resend_scenario const& scenario, time_span span) {
        return simulate_resends(scenario, limits).used_fraction(limits, span);
    };
    std::vector<std::size_t> const sizes = {1, 9, 90, 1'900};

    SUBCASE("most of the budget is used by calm nodes") {
        for (std::size_t const nodes : sizes) {
            CAPTURE(nodes);
            CHECK(
                used(deployment(nodes, 1), {seconds(35), seconds(50)}) >= 0.7);
        }
    }
    SUBCASE("most of a window's budget is available at once") {
        for (std::size_t const nodes : sizes) {
            CAPTURE(nodes);
            CHECK(
                used(deployment(nodes, 1), {seconds(25), seconds(35)}) >= 0.6);
        }
    }
    SUBCASE("a part of it is available right after a restart of all") {
        for (std::size_t const nodes : sizes) {
            CAPTURE(nodes);
            resend_scenario scenario = deployment(nodes, 1);
            scenario.outages = {
                {0, nodes, {milliseconds(29'500), milliseconds(30'000)}}};
            CHECK(used(scenario, {seconds(30), seconds(40)}) >= 0.2);
        }
    }
}

} // namespace camphorpoint
