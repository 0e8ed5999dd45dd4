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
constexpr milliseconds contact{3'000};
/// Sends that are allowed from then on.
constexpr unsigned most_counted = 3;
/// Replicas that end under a content before it is held.
constexpr std::size_t third = 3;
/// Between a caller's tries.
constexpr milliseconds pause{20};

/// One try of the deadly request, and what the platform's rule makes of it.
class deadly_caller {
public:
    explicit deadly_caller(gateway_fixture& world)
        : world_(&world) {}

    /// Sends it by turns to each node, as a new request each time.
    void insist(milliseconds time) {
        instant const until = boot_clock::now() + time;
        while (boot_clock::now() < until) {
            try_once();
            within(*world_, pause, [] { return false; });
        }
    }
    void try_once() {
        std::size_t const which = tries_ % nodes;
        instant const sent = boot_clock::now();
        std::size_t const before = world_->crash_times.size();
        world_->send_to_node(
            which, "/gen/a", "m", "deadly" + std::to_string(tries_), "deadly");
        ++tries_;
        // A replica ends with each run; the answer comes when the last has.
        auto const& ends = world_->crash_times;
        for (std::size_t each = before; each < ends.size(); ++each) {
            bool const in_touch = sent >= world_->started(which) + contact;
            bool const late =
                each >= third && ends[each] > ends[third - 1] + contact;
            counted_ += in_touch && late ? 1 : 0;
        }
    }
    /// @returns sends that count by the rule
    unsigned counted() const noexcept { return counted_; }

private:
    gateway_fixture* world_;
    std::size_t tries_ = 0;
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
    deadly_caller caller(world);
    bool later = false;
    SUBCASE("after the third end, which the store may not have") {
        SUBCASE("and it comes again at once") {}
        SUBCASE("and it comes again once they are in touch") {
            later = true;
        }
        while (world.crash_times.size() < third) {
            caller.try_once();
        }
    }
    SUBCASE("after many more tries") {
        SUBCASE("and it comes again at once") {}
        SUBCASE("and it comes again once they are in touch") {
            later = true;
        }
        for (int each = 0; each < 18; ++each) {
            caller.try_once();
        }
    }
    world.restart_nodes();
    if (later) {
        within(world, contact, [] { return false; });
    }
    caller.insist(contact + milliseconds(1'000));
    MESSAGE(
        "replicas ended: ", world.crashed_replicas,
        ", that count: ", caller.counted());
    CHECK(caller.counted() <= most_counted);
}

// Guards against nodes that each count for themselves while they still learn
// of each other, and go on to do so. Without the three seconds 7 replicas had
// ended in one run of three, which the rule allows for the same reason.
TEST_CASE("a request ends its replicas while nodes learn of each other") {
    gateway_fixture world;
    world.add_replicas(replicas, "deadly");
    world.add_node();
    world.add_node();
    deadly_caller caller(world);
    caller.insist(contact + milliseconds(1'000));
    MESSAGE(
        "replicas ended: ", world.crashed_replicas,
        ", that count: ", caller.counted());
    CHECK(caller.counted() <= most_counted);
}

} // namespace camphorpoint
