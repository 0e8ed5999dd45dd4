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

// An operator replaces a node. Its users should notice nothing: it stops
// granting, hands its tables over, and names its successor in the log, so
// that nobody waits out a lease.
TEST_CASE("a planned stop hands over") {
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

    SUBCASE("the successor has the table and acts within a second or two") {
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

    SUBCASE("no two act on the way, and a stopping holder does not") {
        nodes.services_stop_at_once = false;
        nodes.drain(old);
        CHECK_FALSE(old.manager.grant_authority(replica, nodes.now));
        nodes.run(seconds(5));
        CHECK(nodes.nodes_with_authority(replica).empty());
        old.manager.handover_ready(replica, "late table", nodes.now);
        CHECK(nodes.run_until_owned(replica) == successor);
        CHECK(next.gained.front().table == "late table");
    }

    SUBCASE("a service that does not stop costs the successor the wait") {
        nodes.services_stop_at_once = false;
        nodes.drain(old);
        CHECK(nodes.run_until_owned(replica) == successor);
        ownership_settings const settings;
        CHECK(nodes.now - begun >= settings.stop_limit + settings.claim_wait());
        CHECK_FALSE(next.gained.front().planned);
    }

    SUBCASE("a successor that does not answer is not named") {
        nodes.messages_arrive = false;
        nodes.drain(old);
        CHECK(nodes.run_until_owned(replica) == successor);
        CHECK(nodes.now - begun < seconds(6));
        CHECK(next.gained.front().planned);
        CHECK(next.gained.front().table.empty());
    }

    SUBCASE("it leaves the list before its heir has read its release") {
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

    SUBCASE("the release's answer is lost") {
        nodes.log.lose_answer = true;
        nodes.drain(old);
        nodes.run(seconds(2));
        CHECK(
            nodes.nodes_with_authority(replica) ==
            std::vector<std::string>{successor});
        CHECK(old.manager.drained());
    }

    SUBCASE("the log is down: the node goes, and its heir waits later") {
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

// A paused holder wakes long after it was succeeded and appends the release
// that it had prepared. If it counted, a third node would skip the wait that
// protects the second.
TEST_CASE("what a paused holder appends late changes nothing") {
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

// One copy of the log is behind the others, or the log was put back to an
// earlier state. A holder that took such an answer for fresh would go on for
// as long as it is asked, without ever seeing its successor's claim.
TEST_CASE("an answer from a log that is behind prolongs nothing") {
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

// A record that another version wrote, or that was cut, must not be taken by
// halves: nodes would disagree about who owns what.
TEST_CASE("the control stream's records are read strictly") {
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

// The log takes a few hundred appends a second from everybody. Ownership must
// need next to nothing while all is calm, and a node's death may not cost an
// append for each thing that it owned.
TEST_CASE("appends are few") {
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
    // The first claims: about one record for each node.
    CHECK(nodes.appends <= 2 * names.size());

    SUBCASE("in calm: four renewals a node in the time that the log keeps") {
        std::uint64_t const before = nodes.appends;
        nodes.run(std::chrono::hours(1));
        std::uint64_t const appends_per_hour = nodes.appends - before;
        CHECK(appends_per_hour >= 4 * names.size());
        CHECK(appends_per_hour <= 6 * names.size());
        MESSAGE("appends an hour at 9 nodes: ", appends_per_hour);
        MESSAGE(
            "hence a second at 1,900: ",
            double(appends_per_hour) / 9 * 1'900 / 3'600);
    }

    SUBCASE("at a death: one or two from each heir") {
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

        SUBCASE("and slowly back once the node has returned") {
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
