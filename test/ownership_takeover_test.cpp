#include "Records/engine_order.hpp"
#include "ownership_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace camphorpoint::ownership_test {

namespace {

resource_id const replica = replica_resource(endpoint_id("engine-1"));

std::string other_node(std::string const& name) {
    return name == "a" ? "b" : "a";
}

/// An engine that executes commands, and rejects outdated fencing numbers if
/// `checks` is set.
struct simple_engine {
    bool checks = false;
    log_offset highest;
    std::vector<log_offset> accepted;

    order_result order(engine_order const& what, instant arrives) {
        if (arrives >= what.not_after) {
            return order_result::not_sent;
        }
        if (checks && what.fencing < highest) {
            return order_result::refused_fencing;
        }
        highest = std::max(highest, what.fencing);
        accepted.push_back(what.fencing);
        return order_result::done;
    }
};

engine_order order_under(authority const& permission) {
    engine_order result;
    result.fencing = permission.fencing;
    result.not_after = permission.not_after;
    return result;
}

} // namespace

// A holder crashes, is paused, or is cut off from the log; another node claims
// the resource; then the old holder resumes and acts as if it still held it,
// because no node can know at once what the log contains now. Two nodes would
// send commands to one engine: two adapters would replace each other in one
// slot in turn, or an answer would be cut off.
TEST_CASE("at most one node has authority for a resource") {
    cluster nodes({replica});
    nodes.start("a");
    nodes.start("b");
    nodes.set_live({"a", "b"});
    std::string const holder = nodes.run_until_owned(replica);
    std::string const successor = other_node(holder);
    test_node& old = nodes.node(holder);
    test_node& next = nodes.node(successor);
    ownership_settings const settings;
    // A node whose record was just read counts as alive during this window.
    nodes.run(settings.log_liveness_window);

    SUBCASE("the first owner of a resource does not wait") {
        CHECK(old.gained.front().first);
        CHECK(old.manager.evict_authority(replica, nodes.now));
        CHECK(nodes.appends == 1);
    }

    SUBCASE("the owner crashes, and its successor waits for the lease to end") {
        old.dead = true;
        nodes.set_live({successor});
        instant const died = nodes.now;
        CHECK(nodes.run_until_owned(replica) == successor);
        CHECK(nodes.now - died >= settings.claim_wait());
        CHECK(nodes.now - died < settings.claim_wait() + seconds(2));
        CHECK(next.gained.front().fencing > old.gained.front().fencing);
        CHECK_FALSE(next.gained.front().planned);

        SUBCASE("the successor evicts nothing while old grants may be used") {
            CHECK_FALSE(next.manager.evict_authority(replica, nodes.now));
            CHECK(next.manager.grant_authority(replica, nodes.now));
            nodes.run(settings.evict_wait());
            CHECK(next.manager.evict_authority(replica, nodes.now));
        }
    }

    SUBCASE("the holder is paused between the check and the command") {
        std::optional<authority> const permission =
            old.manager.authority_for(replica, nodes.now);
        REQUIRE(permission);
        instant const checked = nodes.now;
        old.paused = true;
        nodes.set_live({successor});
        CHECK(nodes.run_until_owned(replica) == successor);
        std::optional<authority> const fresh =
            next.manager.authority_for(replica, nodes.now);
        REQUIRE(fresh);

        SUBCASE(
            "the deadline protects an engine that ignores fencing numbers") {
            simple_engine engine;
            CHECK(
                engine.order(order_under(*fresh), nodes.now) ==
                order_result::done);
            CHECK(
                engine.order(order_under(*permission), nodes.now) ==
                order_result::not_sent);
            CHECK(permission->not_after <= checked + settings.lease);
        }

        SUBCASE("an engine that checks rejects the old fencing number") {
            simple_engine engine{true, {}, {}};
            engine_order late = order_under(*permission);
            late.not_after = instant::max();
            CHECK(
                engine.order(order_under(*fresh), nodes.now) ==
                order_result::done);
            CHECK(
                engine.order(late, nodes.now) == order_result::refused_fencing);
        }

        SUBCASE("the resumed holder has no authority") {
            CHECK_FALSE(old.manager.authority_for(replica, nodes.now));
            CHECK_FALSE(old.manager.evict_authority(replica, nodes.now));
            old.paused = false;
            nodes.set_live({"a", "b"});
            nodes.run(seconds(1));
            CHECK(old.lost.front().new_owner == node_id(successor));
            CHECK(
                nodes.nodes_with_authority(replica) ==
                std::vector<std::string>{successor});
        }
    }

    SUBCASE("a network partition cuts the holder off from the log") {
        // The holder still reaches its engine; the other node regards it as
        // failed.
        old.cut_from_log = true;
        next.manager.set_candidates(
            {{node_id(successor), 1}}, {replica}, nodes.now);
        for (int count = 0; count < 200; ++count) {
            nodes.run(step);
            CHECK(nodes.nodes_with_authority(replica).size() <= 1);
        }
        CHECK(
            nodes.nodes_with_authority(replica) ==
            std::vector<std::string>{successor});

        SUBCASE("the successor may evict soon after the holder reads again") {
            old.cut_from_log = false;
            nodes.run(seconds(3));
            CHECK(old.lost.size() == 1);
            CHECK(next.manager.evict_authority(replica, nodes.now));
        }
    }

    SUBCASE("a third node claims while the first may still grant") {
        // The second holder reads the third node's claim and reports that it
        // stopped. That report does not cover the first holder, which reads
        // nothing.
        old.cut_from_log = true;
        nodes.set_live({successor});
        nodes.run(settings.claim_wait() + seconds(3));
        REQUIRE(
            nodes.nodes_with_authority(replica) ==
            std::vector<std::string>{successor});
        test_node& third = nodes.start("c");
        third.manager.set_candidates({{node_id("c"), 1}}, {replica}, nodes.now);
        nodes.run(settings.claim_wait() + seconds(3));
        REQUIRE(
            nodes.nodes_with_authority(replica) ==
            std::vector<std::string>{"c"});
        CHECK(next.lost.size() == 1);
        CHECK(old.manager.grant_authority(replica, nodes.now));
        CHECK_FALSE(third.manager.evict_authority(replica, nodes.now));
    }

    SUBCASE("two nodes that see each other as failed do not compete forever") {
        old.manager.set_candidates(
            {{node_id(holder), 1}}, {replica}, nodes.now);
        next.manager.set_candidates(
            {{node_id(successor), 1}}, {replica}, nodes.now);
        std::uint64_t const before = nodes.appends;
        nodes.run(seconds(120));
        CHECK(nodes.appends - before <= 10);
    }
}

