#include "ownership_fixture.hpp"

#include <doctest/doctest.h>

#include <set>

namespace camphorpoint::ownership_test {

namespace {

resource_id const replica = replica_resource(endpoint_id("engine-1"));

std::vector<resource_id> all_shards() {
    std::vector<resource_id> result;
    for (std::uint32_t shard = 0; shard < key_shard_count; ++shard) {
        result.push_back(key_shard_resource(shard));
    }
    return result;
}

std::vector<std::string> node_names(std::size_t count) {
    std::vector<std::string> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back("node-" + std::to_string(index));
    }
    return result;
}

} // namespace

// An operator replaces a node. The stopping node stops granting, hands its
// state over, and names its successor in the log, so that no node has to wait
// for a lease to expire. The test guards against interruptions of service and
// loss of state.
TEST_CASE("a planned stop hands the resources over") {
    cluster nodes({replica});
    nodes.start("a");
    nodes.start("b");
    nodes.set_live({"a", "b"});
    std::string const holder = nodes.run_until_owned(replica);
    std::string const successor = holder == "a" ? "b" : "a";
    test_node& old = nodes.node(holder);
    test_node& next = nodes.node(successor);
    nodes.run(seconds(20));
    instant const begun = nodes.now;

    SUBCASE("the successor has the state and acts within two seconds") {
        nodes.drain(old);
        nodes.run(seconds(2));
        CHECK(
            nodes.nodes_with_authority(replica) ==
            std::vector<std::string>{successor});
        CHECK(next.gained.front().planned);
        CHECK(next.gained.front().table == "table of " + holder);
        CHECK(next.manager.evict_authority(replica, nodes.now));
        CHECK(old.manager.drained());
        CHECK(nodes.appends == 2);
    }

    SUBCASE("no node has authority while the holder stops") {
        nodes.services_stop_at_once = false;
        nodes.drain(old);
        CHECK_FALSE(old.manager.grant_authority(replica, nodes.now));
        nodes.run(seconds(5));
        CHECK(nodes.nodes_with_authority(replica).empty());
        old.manager.handover_ready(replica, "late table", nodes.now);
        CHECK(nodes.run_until_owned(replica) == successor);
        CHECK(next.gained.front().table == "late table");
    }

    SUBCASE("the successor waits for the lease if the service does not stop") {
        nodes.services_stop_at_once = false;
        nodes.drain(old);
        CHECK(nodes.run_until_owned(replica) == successor);
        ownership_settings const settings;
        CHECK(nodes.now - begun >= settings.stop_limit + settings.claim_wait());
        CHECK_FALSE(next.gained.front().planned);
    }

    SUBCASE("the release does not name a successor that did not answer") {
        nodes.messages_arrive = false;
        nodes.drain(old);
        CHECK(nodes.run_until_owned(replica) == successor);
        CHECK(nodes.now - begun < seconds(6));
        CHECK(next.gained.front().planned);
        CHECK(next.gained.front().table.empty());
    }

    SUBCASE("the node leaves the list before its release was read") {
        next.cut_from_log = true;
        nodes.drain(old);
        for (int count = 0; !old.manager.drained() && count < 1'000; ++count) {
            nodes.run(std::chrono::milliseconds(100));
        }
        REQUIRE(old.manager.drained());
        old.dead = true;
        next.cut_from_log = false;
        nodes.set_live({successor});
        nodes.run(seconds(3));
        CHECK(
            nodes.nodes_with_authority(replica) ==
            std::vector<std::string>{successor});
        CHECK(nodes.appends == 2);
    }

    SUBCASE("the answer to the append of the release is lost") {
        nodes.log.lose_answer = true;
        nodes.drain(old);
        nodes.run(seconds(2));
        CHECK(
            nodes.nodes_with_authority(replica) ==
            std::vector<std::string>{successor});
        CHECK(old.manager.drained());
    }

    SUBCASE("the node stops while the log is down, and its successor waits") {
        nodes.log.down = true;
        nodes.drain(old);
        nodes.run(seconds(20));
        CHECK_FALSE(old.manager.drained());
        CHECK(nodes.nodes_with_authority(replica).empty());
        old.dead = true;
        nodes.set_live({successor});
        nodes.log.down = false;
        instant const back = nodes.now;
        CHECK(nodes.run_until_owned(replica) == successor);
        CHECK(nodes.now - back >= ownership_settings().claim_wait());
    }
}

