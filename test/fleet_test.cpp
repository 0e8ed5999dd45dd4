#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

replica_record
entry(std::string const& name, std::vector<adapter_ref> adapters = {}) {
    replica_record record;
    record.id = endpoint_id(name);
    record.service = service_id("llm");
    record.address = {"127.0.0.1", 9'000};
    record.slots = 10;
    record.models = {model_id("m")};
    record.adapters = std::move(adapters);
    return record;
}

adapter_ref hot(std::uint32_t version = 1) {
    return {adapter_id("m/hot"), version};
}

struct fleet_world {
    fleet replicas;
    replica_selector choice{replicas};
    instant now = instant() + seconds(100);

    replica_requirements need(std::uint32_t version = 0) const {
        replica_requirements asked;
        asked.service = service_id("llm");
        asked.adapter = hot().id;
        asked.model = model_id("m");
        asked.min_version = version;
        return asked;
    }
    std::string best(replica_requirements const& asked) const {
        replica const* const found = choice.best(asked, now);
        return found == nullptr ? "none" : found->record.id.str();
    }
};

} // namespace

TEST_CASE("a request goes to a replica that holds its adapter") {
    fleet_world world;
    world.replicas.apply(entry("r1"), world.now);
    world.replicas.apply(entry("r2", {hot()}), world.now);
    CHECK(world.best(world.need()) == "r2");

    SUBCASE("not to one that it has been at") {
        replica_requirements asked = world.need();
        asked.tried_replicas.emplace_back("r2");
        CHECK(world.best(asked) == "none");
    }
    SUBCASE("not to an older version than it must run on") {
        CHECK(world.best(world.need(2)) == "none");
        world.replicas.mark_resident(endpoint_id("r1"), hot(2), world.now);
        CHECK(world.best(world.need(2)) == "r1");
    }
    SUBCASE("not where the adapter is about to go") {
        world.replicas.mark_unloading(endpoint_id("r2"), hot().id, world.now);
        CHECK(world.best(world.need()) == "none");
    }
    SUBCASE("the list, which is older, takes newer word back only later") {
        world.replicas.mark_resident(endpoint_id("r1"), hot(), world.now);
        world.replicas.apply(entry("r1"), world.now + seconds(1));
        CHECK(world.choice.resident_count(world.need(), world.now) == 2);
        world.replicas.apply(entry("r1"), world.now + seconds(3));
        CHECK(world.choice.resident_count(world.need(), world.now) == 1);
    }
}

TEST_CASE("the home of an adapter that nobody holds") {
    fleet_world world;
    for (std::string const name : {"r1", "r2", "r3", "r4"}) {
        world.replicas.apply(entry(name), world.now);
    }
    replica* const home =
        world.choice.next_preferred_replica(world.need(), world.now);
    REQUIRE(home != nullptr);
    SUBCASE("stays the same from request to request") {
        CHECK(
            world.choice.next_preferred_replica(world.need(), world.now) ==
            home);
    }
    SUBCASE("is another while the first is crowded") {
        // Its orderer counts, and says so to each that asks.
        running_request_tracker counted;
        std::uint64_t const name = fleet::id_hash(home->record.id);
        for (int each = 0; each < 9; ++each) {
            counted.update(
                "n" + std::to_string(each), name, hot().id, 1, 0, world.now);
        }
        CHECK(replica_selector::has_capacity(
            counted.usage(name, world.now), home->record.slots));
        counted.update("n10", name, hot().id, 1, 0, world.now);
        CHECK_FALSE(replica_selector::has_capacity(
            counted.usage(name, world.now), home->record.slots));
        home->denials[hot().id] = {
            world.now + milliseconds(400), world.now + seconds(1)};
        CHECK(
            world.choice.next_preferred_replica(world.need(), world.now) !=
            home);
    }
    SUBCASE("is its second one while only that has a slot free") {
        // Told by the nodes that order, so that all choose alike.
        std::uint64_t const name = fleet::id_hash(home->record.id);
        world.replicas.update_usage(name, {0, 0, -2}, world.now);
        replica* second = nullptr;
        for (std::string const other : {"r1", "r2", "r3", "r4"}) {
            world.replicas.find(endpoint_id(other))->free_slots =
                other == home->record.id.str() ? -2 : 1;
        }
        second = world.choice.next_preferred_replica(world.need(), world.now);
        CHECK(second != home);
        CHECK(
            world.choice.next_preferred_replica(world.need(), world.now) ==
            second);
        second->free_slots = 0;
        CHECK(
            world.choice.next_preferred_replica(world.need(), world.now) ==
            home);
    }
    SUBCASE("is not one that holds an older version, which would have to wait "
            "for its runs") {
        world.replicas.mark_resident(home->record.id, hot(1), world.now);
        CHECK(
            world.choice.next_preferred_replica(world.need(2), world.now) !=
            home);
    }
}

