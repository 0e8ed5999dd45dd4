#include <Camphorpoint/Limits>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <queue>
#include <random>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr seconds window{4};
constexpr seconds length{40};
constexpr milliseconds max_message_delay{20};

/// Requests of many nodes for one limited replica, in virtual time.
struct limited_replica {
    double rate = 0;
    unsigned nodes = 1;
    /// Requests per second of all nodes together.
    double demand = 0;
    /// Interval at which another node becomes the replica's controller.
    seconds controller_change{1'000};
    /// Interval during which a new controller grants nothing.
    milliseconds settling{700};
    double lost_answers = 0;

    /// @returns when the requests reach the replica, in order
    std::vector<instant> run(std::uint64_t seed) const {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<> fraction;
        std::exponential_distribution<> gap(demand);
        instant const begin = instant() + seconds(100);
        instant now = begin;
        instant next_change = begin + controller_change;
        instant usable_from = begin;
        rate_schedule schedule(rate, begin);
        std::vector<instant> arrivals;
        // Each node remembers until when it was denied.
        std::vector<instant> denied_until(nodes);
        while (now < begin + length) {
            now += std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(gap(random)));
            if (now >= next_change) {
                usable_from = next_change + settling;
                schedule = rate_schedule(rate, usable_from);
                next_change += controller_change;
            }
            std::size_t const node = random() % nodes;
            if (now < usable_from || now < denied_until[node]) {
                continue;
            }
            duration const budget = milliseconds(random() % 400);
            rate_permit const permit = schedule.reserve(budget, now);
            if (fraction(random) < lost_answers) {
                continue;
            }
            if (!permit.granted) {
                denied_until[node] = now + permit.wait;
                continue;
            }
            duration const delay =
                milliseconds(random() % max_message_delay.count());
            arrivals.push_back(now + permit.wait + delay);
        }
        std::ranges::sort(arrivals);
        return arrivals;
    }
};

std::size_t busiest_window(std::vector<instant> const& arrivals) {
    std::size_t most = 0;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
        auto const last =
            std::upper_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
}

} // namespace

// Guards against a replica in need that gets more than the rate it names: each
// of many nodes sends one request in each burst, or the permits of two
// controllers add up.
TEST_CASE("permits keep the rate of a limited replica, whatever the nodes") {
    for (double const rate : {0.0, 0.3, 1.0, 1.8, 2.4, 7.0, 20.0, 50.0}) {
        for (unsigned const nodes : {1U, 7U, 90U, 1'900U}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                limited_replica replica;
                replica.rate = rate;
                replica.nodes = nodes;
                replica.demand = std::max(5.0, 8 * rate);
                CAPTURE(rate);
                CAPTURE(nodes);
                CAPTURE(seed);
                double const allowed = 1.5 * rate * 4 + 5;
                auto const calm = replica.run(seed);
                CHECK(busiest_window(calm) <= allowed);
                double const used =
                    static_cast<double>(calm.size()) / length.count();
                CHECK(used >= 0.9 * rate);
                replica.controller_change = seconds(3);
                CHECK(busiest_window(replica.run(seed)) <= allowed);
                replica.lost_answers = 0.2;
                CHECK(busiest_window(replica.run(seed)) <= allowed);
            }
        }
    }
}

TEST_CASE("a request learns at once how long it would wait for a permit") {
    instant const now = instant() + seconds(100);
    rate_schedule schedule(2, now);
    CHECK(schedule.reserve(seconds(1), now).wait == duration::zero());
    rate_permit const second = schedule.reserve(seconds(1), now);
    CHECK(second.granted);
    CHECK(second.wait == milliseconds(500));
    rate_permit const third = schedule.reserve(milliseconds(900), now);
    CHECK_FALSE(third.granted);
    CHECK(third.wait == seconds(1));
    SUBCASE("a denied request takes no permit") {
        CHECK(schedule.reserve(seconds(1), now).wait == seconds(1));
    }
    SUBCASE("a lower rate delays the permits to come") {
        schedule.set_rate(1, now);
        CHECK(schedule.reserve(seconds(9), now).wait == seconds(2));
    }
    SUBCASE("a rate of zero still lets a request through at times") {
        schedule.set_rate(0, now);
        CHECK(schedule.reserve(seconds(60), now).granted);
    }
}

} // namespace camphorpoint