// A paused holder resumes long after another node claimed its resource, and
// appends the release that it had prepared. If the release counted, a third
// node would skip the wait that protects the second.
TEST_CASE("late records of a paused holder have no effect") {
    ownership_table table;
    table.restart(true);
    control_record first;
    first.writer = {node_id("a"), 1};
    first.claims.push_back({replica});
    control_record second = first;
    second.writer = {node_id("b"), 1};
    table.apply(log_offset{10}, first);
    table.apply(log_offset{11}, second);

    control_record late;
    late.writer = first.writer;
    SUBCASE("a release") {
        late.releases.push_back({replica, log_offset{10}, true, {}});
    }
    SUBCASE("a renewal") {
        late.renewals.push_back({replica, log_offset{10}});
    }
    CHECK(table.apply(log_offset{12}, late).empty());
    CHECK(table.find(replica)->owner == second.writer);
    CHECK(table.find(replica)->fencing == log_offset{11});
}

// A copy of the log lags behind the others, or the log was restored to an
// earlier state. If a holder counted such an answer as fresh, it would extend
// its lease indefinitely without reading its successor's claim.
TEST_CASE("an answer from a lagging log does not extend a lease") {
    log_follower follower{seconds(1)};
    log_batch batch;
    batch.read_started = instant(seconds(10));
    batch.head = log_offset{2};
    batch.records = {{log_offset{0}, {}, ""}, {log_offset{1}, {}, ""}};
    REQUIRE(follower.classify(batch) == log_follower::verdict::usable);
    follower.on_record_applied(log_offset{1});
    CHECK(follower.on_batch_applied(batch));
    batch.head = log_offset{1};
    batch.records.pop_back();
    batch.read_started = instant(seconds(20));
    CHECK(follower.classify(batch) == log_follower::verdict::stale);
    CHECK(follower.fresh_as_of() == instant(seconds(10)));
}

// A record that another version wrote, or that was truncated, must not be
// applied in part: nodes would then disagree on the owners of resources.
TEST_CASE("control records are decoded strictly") {
    control_record record;
    record.writer = {node_id("a \"quoted\"\nname"), 7};
    record.append = 42;
    record.claims.push_back({replica});
    record.renewals.push_back({key_shard_resource(3), log_offset{5}});
    node_run const successor{node_id("b"), 9};
    record.releases.push_back(
        {store_resource("weights"), log_offset{6}, true, successor});
    std::string const text = encode_control_record(record);
    CHECK(decode_control_record(text) == record);
    CHECK(text.find('\n') == std::string::npos);
    CHECK_FALSE(decode_control_record(text + " "));
    CHECK_FALSE(decode_control_record(text.substr(0, text.size() / 2)));
    CHECK_FALSE(decode_control_record(""));
    CHECK_FALSE(decode_control_record("[1]"));
    std::string wrong_kind = text;
    wrong_kind.replace(wrong_kind.find("\"kind\": 0"), 9, "\"kind\": 9");
    CHECK_FALSE(decode_control_record(wrong_kind));
}

// The log accepts only a few hundred appends per second from all nodes
// together. Ownership must need few appends in steady state, and the failure of
// a node must not cost one append per resource that it owned.
TEST_CASE("ownership needs few appends") {
    std::vector<std::string> const names = node_names(9);
    cluster nodes(all_shards());
    for (std::string const& each : names) {
        nodes.start(each);
    }
    nodes.set_live(names);
    nodes.run(seconds(60));
    std::size_t held = 0;
    for (std::string const& each : names) {
        held += nodes.node(each).manager.held_count();
    }
    CHECK(held == key_shard_count);
    // The first claims take about one record per node.
    CHECK(nodes.appends <= 2 * names.size());

    SUBCASE("steady state: four renewals per node and retention time") {
        std::uint64_t const before = nodes.appends;
        nodes.run(std::chrono::hours(1));
        std::uint64_t const appends_per_hour = nodes.appends - before;
        CHECK(appends_per_hour >= 4 * names.size());
        CHECK(appends_per_hour <= 6 * names.size());
        MESSAGE("appends per hour at 9 nodes: ", appends_per_hour);
        MESSAGE(
            "extrapolated appends per second at 1,900 nodes: ",
            double(appends_per_hour) / 9 * 1'900 / 3'600);
    }

    SUBCASE("failure of a node: one or two appends per successor") {
        std::uint64_t const before = nodes.appends;
        nodes.node("node-4").dead = true;
        std::vector<std::string> survivors = names;
        survivors.erase(survivors.begin() + 4);
        nodes.set_live(survivors);
        nodes.run(seconds(20));
        CHECK(nodes.appends - before <= 2 * survivors.size());
        held = 0;
        for (std::string const& each : survivors) {
            held += nodes.node(each).manager.held_count();
        }
        CHECK(held == key_shard_count);

        SUBCASE("resources move back slowly once the node has restarted") {
            nodes.start("node-4", 2);
            nodes.set_live(names);
            nodes.run(seconds(20));
            CHECK(nodes.node("node-4").manager.held_count() == 0);
            std::uint64_t const then = nodes.appends;
            nodes.run(std::chrono::minutes(10));
            CHECK(nodes.node("node-4").manager.held_count() > 10);
            CHECK(nodes.appends - then <= 100);
        }
    }
}

} // namespace camphorpoint::ownership_test
