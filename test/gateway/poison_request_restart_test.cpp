#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::within;

namespace {

constexpr unsigned nodes = 3;
constexpr unsigned replicas = 28;
/// A node counts from so long after its start on; and so long after the third
/// end sends begin to count.
constexpr milliseconds connect_time{3'000};
/// Sends that are allowed from then on.
constexpr unsigned max_counted = 3;
/// Replicas that end under a content before it is held.
constexpr std::size_t quarantine_threshold = 3;
/// Between a caller's tries.
constexpr milliseconds retry_delay{20};

/// One try of the deadly request, and what the platform's rule makes of it.
class poison_caller {
public:
    explicit poison_caller(gateway_fixture& world)
        : world_(&world) {}

    /// Sends it by turns to each node, as a new request each time.
    void send_repeatedly(milliseconds time) {
        instant const until = boot_clock::now() + time;
        while (boot_clock::now() < until) {
            try_once();
            within(*world_, retry_delay, [] { return false; });
        }
    }
    void try_once() {
        std::size_t const which = attempts_ % nodes;
        instant const sent = boot_clock::now();
        std::size_t const before = world_->crash_times.size();
        world_->send_to_node(
            which, "/gen/a", "m", "deadly" + std::to_string(attempts_),
            "deadly");
        ++attempts_;
        // A replica ends with each run; the answer comes when the last has.
        auto const& ends = world_->crash_times;
        for (std::size_t each = before; each < ends.size(); ++each) {
            bool const connected =
                sent >= world_->started(which) + connect_time;
            bool const late =
                each >= quarantine_threshold &&
                ends[each] > ends[quarantine_threshold - 1] + connect_time;
            counted_ += connected && late ? 1 : 0;
        }
    }
    /// @returns sends that count by the rule
    unsigned counted() const noexcept { return counted_; }

private:
    gateway_fixture* world_;
    std::size_t attempts_ = 0;
    unsigned counted_ = 0;
};

} // namespace

// Guards against nodes that begin anew and send the request on as if nobody
// knew it, once they count as in touch. Without waits 9 replicas had ended,
// which the rule allows: sends of nodes that began less than three seconds ago
// don't count.
TEST_CASE("all nodes begin anew as soon as a request has ended its replicas") {
    gateway_fixture world;
    world.add_node();
    world.add_node();
    world.add_replicas(replicas, "deadly");
    poison_caller caller(world);
    bool wait_for_connection = false;
    SUBCASE("after the third end, which the store may not have") {
        SUBCASE("and it comes again at once") {}
        SUBCASE("and it comes again once they are in touch") {
            wait_for_connection = true;
        }
        while (world.crash_times.size() < quarantine_threshold) {
            caller.try_once();
        }
    }
    SUBCASE("after many more tries") {
        SUBCASE("and it comes again at once") {}
        SUBCASE("and it comes again once they are in touch") {
            wait_for_connection = true;
        }
        for (int each = 0; each < 18; ++each) {
            caller.try_once();
        }
    }
    world.restart_nodes();
    if (wait_for_connection) {
        within(world, connect_time, [] { return false; });
    }
    caller.send_repeatedly(connect_time + milliseconds(1'000));
    MESSAGE(
        "replicas ended: ", world.crashed_replicas,
        ", that count: ", caller.counted());
    CHECK(caller.counted() <= max_counted);
}

// Guards against nodes that each count for themselves while they still learn
// of each other, and go on to do so. Without the three seconds 7 replicas had
// ended in one run of three, which the rule allows for the same reason.
TEST_CASE("a request ends its replicas while nodes learn of each other") {
    gateway_fixture world;
    world.add_replicas(replicas, "deadly");
    world.add_node();
    world.add_node();
    poison_caller caller(world);
    caller.send_repeatedly(connect_time + milliseconds(1'000));
    MESSAGE(
        "replicas ended: ", world.crashed_replicas,
        ", that count: ", caller.counted());
    CHECK(caller.counted() <= max_counted);
}

} // namespace camphorpoint