// The log appended a claim, but the answer was lost. The node must find its
// claim by reading the log and count its wait from then. Otherwise requests
// would be refused for minutes, or two nodes would own the resource.
TEST_CASE("the answer to the append of a claim is lost") {
    cluster nodes({replica});
    test_node& only = nodes.start("a");
    nodes.log.lose_answer = true;
    nodes.set_live({"a"});
    CHECK(nodes.run_until_owned(replica) == "a");
    CHECK(nodes.appends == 1);
    CHECK(only.gained.front().fencing == log_offset{0});
}

// A node crashes while requests run and restarts under the same name within a
// second. It finds the claim of its former run in the log and must not continue
// that ownership: the former run may only be cut off and still be alive.
TEST_CASE("a node restarts under the same name") {
    cluster nodes({replica});
    nodes.start("a", 1);
    nodes.set_live({"a"});
    REQUIRE(nodes.run_until_owned(replica) == "a");
    instant const restarted = nodes.now;
    test_node& again = nodes.start("a", 2);
    nodes.set_live({"a"});
    nodes.run(seconds(1));
    CHECK(nodes.nodes_with_authority(replica).empty());
    CHECK(nodes.run_until_owned(replica) == "a");
    CHECK(nodes.now - restarted >= ownership_settings().claim_wait());
    CHECK(again.gained.front().fencing == log_offset{1});

    SUBCASE("two runs with the same start time are distinguished") {
        test_node& twin = nodes.start("a", 2);
        twin.manager = ownership_manager({}, twin.self, std::mt19937_64(99));
        nodes.set_live({"a"});
        nodes.run(seconds(30));
        CHECK(twin.gained.empty());
    }
}

