#include "ownership_fixture.hpp"

#include <doctest/doctest.h>

#include <map>
#include <random>
#include <string>

namespace camphorpoint::ownership_test {

namespace {

constexpr std::uint64_t seeds = 60;
constexpr int rounds = 300;
constexpr std::uint64_t choices = 14;
constexpr std::int64_t rate_spread = 400;

std::vector<resource_id> two_resources() {
    return {replica_resource(endpoint_id("engine-1")), key_shard_resource(7)};
}

/// Injects a random fault or ends a fault.
void inject_random_event(
    cluster& nodes, std::mt19937_64& random, std::uint64_t& run) {
    std::vector<std::string> const names{"a", "b", "c"};
    std::string const& name = names[random() % names.size()];
    test_node& which = nodes.node(name);
    switch (random() % choices) {
    case 0:
        which.paused = !which.paused;
        break;
    case 1:
        which.cut_from_log = !which.cut_from_log;
        break;
    case 2:
        nodes.log.down = !nodes.log.down;
        break;
    case 3:
        nodes.log.lose_answer = true;
        break;
    case 4:
        nodes.messages_arrive = !nodes.messages_arrive;
        break;
    case 5:
        nodes.services_stop_at_once = !nodes.services_stop_at_once;
        break;
    case 6:
        if (!which.paused) {
            which.manager.start_drain(nodes.clock_of(which));
        }
        break;
    case 7: {
        test_node& fresh = nodes.start_second_run(name, ++run);
        fresh.clock_ahead = milliseconds(random() % 1'000'000);
        break;
    }
    case 8:
        nodes.log.expire();
        break;
    case 9: {
        // Each node is seen as alive or failed at random.
        std::vector<std::string> seen;
        for (std::string const& each : names) {
            if (random() % 3 != 0) {
                seen.push_back(each);
            }
        }
        nodes.set_live(seen);
        break;
    }
    default:
        // Most events end the faults, so that the nodes can make progress.
        which.paused = false;
        which.cut_from_log = false;
        nodes.log.down = false;
        nodes.messages_arrive = true;
        nodes.set_live(names);
    }
}

} // namespace

// Runs random combinations of pauses, partitions, outages, lost answers,
// restarts beside a former run, unfinished handovers, expired records, slow and
// lagging reads, and clocks that differ. The test guards against two nodes that
// send commands to one engine and against the eviction of an adapter that a
// running request uses.
TEST_CASE(
    "at most one node has authority, and no node evicts while two may grant") {
    std::size_t acted = 0;
    std::size_t changed = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        ownership_settings settings;
        settings.grant_lease = seconds(20);
        settings.log_liveness_window = seconds(2);
        cluster nodes(two_resources(), settings);
        nodes.max_answer_steps = 8;
        nodes.max_copy_lag = settings.read_lag;
        nodes.random.seed(seed);
        std::uint64_t run = 1;
        for (std::string const each : {"a", "b", "c"}) {
            test_node& node = nodes.start(each);
            node.clock_ahead = milliseconds(random() % 1'000'000);
            node.clock_rate_error =
                static_cast<std::int64_t>(random() % (2 * rate_spread)) -
                rate_spread;
        }
        nodes.set_live({"a", "b", "c"});
        std::map<resource_id, std::string> last;
        for (int round = 0; round < rounds; ++round) {
            inject_random_event(nodes, random, run);
            for (std::uint64_t count = random() % 30; count > 0; --count) {
                nodes.run(step);
                for (resource_id const& each : two_resources()) {
                    std::vector<std::string> const found =
                        nodes.nodes_with_authority(each);
                    REQUIRE_MESSAGE(found.size() <= 1, "seed ", seed);
                    acted += found.size();
                    if (!found.empty() && last[each] != found.front()) {
                        last[each] = found.front();
                        ++changed;
                    }
                    nodes.check_evictions(each);
                }
            }
        }
    }
    // Without owners and changes of owner the checks above would not test
    // anything.
    CHECK(acted > 10'000);
    CHECK(changed > 500);
    MESSAGE("steps with an owner: ", acted, ", changes of owner: ", changed);
}

} // namespace camphorpoint::ownership_test
