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

/// An engine that does what it is told, and refuses old fencing numbers if it
/// is of the kind that checks them.
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

// A user sees two adapters thrash in one slot, or an answer cut off: two nodes
// give orders to one engine. A holder dies, is paused, or is cut off; others
// claim; the old one comes back and believes that it still holds. The cause
// is that no node can know at once what the log says now.
TEST_CASE("one node at a time decides for a resource") {
    cluster nodes({replica});
    nodes.start("a");
    nodes.start("b");
    nodes.set_live({"a", "b"});
    std::string const holder = nodes.run_until_owned(replica);
    std::string const successor = other_node(holder);
    test_node& old = nodes.node(holder);
    test_node& next = nodes.node(successor);
    ownership_settings const settings;
    // A node whose record was just read counts as alive for a while.
    nodes.run(settings.log_liveness_window);

    SUBCASE("the first owner of all need not wait") {
        CHECK(old.gained.front().first);
        CHECK(old.manager.evict_authority(replica, nodes.now));
        CHECK(nodes.appends == 1);
    }

    SUBCASE("the owner dies, and its heir waits out the lease") {
        old.dead = true;
        nodes.set_live({successor});
        instant const died = nodes.now;
        CHECK(nodes.run_until_owned(replica) == successor);
        CHECK(nodes.now - died >= settings.claim_wait());
        CHECK(nodes.now - died < settings.claim_wait() + seconds(2));
        CHECK(next.gained.front().fencing > old.gained.front().fencing);
        CHECK_FALSE(next.gained.front().planned);

        SUBCASE("and evicts nothing while grants may still be used") {
            CHECK_FALSE(next.manager.evict_authority(replica, nodes.now));
            CHECK(next.manager.grant_authority(replica, nodes.now));
            nodes.run(settings.evict_wait());
            CHECK(next.manager.evict_authority(replica, nodes.now));
        }
    }

    SUBCASE("the holder is paused between check and order") {
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

        SUBCASE("an engine that ignores fencing is spared by the deadline") {
            simple_engine engine;
            CHECK(
                engine.order(order_under(*fresh), nodes.now) ==
                order_result::done);
            CHECK(
                engine.order(order_under(*permission), nodes.now) ==
                order_result::not_sent);
            CHECK(permission->not_after <= checked + settings.lease);
        }

        SUBCASE("an engine that checks refuses the old number by itself") {
            simple_engine engine{true, {}, {}};
            engine_order late = order_under(*permission);
            late.not_after = instant::max();
            CHECK(
                engine.order(order_under(*fresh), nodes.now) ==
                order_result::done);
            CHECK(
                engine.order(late, nodes.now) == order_result::refused_fencing);
        }

        SUBCASE("and asks again when it wakes: the gate is shut") {
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

    SUBCASE("a partition leaves the holder without the log") {
        // It still reaches its engine; the others take it for dead.
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

        SUBCASE("and once it reads again, its heir may evict soon") {
            old.cut_from_log = false;
            nodes.run(seconds(3));
            CHECK(old.lost.size() == 1);
            CHECK(next.manager.evict_authority(replica, nodes.now));
        }
    }

    SUBCASE("a third comes while the first may still grant") {
        // The second reads the third's claim and says that it stopped; that
        // does not speak for the first, which reads nothing.
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

    SUBCASE("two that see each other dead do not rob each other for ever") {
        old.manager.set_candidates(
            {{node_id(holder), 1}}, {replica}, nodes.now);
        next.manager.set_candidates(
            {{node_id(successor), 1}}, {replica}, nodes.now);
        std::uint64_t const before = nodes.appends;
        nodes.run(seconds(120));
        CHECK(nodes.appends - before <= 10);
    }
}

// A user sees a request refused for minutes, or worse, two owners: the log
// took a claim, but the answer got lost on the way back. The claimer must
// find out by reading on, and count its wait from then.
TEST_CASE("the answer to a claim's append is lost") {
    cluster nodes({replica});
    test_node& only = nodes.start("a");
    nodes.log.lose_answer = true;
    nodes.set_live({"a"});
    CHECK(nodes.run_until_owned(replica) == "a");
    CHECK(nodes.appends == 1);
    CHECK(only.gained.front().fencing == log_offset{0});
}

// A node crashes with requests running and comes back under its own name
// within a second. It finds its own claim in the log and must not go on as if
// nothing had happened: its former self may merely be cut off, not dead.
TEST_CASE("a node restarts under its own name") {
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

    SUBCASE("two runs that bear the same start time are told apart") {
        test_node& twin = nodes.start("a", 2);
        twin.manager = ownership_manager({}, twin.self, std::mt19937_64(99));
        nodes.set_live({"a"});
        nodes.run(seconds(30));
        CHECK(twin.gained.empty());
    }
}

// A node sleeps for longer than the log keeps records. Claims have come and
// gone unread; what it believed to hold may be another's. A user would see an
// order from an owner of yesterday.
TEST_CASE("the log trims while a node is paused") {
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
    // The heir renewed what expired, and the sleeper learned of it.
    CHECK(nodes.node(holder).lost.size() == 1);
    CHECK(
        nodes.nodes_with_authority(replica) ==
        std::vector<std::string>{successor});
    std::optional<owner_info> const seen =
        nodes.node(holder).manager.owner_of(replica);
    REQUIRE(seen);
    CHECK(seen->owner.node == node_id(successor));
    CHECK(seen->fencing == nodes.node(successor).gained.front().fencing);

    SUBCASE("a later claim bears a higher number still") {
        nodes.node(successor).dead = true;
        nodes.set_live({holder});
        CHECK(nodes.run_until_owned(replica) == holder);
        CHECK(nodes.node(holder).gained.back().fencing > seen->fencing);
    }
}

// The log is down for a long time, and a node dies meanwhile. Nobody can
// claim. Users of the other owners' replicas should notice little; those of
// the dead node's are refused until the log is back, unless the engines guard
// running adapters themselves.
TEST_CASE("a log outage with a node's death inside") {
    ownership_settings settings;
    bool guarded = false;
    SUBCASE("engines evict whatever they are told to") {}
    SUBCASE("engines refuse to evict what runs") {
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

    // Orders freeze, loads go on where the engine arbitrates, grants go on.
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