// A node is paused for longer than the log retains records. Claims were
// appended and expired unread, so a resource that the node held may belong to
// another node. The test guards against commands from such an outdated owner.
TEST_CASE("the log expires records while a node is paused") {
    cluster nodes({replica});
    nodes.start("a");
    nodes.start("b");
    nodes.set_live({"a", "b"});
    std::string const holder = nodes.run_until_owned(replica);
    std::string const successor = other_node(holder);
    nodes.node(holder).paused = true;
    nodes.set_live({successor});
    REQUIRE(nodes.run_until_owned(replica) == successor);
    nodes.log.expire();
    nodes.run(seconds(2));
    nodes.node(holder).paused = false;
    nodes.set_live({"a", "b"});
    nodes.run(seconds(5));
    // The successor renewed the expired claim, and the paused node read the
    // renewal.
    CHECK(nodes.node(holder).lost.size() == 1);
    CHECK(
        nodes.nodes_with_authority(replica) ==
        std::vector<std::string>{successor});
    std::optional<owner_info> const seen =
        nodes.node(holder).manager.owner_of(replica);
    REQUIRE(seen);
    CHECK(seen->owner.node == node_id(successor));
    CHECK(seen->fencing == nodes.node(successor).gained.front().fencing);

    SUBCASE("a later claim has a higher fencing number") {
        nodes.node(successor).dead = true;
        nodes.set_live({holder});
        CHECK(nodes.run_until_owned(replica) == holder);
        CHECK(nodes.node(holder).gained.back().fencing > seen->fencing);
    }
}

// The log is down for a long time and a node crashes meanwhile, so no node can
// claim its resources. Requests for the replicas of other owners must continue.
// Requests for the replicas of the crashed node are refused until the log is
// back, unless the engines themselves refuse to evict adapters in use.
TEST_CASE("a node crashes during a log outage") {
    ownership_settings settings;
    bool guarded = false;
    SUBCASE("engines evict adapters in use") {}
    SUBCASE("engines refuse to evict adapters in use") {
        guarded = true;
    }
    settings.engines_refuse_busy_evictions = guarded;
    cluster nodes({replica}, settings);
    nodes.start("a");
    nodes.start("b");
    nodes.set_live({"a", "b"});
    std::string const holder = nodes.run_until_owned(replica);
    std::string const successor = other_node(holder);
    ownership_manager const& old = nodes.node(holder).manager;
    ownership_manager const& next = nodes.node(successor).manager;
    nodes.log.down = true;
    nodes.run(seconds(10));

    // Commands stop, loads continue where the engine checks fencing numbers,
    // and grants continue.
    CHECK_FALSE(old.authority_for(replica, nodes.now));
    CHECK_FALSE(old.load_authority(replica, false, nodes.now));
    CHECK_FALSE(old.evict_authority(replica, nodes.now));
    CHECK(old.load_authority(replica, true, nodes.now));
    CHECK(old.grant_authority(replica, nodes.now));
    CHECK_FALSE(next.fallback_allowed(replica, nodes.now));

    nodes.node(holder).dead = true;
    nodes.set_live({successor});
    nodes.run(seconds(30));
    CHECK(nodes.nodes_with_authority(replica).empty());
    CHECK(nodes.appends == 1);
    CHECK(next.fallback_allowed(replica, nodes.now) == guarded);

    nodes.log.down = false;
    CHECK(nodes.run_until_owned(replica) == successor);
    CHECK_FALSE(next.fallback_allowed(replica, nodes.now));
    CHECK(next.evict_authority(replica, nodes.now).has_value() == guarded);
}

} // namespace camphorpoint::ownership_test
