#include "test/gateway/gateway_fixture.hpp"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::gateway_fixture;
using testing::served_replica;
using testing::within;

namespace {

/// Rejections in a second that the replica bears.
constexpr std::size_t max_rejections = 5;
/// Time in which the nodes learn that the replica is brittle.
constexpr milliseconds notice_time{500};
constexpr milliseconds request_interval{8};

/// Sends requests to the first nodes by turns, three times as many as one
/// replica can run.
/// @param at_once requests that are sent at the same moment
/// @param nodes   how many of the nodes get requests
void send_for(
    gateway_fixture& world, milliseconds time, std::size_t& sent,
    std::vector<int>& statuses, std::size_t at_once = 1,
    std::size_t nodes = 3) {
    instant const until = boot_clock::now() + time;
    while (boot_clock::now() < until) {
        for (std::size_t each = 0; each < at_once; ++each) {
            std::string const id = "q" + std::to_string(sent);
            world.send_to_node_async(
                sent++ % nodes, "/look/b", "", id, "body " + id, statuses);
        }
        within(world, request_interval, [] { return false; });
    }
}

/// Replicas of the plain service that fall over when they have to reject too
/// many requests, and come back under new ids.
class falling_replicas {
public:
    falling_replicas(
        gateway_fixture& world, std::size_t count, milliseconds restart_time)
        : world_(&world)
        , restart_time_(restart_time) {
        world.unlist(world.plain);
        for (std::size_t each = 0; each < count; ++each) {
            start();
        }
    }

    ~falling_replicas() {
        for (auto const& each : world_->more_replicas) {
            each->engine.on_overload = nullptr;
        }
    }
    falling_replicas(falling_replicas const&) = delete;
    falling_replicas& operator=(falling_replicas const&) = delete;

    /// Ends a replica for another reason.
    void crash_one() { end(*running_.front()); }
    /// Starts the replicas whose time has come.
    void restart_due() {
        while (!restart_at_.empty() && boot_clock::now() >= restart_at_[0]) {
            restart_at_.erase(restart_at_.begin());
            start();
        }
    }
    std::size_t falls() const noexcept { return falls_; }

private:
    void start() {
        // The fixture keeps the replicas, since requests still run there when a
        // test ends.
        auto& all = world_->more_replicas;
        std::string const name = "b" + std::to_string(all.size());
        all.push_back(
            std::make_unique<served_replica>(world_->loop, name, "", 0));
        served_replica& added = *all.back();
        added.engine.service_time = milliseconds(150);
        added.engine.room = 8;
        added.engine.brittle = std::to_string(max_rejections);
        added.engine.on_overload = [this, &added] {
            if (std::ranges::find(running_, &added) != running_.end()) {
                ++falls_;
                end(added);
            }
        };
        running_.push_back(&added);
        world_->list(added, "app");
    }
    void end(served_replica& which) {
        std::erase(running_, &which);
        world_->unlist(which);
        restart_at_.push_back(boot_clock::now() + restart_time_);
        // Closing the server here would destroy the answer in progress.
        boost::asio::post(
            world_->loop.io(), [&which] { which.server.close(); });
    }

    gateway_fixture* world_;
    milliseconds restart_time_;
    std::vector<served_replica*> running_;
    std::vector<instant> restart_at_;
    std::size_t falls_ = 0;
};

/// @returns the largest number of times within one second
std::size_t most_in_a_second(std::vector<instant> const& times, instant since) {
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        if (*first >= since) {
            auto const last =
                std::upper_bound(first, times.end(), *first + seconds(1));
            most = std::max(most, static_cast<std::size_t>(last - first));
        }
    }
    return most;
}

} // namespace

// Guards against a replica that falls over because all nodes together send it
// more requests than it has room for, and it has to reject too many.
TEST_CASE("a brittle replica rejects few requests, whatever the demand") {
    std::vector<int> statuses;
    std::vector<int> later;
    std::size_t sent = 0;
    gateway_fixture world;
    world.add_node();
    world.add_node();
    world.plain.engine.service_time = milliseconds(200);
    world.plain.engine.room = 8;
    world.plain.engine.brittle = std::to_string(max_rejections);
    send_for(world, notice_time, sent, statuses);
    instant const since = boot_clock::now();

    SUBCASE("requests beyond its room are refused by the nodes") {
        send_for(world, milliseconds(4'000), sent, statuses);
        CHECK(
            most_in_a_second(world.plain.engine.rejections, since) <=
            max_rejections);
        // It could run 40 requests a second.
        CHECK(std::ranges::count(statuses, 200) >= 4 * 20);
    }
    SUBCASE("it is used like any other when it names no limit any more") {
        world.plain.engine.brittle.clear();
        world.plain.engine.room = 0;
        // In parts: a loop that stands still shortens one of them.
        for (int part = 0; part < 15; ++part) {
            send_for(world, milliseconds(100), sent, statuses);
        }
        // Refusals of requests that were sent while it was brittle may come
        // late, and are not counted.
        std::size_t const before = sent;
        send_for(world, milliseconds(1'000), sent, later);
        within(world, milliseconds(3'000), [&] {
            return later.size() == sent - before;
        });
        CHECK(
            std::ranges::count(later, 200) ==
            static_cast<std::ptrdiff_t>(sent - before));
    }
    within(world, milliseconds(400), [] { return false; });
}

// Guards against nodes that refuse all requests for a replica that is brittle
// no more: the others keep more requests running there than it has slots, and
// a node that is granted no slot gets no answer of the replica.
TEST_CASE("a node without a slot learns that a replica is brittle no more") {
    std::vector<int> earlier;
    std::vector<int> statuses;
    std::size_t sent = 0;
    gateway_fixture world;
    world.add_node();
    world.add_node();
    world.plain.engine.service_time = milliseconds(200);
    world.plain.engine.room = 8;
    world.plain.engine.brittle = std::to_string(max_rejections);
    // One node alone learns it from the replica, and that it has ended.
    send_for(world, notice_time, sent, earlier, 1, 1);
    world.plain.engine.brittle.clear();
    world.plain.engine.room = 0;
    // In parts: a loop that stands still shortens one of them.
    for (int part = 0; part < 15; ++part) {
        send_for(world, milliseconds(100), sent, earlier, 1, 1);
    }
    std::size_t const before = sent;
    send_for(world, milliseconds(1'000), sent, statuses, 3);
    within(world, milliseconds(3'000), [&] {
        return statuses.size() == sent - before;
    });
    CHECK(
        std::ranges::count(statuses, 200) ==
        static_cast<std::ptrdiff_t>(sent - before));
    within(world, milliseconds(400), [] { return false; });
}

// Guards against brittle replicas that fall over again and again: a replica
// that is back has a new id, and all nodes send it what the others have no room
// for.
TEST_CASE("brittle replicas that come back under new ids stay up") {
    std::vector<int> statuses;
    std::size_t sent = 0;
    gateway_fixture world;
    world.add_node();
    world.add_node();
    constexpr std::size_t count = 3;
    constexpr std::size_t allowed = 2 + count / 10;
    falling_replicas replicas(world, count, milliseconds(300));
    send_for(world, notice_time, sent, statuses);
    for (int crash = 0; crash < 5; ++crash) {
        replicas.crash_one();
        for (int part = 0; part < 10; ++part) {
            send_for(world, milliseconds(100), sent, statuses, 3);
            replicas.restart_due();
        }
    }
    CHECK(replicas.falls() <= allowed);
    CHECK(std::ranges::count(statuses, 200) >= 5 * 60);
    within(world, milliseconds(400), [] { return false; });
}

} // namespace camphorpoint