// A replica leaves; its list entry says so. Requests that reach it after its
// two seconds are cut off with it.
TEST_CASE("a leaving replica gets nothing new") {
    fleet_world world;
    world.replicas.apply(entry("r1", {hot()}), world.now);
    replica_record leaving = entry("r1", {hot()});
    leaving.leaving = true;
    CHECK(world.replicas.apply(leaving, world.now) == fleet_change::leaving);
    CHECK(world.best(world.need()) == "none");

    SUBCASE("also when an older entry is read afterwards") {
        world.replicas.apply(entry("r1", {hot()}), world.now);
        CHECK(world.best(world.need()) == "none");
    }
    SUBCASE("one that leaves at short notice gets nothing that outlasts it") {
        replica_record soon = entry("r2", {hot()});
        soon.remaining = milliseconds(500);
        world.replicas.apply(soon, world.now);
        replica_requirements asked = world.need();
        asked.expected_time = seconds(1);
        CHECK(world.best(asked) == "none");
        asked.expected_time = milliseconds(100);
        CHECK(world.best(asked) == "r2");
    }
}

// The store is down, and the list loses all entries. With them gone nothing
// would be served, though every replica is there.
// A replica starts again under the id that it had. Nodes that take it for the
// earlier one send it requests for adapters that it no longer holds, and one
// that was about to leave is never used again.
TEST_CASE("a replica that starts again under its id is another one") {
    fleet_world world;
    auto const listed = [&](int born, std::vector<adapter_ref> adapters) {
        replica_record record = entry("r1", std::move(adapters));
        record.started_at = incarnation(milliseconds(born));
        return record;
    };
    endpoint_id const id("r1");
    world.replicas.apply(listed(1'000, {hot()}), world.now);
    world.replicas.mark_resident(id, {adapter_id("m/warm"), 1}, world.now);
    REQUIRE(world.best(world.need()) == "r1");

    SUBCASE("what was told of the earlier one counts no longer") {
        world.replicas.mark_unloading(id, adapter_id("m/cold"), world.now);
        CHECK(
            world.replicas.apply(listed(2'000, {}), world.now) ==
            fleet_change::joined);
        CHECK(world.best(world.need()) == "none");
        CHECK(world.replicas.find(id)->adapters.empty());
        CHECK_FALSE(world.replicas.find(id)->has_cached(adapter_id("m/cold")));
    }
    SUBCASE("nor that the earlier one was leaving") {
        replica_record leaving = listed(1'000, {hot()});
        leaving.leaving = true;
        world.replicas.apply(leaving, world.now);
        REQUIRE_FALSE(world.replicas.find(id)->accepts_requests());
        world.replicas.apply(listed(2'000, {}), world.now);
        CHECK(world.replicas.find(id)->accepts_requests());
    }
    SUBCASE("nor that the earlier one was to be gone by now") {
        replica_record noticed = listed(1'000, {hot()});
        noticed.remaining = milliseconds(10);
        world.replicas.apply(noticed, world.now);
        world.replicas.apply(listed(2'000, {hot()}), world.now);
        CHECK(world.replicas.find(id)->shutdown_at == instant::max());
    }
    SUBCASE("requests of this node that run there end by themselves") {
        world.replicas.request_started(id, 100, world.now);
        world.replicas.apply(listed(2'000, {}), world.now);
        CHECK(world.replicas.find(id)->running_local == 1);
        world.replicas.request_finished(id);
        CHECK(world.replicas.find(id)->running_local == 0);
    }
    SUBCASE("a clock that was set back makes it no older") {
        world.replicas.apply(listed(500, {}), world.now);
        CHECK(world.best(world.need()) == "none");
    }
    SUBCASE("an entry that does not say is the same one's") {
        world.replicas.apply(entry("r1", {}), world.now);
        CHECK(world.replicas.find(id)->adapters.contains(adapter_id("m/warm")));
    }
}

TEST_CASE("entries that lapse with the store stay in use") {
    fleet_world world;
    world.replicas.apply(entry("r1", {hot()}), world.now);
    world.replicas.apply(entry("r2", {hot()}), world.now);
    world.replicas.mark_unlisted_except({}, true, world.now);
    CHECK(world.choice.resident_count(world.need(), world.now) == 2);

    SUBCASE("those that come back are as before") {
        world.replicas.apply(entry("r1", {hot()}), world.now + seconds(1));
        auto const gone =
            world.replicas.expire_missing(true, world.now + seconds(3));
        REQUIRE(gone.size() == 1);
        CHECK(gone.front().str() == "r2");
        CHECK(world.best(world.need()) == "r1");
    }
    SUBCASE("none is given up before the store is calm") {
        CHECK(world.replicas.expire_missing(false, world.now + seconds(9))
                  .empty());
        CHECK(world.choice.resident_count(world.need(), world.now) == 2);
    }
    // A replica leaves 0.8 s after the store's return, without a word before.
    // Its entry was waited for as long as one that had lapsed in the outage,
    // and callers were sent there when it had ended.
    SUBCASE("one that is lost after the store's return is not waited for "
            "longer") {
        world.replicas.apply(entry("r1", {hot()}), world.now);
        world.replicas.apply(entry("r2", {hot()}), world.now);
        world.now += seconds(2);
        CHECK(
            world.replicas.mark_unlisted(endpoint_id("r2"), true, world.now) ==
            fleet_change::none);
        auto const gone =
            world.replicas.expire_missing(true, world.now + milliseconds(10));
        REQUIRE(gone.size() == 1);
        CHECK(gone.front().str() == "r2");
    }
    SUBCASE("in a calm time an entry that is lost is gone at once") {
        CHECK(
            world.replicas.mark_unlisted(endpoint_id("r2"), false, world.now) ==
            fleet_change::removed);
        CHECK(world.best(world.need()) == "r1");
    }
}

// The store comes back from an older copy, in which a replica that has left
// stands as ready. Its requests would be cut off with it.
TEST_CASE("an entry from before does not bring a replica back") {
    fleet replicas;
    instant const now = instant() + seconds(100);
    replica_record record;
    record.id = endpoint_id("r1");
    record.service = service_id("llm");
    record.heartbeat = 40;
    replicas.apply(record, now);

    SUBCASE("one that was gone") {
        CHECK(
            replicas.mark_unlisted(record.id, false, now) ==
            fleet_change::removed);
        record.heartbeat = 37;
        CHECK(replicas.apply(record, now) == fleet_change::none);
        CHECK_FALSE(replicas.find(record.id)->accepts_requests());
        SUBCASE("comes back with what it writes itself") {
            record.heartbeat = 41;
            replicas.apply(record, now);
            CHECK(replicas.find(record.id)->accepts_requests());
        }
    }
    SUBCASE("one that was missed while the store was disturbed") {
        replicas.mark_unlisted(record.id, true, now);
        replicas.apply(record, now);
        replicas.expire_missing(true, now + seconds(3));
        CHECK_FALSE(replicas.find(record.id)->accepts_requests());
    }
    SUBCASE("one that leaves") {
        record.leaving = true;
        record.heartbeat = 41;
        replicas.apply(record, now);
        record.leaving = false;
        record.heartbeat = 40;
        replicas.apply(record, now);
        CHECK_FALSE(replicas.find(record.id)->accepts_requests());
    }
    SUBCASE("one that is there stays") {
        record.heartbeat = 37;
        replicas.apply(record, now);
        CHECK(replicas.find(record.id)->accepts_requests());
    }
}

TEST_CASE("nodes tell each other of their requests") {
    fleet_world world;
    world.replicas.apply(entry("r1", {hot()}), world.now);
    world.replicas.apply(entry("r2", {hot()}), world.now);
    std::uint64_t const first = fleet::id_hash(endpoint_id("r1"));
    world.replicas.update_usage(first, {8, 0}, world.now);
    for (std::uint64_t draw = 0; draw < 4; ++draw) {
        replica_requirements asked = world.need();
        asked.random_sample = draw;
        CHECK(world.best(asked) == "r2");
    }

    SUBCASE("prompts still to be read count like requests") {
        world.replicas.update_usage(first, {0, 8'000}, world.now);
        CHECK(world.best(world.need()) == "r2");
        CHECK(world.replicas.find(endpoint_id("r1"))->backlog(world.now) > 0);
        CHECK(
            world.replicas.find(endpoint_id("r1"))
                ->backlog(world.now + seconds(1)) == 0);
    }
    SUBCASE("what a node told that has fallen silent is forgotten") {
        instant const later = world.now + seconds(5);
        world.replicas.expire_usage(later);
        CHECK(world.replicas.find(endpoint_id("r1"))->running() == 0);
    }
}

// A replica answers its health check and fails two in five of its requests; or
// it goes dark. Callers of one replica in three would see it for seconds.
TEST_CASE("health is judged by use") {
    fleet_world world;
    for (std::string const name : {"r1", "r2", "r3"}) {
        world.replicas.apply(entry(name, {hot()}), world.now);
    }
    replica* const bad = world.replicas.find(endpoint_id("r1"));
    auto const times_chosen = [&] {
        int count = 0;
        for (std::uint64_t draw = 0; draw < 12; ++draw) {
            replica_requirements asked = world.need();
            asked.random_sample = draw;
            count += world.best(asked) == "r1" ? 1 : 0;
        }
        return count;
    };

    SUBCASE("silence rests it at once, and longer each time") {
        CHECK(bad->health.add_outcome(health_signal::no_response, world.now));
        CHECK(times_chosen() == 0);
        duration const first = bad->health.suspected_until() - world.now;
        CHECK_FALSE(
            bad->health.add_outcome(health_signal::no_response, world.now));
        world.now = bad->health.suspected_until();
        bad->health.add_outcome(health_signal::no_response, world.now);
        CHECK(bad->health.suspected_until() - world.now > first);
        SUBCASE("one answer clears it") {
            bad->health.add_outcome(health_signal::answered, world.now);
            CHECK_FALSE(bad->health.suspected(world.now));
            SUBCASE("and after some seconds it takes its part") {
                world.now += seconds(20);
                CHECK(times_chosen() > 0);
            }
        }
    }
    // Thirty-seven replicas lose three answers in a hundred. Each such answer
    // rested its replica for all nodes, and callers were refused while half of
    // the places were free.
    SUBCASE("one answer that breaks off rests nobody") {
        CHECK_FALSE(
            bad->health.add_outcome(health_signal::truncated, world.now));
        CHECK_FALSE(bad->health.suspected(world.now));
        SUBCASE("two in a row do") {
            CHECK(bad->health.add_outcome(health_signal::truncated, world.now));
            CHECK(bad->health.suspected(world.now));
        }
        SUBCASE("an answer between them starts the row anew") {
            bad->health.add_outcome(health_signal::answered, world.now);
            CHECK_FALSE(
                bad->health.add_outcome(health_signal::truncated, world.now));
        }
    }
    SUBCASE("failures beyond its peers' push requests away") {
        for (int each = 0; each < 20; ++each) {
            bad->health.add_outcome(
                each % 5 < 2 ? health_signal::failed : health_signal::answered,
                world.now);
        }
        CHECK(times_chosen() == 0);
    }
    SUBCASE("failures that all have count for nothing") {
        for (std::string const name : {"r1", "r2", "r3"}) {
            for (int each = 0; each < 20; ++each) {
                world.replicas.find(endpoint_id(name))
                    ->health.add_outcome(health_signal::failed, world.now);
            }
        }
        CHECK(times_chosen() > 0);
    }
    SUBCASE("when all are suspected one is still tried") {
        for (std::string const name : {"r1", "r2", "r3"}) {
            world.replicas.find(endpoint_id(name))
                ->health.add_outcome(health_signal::no_response, world.now);
        }
        CHECK(world.best(world.need()) != "none");
    }
}

// A rare adapter is asked for at two nodes at once. They have heard different
// things of the crowding, choose different replicas, and it is loaded twice.
TEST_CASE("an adapter's home is the same for all nodes") {
    fleet_world world;
    for (std::string const name : {"r1", "r2", "r3"}) {
        world.replicas.apply(entry(name), world.now);
    }
    replica* const home =
        world.choice.next_preferred_replica(world.need(), world.now);
    REQUIRE(home != nullptr);
    std::uint64_t const name = fleet::id_hash(home->record.id);

    SUBCASE("whatever they have heard of its load") {
        world.replicas.update_usage(name, {12, 0}, world.now);
        CHECK(
            world.choice.next_preferred_replica(world.need(), world.now) ==
            home);
    }
    SUBCASE("until it turns them away") {
        home->denials[hot().id] = {
            world.now + seconds(1), world.now + seconds(2)};
        replica* const next =
            world.choice.next_preferred_replica(world.need(), world.now);
        CHECK(next != home);
        SUBCASE("and for a while, when all do, there is none") {
            for (std::string const each : {"r1", "r2", "r3"}) {
                world.replicas.find(endpoint_id(each))->denials[hot().id] = {
                    world.now + seconds(1), world.now + seconds(2)};
            }
            CHECK(
                world.choice.next_preferred_replica(world.need(), world.now) ==
                nullptr);
            SUBCASE("but the soonest of them is known") {
                next->denials[hot().id].ready_at = world.now + seconds(1);
                CHECK(
                    world.choice.soonest_ready_replica(
                        world.need(), world.now) == next);
            }
        }
        SUBCASE("which holds for this adapter alone") {
            replica_requirements other = world.need();
            other.adapter = adapter_id("m/other");
            CHECK(home->denial(other.adapter, world.now) == nullptr);
        }
        SUBCASE("and where it has just been dropped it comes back as well") {
            world.replicas.mark_resident(next->record.id, hot(), world.now);
            world.replicas.mark_unloading(next->record.id, hot().id, world.now);
            CHECK(
                world.choice.next_preferred_replica(world.need(), world.now) ==
                next);
        }
        SUBCASE("and where it lay in the meantime it comes back at once") {
            endpoint_id const other = next->record.id;
            world.replicas.mark_resident(other, hot(), world.now);
            world.replicas.mark_unloading(other, hot().id, world.now);
            world.now += seconds(20);
            world.replicas.apply(entry(other.str()), world.now);
            CHECK(
                world.choice.next_preferred_replica(world.need(), world.now) ==
                world.replicas.find(other));
        }
    }
}

// The node that counts for a replica is silent. All others take the replica for
// empty and send there.
TEST_CASE("a replica without a count is told from an empty one") {
    fleet_world world;
    world.replicas.apply(entry("r1", {hot()}), world.now);
    replica* const only = world.replicas.find(endpoint_id("r1"));
    CHECK_FALSE(only->usage_known(world.now));
    world.replicas.update_usage(
        fleet::id_hash(only->record.id), {0, 0}, world.now);
    CHECK(only->usage_known(world.now));
    CHECK_FALSE(only->usage_known(world.now + seconds(3)));
}

// One adapter is a quarter of the work, and lies on one of twelve replicas. All
// its streams pause while each other's prompts are read.
TEST_CASE("copies follow the share of demand") {
    adapter_demand demand;
    instant const now = instant() + seconds(100);
    constexpr std::size_t replicas = 12;
    CHECK(demand.target_replica_count(hot().id, replicas, now) == 1);
    for (int each = 0; each < 100; ++each) {
        demand.add(hot().id, 800, now);
        for (std::string const other : {"m/x", "m/y", "m/z"}) {
            demand.add(adapter_id(other + std::to_string(each)), 800, now);
        }
    }
    CHECK(demand.target_replica_count(hot().id, replicas, now) >= 5);
    CHECK(demand.target_replica_count(adapter_id("m/x1"), replicas, now) == 1);
    CHECK(demand.warrants_replication(hot().id, replicas, now));
    CHECK_FALSE(demand.warrants_replication(adapter_id("m/x1"), replicas, now));

    SUBCASE("and fall when it moves on") {
        instant const later = now + seconds(30);
        for (int each = 0; each < 100; ++each) {
            demand.add(adapter_id("m/new"), 800, later);
        }
        CHECK(demand.target_replica_count(hot().id, replicas, later) == 1);
    }
}

// One adapter is asked for with short and with long prompts. It was brought to
// two replicas of six places each, one for either length, and its callers
// waited for two loads where one would do.
TEST_CASE("an adapter has one home, whatever the prompt's length") {
    adapter_demand demand;
    fleet_world world;
    for (std::string const name : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
        world.replicas.apply(entry(name), world.now);
    }
    replica* const home =
        world.choice.next_preferred_replica(world.need(), world.now);
    REQUIRE(home != nullptr);
    for (unsigned const prompt : {200U, 7'000U, 300U, 6'000U}) {
        demand.add(hot().id, prompt, world.now);
        CHECK(
            world.choice.next_preferred_replica(world.need(), world.now) ==
            home);
    }
    world.replicas.mark_resident(home->record.id, hot(), world.now);
    CHECK(world.best(world.need()) == home->record.id.str());
}

} // namespace camphorpoint
