#include "test/gateway/mixed_versions_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::continuations;
using testing::mixed_versions_fixture;

namespace {

/// How long streams may be resumed.
constexpr milliseconds lifetime{1'500};

/// Three nodes that have seen one version for as long as streams may be
/// resumed.
class single_version_fixture : public mixed_versions_fixture {
public:
    explicit single_version_fixture(
        milliseconds full_polls =
            gateway_settings().registry_full_poll_interval)
        : mixed_versions_fixture(false, lifetime, full_polls) {
        pass(lifetime + milliseconds(500));
    }

    void retire_first_node() { world().retire(std::move(world().node)); }
    /// Leaves the third node alone, without the store.
    void cut_off_third_node() {
        retire_first_node();
        world().retire_node(1);
        world().disconnect_store(2);
        pass(milliseconds(100));
    }
    /// Reconnects the third node, which reads the registry.
    void reconnect_third_node() {
        world().reconnect_store(2);
        pass(milliseconds(700));
    }
    void forget_history() { world().metadata.store().forget("keyed.servers"); }
    /// Resumes a stream whose first event came through a node that is gone.
    continuations resume_unrecorded(std::size_t node) {
        continuations seen;
        forget_requests();
        add(resume(node, "s", "s"), seen);
        return seen;
    }
};

} // namespace

// Guards against a node that is cut off from the store and the other nodes
// while replicas of a second software version join: it takes the one version
// that it knows for the only one, and a stream that began on the other one at
// another node goes on there.
TEST_CASE("a node that is cut off in a release refuses unrecorded streams") {
    single_version_fixture world;
    world.retire_first_node();
    world.world().disconnect_store(2);
    SUBCASE("alone") {
        world.world().retire_node(1);
    }
    SUBCASE("with another node that is cut off as well") {
        world.world().disconnect_store(1);
    }
    world.list_new();
    world.pass(milliseconds(300));
    continuations const seen = world.resume_unrecorded(2);
    CHECK_FALSE(world.began_at_old());
    CHECK(seen.complete == 0);
    CHECK(seen.refused == 1);
}

// Guards against nodes that are cut off together and confirm each other, since
// the few that one of them asks are all of that group.
TEST_CASE("nodes that are cut off together do not confirm each other") {
    single_version_fixture world;
    world.world().add_node();
    world.world().add_node();
    world.pass(milliseconds(500));
    world.retire_first_node();
    constexpr std::size_t nodes = 5;
    for (std::size_t each = 1; each < nodes; ++each) {
        world.world().disconnect_store(each);
    }
    world.list_new();
    world.pass(milliseconds(300));
    // Which nodes are asked first depends on the stream.
    constexpr unsigned streams = 12;
    continuations seen;
    for (unsigned each = 0; each < streams; ++each) {
        std::string const id = "s" + std::to_string(each);
        world.forget_requests();
        world.add(world.resume(2, id, id), seen);
    }
    CHECK(seen.complete == 0);
    CHECK(seen.refused == streams);
}

// Guards against a view that counts as current since the store or a peer has
// answered, before what was missed has been read.
TEST_CASE("a node that is in touch again reads what it has missed") {
    single_version_fixture world;
    world.retire_first_node();
    world.world().disconnect_store(1);
    world.world().disconnect_store(2);
    world.pass(milliseconds(300));
    SUBCASE("and refuses unrecorded streams when a version has joined") {
        world.list_new();
        world.world().reconnect_store(2);
        continuations const seen = world.resume_unrecorded(2);
        CHECK_FALSE(world.began_at_old());
        CHECK(seen.refused == 1);
    }
    SUBCASE("and goes on with streams when none has joined") {
        world.world().reconnect_store(2);
        CHECK(world.resume_unrecorded(2).complete == 1);
    }
}

// Guards against a node that takes one version for the only one, although
// replicas of another one came and went in records of the registry that it has
// not read: a stream may have begun there at another node.
TEST_CASE("a version that came and went unread is not overlooked") {
    SUBCASE("when the store has deleted the records") {
        single_version_fixture world;
        world.cut_off_third_node();
        world.list_new();
        world.unlist("new", milliseconds(0));
        world.forget_history();
        world.reconnect_third_node();
        CHECK(world.resume_unrecorded(2).refused == 1);
        world.pass(lifetime + milliseconds(300));
        CHECK(world.resume_unrecorded(2).complete == 1);
    }
    SUBCASE("when the node reads the newest record of each replica") {
        single_version_fixture world(milliseconds(100));
        world.cut_off_third_node();
        world.list_new();
        world.unlist("new", milliseconds(0));
        world.reconnect_third_node();
        CHECK(world.resume_unrecorded(2).refused == 1);
    }
}

// Guards against refusals of streams for which nothing was missed.
TEST_CASE("full reads of the registry do not end an observation") {
    single_version_fixture world(milliseconds(100));
    SUBCASE("in calm") {
        world.retire_first_node();
        world.world().retire_node(1);
    }
    SUBCASE("after entries were written that the node has not read") {
        world.cut_off_third_node();
        world.list_old();
        world.reconnect_third_node();
    }
    CHECK(world.resume_unrecorded(2).complete == 1);
}

TEST_CASE("streams of a single version go on at other nodes") {
    single_version_fixture world;
    SUBCASE("while all nodes run") {}
    SUBCASE("when the node that began them is gone") {
        world.retire_first_node();
    }
    SUBCASE("when this node does not reach the store") {
        world.world().disconnect_store(2);
        world.pass(milliseconds(300));
    }
    CHECK(world.resume_unrecorded(2).complete == 1);
}

} // namespace camphorpoint
