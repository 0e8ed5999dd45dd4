#include "test/gateway/silent_replica_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using namespace testing;

namespace {

/// Longer than a stall takes to be noticed.
constexpr milliseconds until_stalled{1'800};

void pass(silent_fixture& world, milliseconds time) {
    within(world.world(), time, [] { return false; });
}

/// @returns an attempt with two long silences, in different events
scripted_attempt silent_twice() {
    scripted_attempt attempt = silent_at(body_bytes(1) + 3);
    attempt.silences[body_bytes(3) + 3] = silence;
    return attempt;
}

} // namespace

// Guards against a stalled stream that is ended because its route, service or
// replica is gone, although the replica goes on.
TEST_CASE("a stalled stream outlasts changes of the world around it") {
    // A stop leaves the streams their time.
    silent_fixture world(4, 1e6, patience);
    for (unsigned each = 0; each < 6; ++each) {
        world.start("alone", {silent_twice()});
        world.start("runs", {silent_twice(), refusal(), refusal(), refusal()});
    }
    pass(world, until_stalled);
    SUBCASE("its route is dropped") {
        world.drop_routes(3);
    }
    SUBCASE("its route is dropped, and comes back twice") {
        for (unsigned version = 3; version < 7; ++version) {
            if (version % 2 == 1) {
                world.drop_routes(version);
            } else {
                world.configure(version);
            }
            pass(world, milliseconds(400));
        }
    }
    SUBCASE("its route leads to another service") {
        world.move_routes(3);
    }
    SUBCASE("all replicas are draining") {
        for (unsigned which = 0; which < 4; ++which) {
            world.list(which, "draining");
        }
    }
    SUBCASE("all replicas are removed") {
        for (unsigned which = 0; which < 4; ++which) {
            world.list(which, "");
        }
    }
    SUBCASE("all replicas are removed, and come back twice") {
        for (std::string const state : {"", "ready", "", "ready"}) {
            for (unsigned which = 0; which < 4; ++which) {
                world.list(which, state);
            }
            pass(world, milliseconds(400));
        }
    }
    SUBCASE("its node is being stopped, and told so twice") {
        world.world().node->drain([] {});
        pass(world, milliseconds(500));
        world.world().node->drain([] {});
    }
    world.finish();
    check_complete(world);
    check_overlaps(world);
}

// Guards against a stalled stream that is ended because its replica has said in
// the head of its answer that it leaves.
TEST_CASE("a stalled stream of a replica that leaves by its word goes on") {
    silent_fixture world;
    for (unsigned each = 0; each < 4; ++each) {
        scripted_attempt leaving = silent_twice();
        leaving.leaves = true;
        world.start("alone", {leaving});
    }
    world.finish();
    check_complete(world);
}

// Guards against a stalled stream that is ended because its replacements have
// brought its content under quarantine.
TEST_CASE("a stalled stream whose content is held goes on") {
    silent_fixture world;
    scripted_attempt crash;
    crash.closes_before_head = true;
    for (unsigned each = 0; each < 4; ++each) {
        world.start("runs", {silent_twice(), crash, crash, crash});
    }
    world.finish();
    check_complete(world);
    for (std::size_t each = 0; each < world.size(); ++each) {
        CHECK(world.attempts(each).size() == 4);
    }
}

// Guards against a stream that is ended with a chain of replacements, each of
// which falls silent in turn.
TEST_CASE("a stream goes on when its replacements stall in turn") {
    silent_fixture world;
    scripted_attempt const stalls = silent_at(body_bytes(1) + 3, for_good);
    for (unsigned each = 0; each < 6; ++each) {
        world.start(
            "runs", {stalls, stalls, stalls, silent_at(body_bytes(1) + 3)});
    }
    world.finish();
    check_complete(world);
    check_overlaps(world);
}

} // namespace camphorpoint
