#include "test/support/stream_simulation.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::origin_policy;
using testing::simulate;
using testing::stream_scenario;
using testing::stream_trace;

namespace {

/// The share of resumptions that go on is judged from this number on.
constexpr std::size_t min_judged = 12;
/// Least share of resumptions that go on, where all new streams begin.
constexpr double min_went_on = 0.5;

void check_continuity(stream_scenario const& scenario) {
    stream_trace const trace = simulate(scenario);
    INFO(
        "nodes " << scenario.nodes << ", seed " << scenario.seed << ", begun "
                 << trace.begun << ", resumed " << trace.resumed);
    CHECK(trace.mixed == 0);
    if (trace.resumed >= min_judged) {
        CHECK(trace.went_on_fraction() >= min_went_on);
    }
}

stream_scenario with_nodes(std::size_t nodes) {
    stream_scenario scenario;
    scenario.nodes = nodes;
    scenario.releases = {{milliseconds(5'000), "v2"}};
    return scenario;
}

/// All nodes are killed when the old version has just left.
stream_scenario killed_after_release(std::size_t nodes, origin_policy policy) {
    stream_scenario scenario = with_nodes(nodes);
    scenario.releases.front().gap = milliseconds(100);
    scenario.kills = {{0, nodes, milliseconds(11'000)}};
    scenario.resumed_within = milliseconds(8'000);
    scenario.policy = policy;
    return scenario;
}

/// Releases forth and back, kills of single nodes, of a domain and of all, cuts
/// from the registry and loss, at random times.
stream_scenario random_scenario(std::uint64_t seed) {
    std::mt19937_64 random(seed);
    auto const below = [&](std::uint64_t limit) {
        return random() % limit;
    };
    auto const time = [&] {
        return milliseconds(100) * static_cast<int>(below(550));
    };
    stream_scenario scenario;
    scenario.seed = seed;
    scenario.nodes = std::size_t{2} + below(below(4) == 0 ? 120 : 12);
    scenario.warm_up = milliseconds(below(2) == 0 ? 10'000 : 75'000);
    scenario.datagram_loss = 0.05 * static_cast<double>(below(5));
    char const* const versions[] = {"v1", "v2", "v3"};
    std::size_t const releases = 1 + below(3);
    for (std::size_t each = 0; each < releases; ++each) {
        scenario.releases.push_back(
            {time(), versions[below(3)], milliseconds(100 + below(900)),
             0.25 * static_cast<double>(1 + below(4))});
    }
    std::ranges::sort(scenario.releases, {}, &testing::simulated_release::at);
    std::size_t const kills = below(5);
    for (std::size_t each = 0; each < kills; ++each) {
        std::size_t const sizes[] = {
            1, 2, std::max<std::size_t>(1, scenario.nodes / 3), scenario.nodes};
        scenario.kills.push_back(
            {below(scenario.nodes), sizes[below(4)], time(),
             milliseconds(500 + 100 * below(20))});
    }
    if (below(3) == 0) {
        scenario.cuts.push_back(
            {below(scenario.nodes), 1 + below(2), time(), milliseconds(5'000)});
    }
    return scenario;
}

} // namespace

// Guards against streams whose events come from two software versions, and
// against resumptions that are refused although their version serves, whatever
// nodes are killed during a release.
TEST_CASE("streams go on only at their software version, on 1 to 1,900 nodes") {
    for (std::size_t const nodes : {1U, 2U, 7U, 90U, 195U, 1'900U}) {
        stream_scenario scenario = with_nodes(nodes);
        if (nodes > 1'000) {
            scenario.length = milliseconds(20'000);
        }
        SUBCASE("a release") {
            check_continuity(scenario);
        }
        SUBCASE("a release after a long time with one version") {
            scenario.warm_up = milliseconds(75'000);
            check_continuity(scenario);
        }
        SUBCASE("the node that began the streams is killed") {
            scenario.kills = {{0, 1, milliseconds(8'000)}};
            check_continuity(scenario);
        }
        SUBCASE("a failure domain is killed") {
            scenario.kills = {
                {0, std::max<std::size_t>(1, nodes / 3), milliseconds(8'000)}};
            check_continuity(scenario);
        }
        SUBCASE("all nodes are killed") {
            scenario.kills = {{0, nodes, milliseconds(8'000)}};
            check_continuity(scenario);
        }
        SUBCASE("one datagram in five is lost") {
            scenario.datagram_loss = 0.2;
            scenario.kills = {{0, 1, milliseconds(8'000)}};
            check_continuity(scenario);
        }
    }
}

// Guards against nodes that all start after the old version has left and take
// the new one for the only one.
TEST_CASE("streams are not joined after all nodes were killed in a release") {
    stream_scenario scenario = with_nodes(7);
    scenario.releases.front().gap = milliseconds(100);
    scenario.resumed_within = milliseconds(8'000);
    SUBCASE("before it") {
        scenario.kills = {{0, 7, milliseconds(4'000)}};
    }
    SUBCASE("during it") {
        scenario.kills = {{0, 7, milliseconds(5'600)}};
    }
    SUBCASE("when the old version has just left") {
        scenario.kills = {{0, 7, milliseconds(7'500)}};
    }
    SUBCASE("seconds after it") {
        scenario.kills = {{0, 7, milliseconds(12'000)}};
    }
    SUBCASE("while all nodes are cut from the store") {
        scenario.kills = {{0, 7, milliseconds(8'000)}};
        scenario.cuts = {{0, 7, milliseconds(4'500), milliseconds(5'000)}};
    }
    check_continuity(scenario);
    // Breaks off nearly all streams that run.
    scenario.kills.push_back({0, 7, milliseconds(20'000)});
    check_continuity(scenario);
}

// Guards against the refusal of all resumptions while one version serves.
TEST_CASE("streams of a single version go on after all nodes were killed") {
    stream_scenario scenario = with_nodes(7);
    scenario.releases.clear();
    scenario.kills = {
        {0, 7, milliseconds(8'000)}, {0, 7, milliseconds(20'000)}};
    stream_trace const trace = simulate(scenario);
    CHECK(trace.resumed >= 100);
    CHECK(trace.went_on_fraction() >= 0.99);
}

// Shows that the simulation has the failure that the records prevent.
TEST_CASE("without records streams go on at other software versions") {
    stream_scenario scenario = with_nodes(7);
    scenario.policy = origin_policy::any_version;
    CHECK(simulate(scenario).mixed > 2);
}

// Shows that the simulation has the failure of an age that is computed from
// the deadlines of callers.
TEST_CASE("with ages from deadlines streams go on at other versions") {
    auto const policy = origin_policy::keepers_and_deadlines;
    CHECK(simulate(killed_after_release(7, policy)).mixed > 0);
}

// Guards against an order of releases, kills and cuts in which a record is
// missing and the version is guessed.
TEST_CASE("streams go on only at their software version, at random times") {
    constexpr std::uint64_t seeds = 25;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        check_continuity(random_scenario(seed));
    }
}

TEST_CASE("the same, at many more random times" * doctest::skip()) {
    constexpr std::uint64_t seeds = 400;
    for (std::uint64_t seed = 101; seed <= 100 + seeds; ++seed) {
        check_continuity(random_scenario(seed));
    }
}

// Prints the table of docs/design/stream-origins.md.
TEST_CASE("ways of remembering software versions" * doctest::skip()) {
    struct way {
        char const* name;
        origin_policy policy;
    };
    constexpr way ways[] = {
        {"any version", origin_policy::any_version},
        {"beginning node only", origin_policy::beginner_only},
        {"keepers", origin_policy::keepers},
        {"keepers and deadlines", origin_policy::keepers_and_deadlines},
        {"all nodes", origin_policy::all_nodes}};
    for (std::size_t const nodes : {7U, 90U, 195U, 1'900U}) {
        for (way const& each : ways) {
            stream_scenario scenario = with_nodes(nodes);
            scenario.policy = each.policy;
            scenario.length = milliseconds(nodes > 1'000 ? 20'000 : 60'000);
            scenario.datagram_loss = 0.02;
            scenario.kills = {
                {0, std::max<std::size_t>(1, nodes / 3), milliseconds(8'000)}};
            stream_trace const trace = simulate(scenario);
            fmt::print(
                "| {} | {} | {} | {} | {:.2f} | {:.1f} |\n", nodes, each.name,
                trace.mixed, trace.resumed, trace.went_on_fraction(),
                static_cast<double>(trace.record_datagrams) /
                    static_cast<double>(trace.begun));
        }
    }
}

// Prints the second table of docs/design/stream-origins.md.
TEST_CASE("all nodes are killed after a release" * doctest::skip()) {
    for (std::size_t const nodes : {7U, 90U, 195U}) {
        for (origin_policy const policy :
             {origin_policy::keepers_and_deadlines, origin_policy::keepers}) {
            stream_trace const trace =
                simulate(killed_after_release(nodes, policy));
            fmt::print(
                "| {} | {} | {} | {} | {:.2f} |\n", nodes,
                policy == origin_policy::keepers ? "observed for 60 s"
                                                 : "age from deadlines",
                trace.mixed, trace.resumed, trace.went_on_fraction());
        }
    }
}

// Guards against records that cost more than a node may spend: 5 KB/s for all
// control, of which these may take three quarters while a release is under way.
TEST_CASE("the cost of recording does not grow with the number of nodes") {
    // With the headers of UDP and IP; software_versions_test checks the rest.
    constexpr double datagram_bytes = 116;
    constexpr double streams_per_node = 33;
    constexpr double max_bytes_per_second = 3'840;
    for (std::size_t const nodes : {7U, 90U, 195U, 1'900U}) {
        stream_scenario scenario = with_nodes(nodes);
        scenario.broken = 0;
        scenario.length = milliseconds(10'000);
        stream_trace const trace = simulate(scenario);
        double const per_stream = static_cast<double>(trace.record_datagrams) /
                                  static_cast<double>(trace.begun);
        CHECK(per_stream <= 2);
        if (nodes > 1'000) {
            CHECK(
                per_stream * streams_per_node * datagram_bytes <=
                max_bytes_per_second);
        }
    }
}

} // namespace camphorpoint
