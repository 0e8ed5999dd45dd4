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

struct fleet_fixture {
    fleet replicas;
    replica_selector selector{replicas};
    instant now = instant() + seconds(100);

    replica_requirements make_requirements(std::uint32_t version = 0) const {
        replica_requirements requirements;
        requirements.service = service_id("llm");
        requirements.adapter = hot().id;
        requirements.model = model_id("m");
        requirements.min_version = version;
        return requirements;
    }
    std::string best(replica_requirements const& requirements) const {
        replica const* const found = selector.best(requirements, now);
        return found == nullptr ? "none" : found->record.id.str();
    }
};

} // namespace

TEST_CASE("a request goes to a replica that holds its adapter") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1"), fixture.now);
    fixture.replicas.apply(entry("r2", {hot()}), fixture.now);
    CHECK(fixture.best(fixture.make_requirements()) == "r2");

    SUBCASE("not to one that it has been at") {
        replica_requirements requirements = fixture.make_requirements();
        requirements.tried_replicas.emplace_back("r2");
        CHECK(fixture.best(requirements) == "none");
    }
    SUBCASE("not to an older version than it must run on") {
        CHECK(fixture.best(fixture.make_requirements(2)) == "none");
        fixture.replicas.mark_resident(endpoint_id("r1"), hot(2), fixture.now);
        CHECK(fixture.best(fixture.make_requirements(2)) == "r1");
    }
    SUBCASE("not where the adapter is about to go") {
        fixture.replicas.mark_unloading(
            endpoint_id("r2"), hot().id, fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
    }
    SUBCASE("the list, which is older, takes newer word back only later") {
        fixture.replicas.mark_resident(endpoint_id("r1"), hot(), fixture.now);
        fixture.replicas.apply(entry("r1"), fixture.now + seconds(1));
        CHECK(
            fixture.selector.resident_count(
                fixture.make_requirements(), fixture.now) == 2);
        fixture.replicas.apply(entry("r1"), fixture.now + seconds(3));
        CHECK(
            fixture.selector.resident_count(
                fixture.make_requirements(), fixture.now) == 1);
    }
}

TEST_CASE("the home of an adapter that nobody holds") {
    fleet_fixture fixture;
    for (std::string const name : {"r1", "r2", "r3", "r4"}) {
        fixture.replicas.apply(entry(name), fixture.now);
    }
    replica* const preferred = fixture.selector.next_preferred_replica(
        fixture.make_requirements(), fixture.now);
    REQUIRE(preferred != nullptr);
    SUBCASE("stays the same from request to request") {
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) == preferred);
    }
    SUBCASE("is another while the first is crowded") {
        // Its orderer counts, and says so to each that asks.
        running_request_tracker tracker;
        std::uint64_t const hash = fleet::id_hash(preferred->record.id);
        for (int each = 0; each < 9; ++each) {
            tracker.update(
                "n" + std::to_string(each), hash, hot().id, 1, 0, fixture.now);
        }
        CHECK(replica_selector::has_capacity(
            tracker.usage(hash, fixture.now), preferred->record.slots));
        tracker.update("n10", hash, hot().id, 1, 0, fixture.now);
        CHECK_FALSE(replica_selector::has_capacity(
            tracker.usage(hash, fixture.now), preferred->record.slots));
        preferred->denials[hot().id] = {
            fixture.now + milliseconds(400), fixture.now + seconds(1)};
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) != preferred);
    }
    SUBCASE("is its second one while only that has a slot free") {
        // Told by the nodes that order, so that all choose alike.
        std::uint64_t const hash = fleet::id_hash(preferred->record.id);
        fixture.replicas.update_usage(hash, {0, 0, -2}, fixture.now);
        replica* second = nullptr;
        for (std::string const other : {"r1", "r2", "r3", "r4"}) {
            fixture.replicas.find(endpoint_id(other))->free_slots =
                other == preferred->record.id.str() ? -2 : 1;
        }
        second = fixture.selector.next_preferred_replica(
            fixture.make_requirements(), fixture.now);
        CHECK(second != preferred);
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) == second);
        second->free_slots = 0;
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) == preferred);
    }
    SUBCASE("is not one that holds an older version, which would have to wait "
            "for its runs") {
        fixture.replicas.mark_resident(
            preferred->record.id, hot(1), fixture.now);
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(2), fixture.now) != preferred);
    }
}

// A replica leaves; its list entry says so. Requests that reach it after its
// two seconds are cut off with it.
TEST_CASE("a leaving replica gets nothing new") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
    replica_record leaving = entry("r1", {hot()});
    leaving.leaving = true;
    CHECK(
        fixture.replicas.apply(leaving, fixture.now) == fleet_change::leaving);
    CHECK(fixture.best(fixture.make_requirements()) == "none");

    SUBCASE("also when an older entry is read afterwards") {
        fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
    }
    SUBCASE("one that leaves at short notice gets nothing that outlasts it") {
        replica_record soon = entry("r2", {hot()});
        soon.remaining = milliseconds(500);
        fixture.replicas.apply(soon, fixture.now);
        replica_requirements requirements = fixture.make_requirements();
        requirements.expected_time = seconds(1);
        CHECK(fixture.best(requirements) == "none");
        requirements.expected_time = milliseconds(100);
        CHECK(fixture.best(requirements) == "r2");
    }
}

// The store is down, and the list loses all entries. With them gone nothing
// would be served, though every replica is there.
// A replica starts again under the id that it had. Nodes that take it for the
// earlier one send it requests for adapters that it no longer holds, and one
// that was about to leave is never used again.
TEST_CASE("a replica that starts again under its id is another one") {
    fleet_fixture fixture;
    auto const record_of = [&](int started, std::vector<adapter_ref> adapters) {
        replica_record record = entry("r1", std::move(adapters));
        record.started_at = incarnation(milliseconds(started));
        return record;
    };
    endpoint_id const id("r1");
    fixture.replicas.apply(record_of(1'000, {hot()}), fixture.now);
    fixture.replicas.mark_resident(id, {adapter_id("m/warm"), 1}, fixture.now);
    REQUIRE(fixture.best(fixture.make_requirements()) == "r1");

    SUBCASE("what was told of the earlier one counts no longer") {
        fixture.replicas.mark_unloading(id, adapter_id("m/cold"), fixture.now);
        CHECK(
            fixture.replicas.apply(record_of(2'000, {}), fixture.now) ==
            fleet_change::joined);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
        CHECK(fixture.replicas.find(id)->adapters.empty());
        CHECK_FALSE(
            fixture.replicas.find(id)->has_cached(adapter_id("m/cold")));
    }
    SUBCASE("nor that the earlier one was leaving") {
        replica_record leaving = record_of(1'000, {hot()});
        leaving.leaving = true;
        fixture.replicas.apply(leaving, fixture.now);
        REQUIRE_FALSE(fixture.replicas.find(id)->accepts_requests());
        fixture.replicas.apply(record_of(2'000, {}), fixture.now);
        CHECK(fixture.replicas.find(id)->accepts_requests());
    }
    SUBCASE("nor that the earlier one was to be gone by now") {
        replica_record noticed = record_of(1'000, {hot()});
        noticed.remaining = milliseconds(10);
        fixture.replicas.apply(noticed, fixture.now);
        fixture.replicas.apply(record_of(2'000, {hot()}), fixture.now);
        CHECK(fixture.replicas.find(id)->shutdown_at == instant::max());
    }
    SUBCASE("requests of this node that run there end by themselves") {
        fixture.replicas.request_started(id, 100, fixture.now);
        fixture.replicas.apply(record_of(2'000, {}), fixture.now);
        CHECK(fixture.replicas.find(id)->running_local == 1);
        fixture.replicas.request_finished(id);
        CHECK(fixture.replicas.find(id)->running_local == 0);
    }
    SUBCASE("a clock that was set back makes it no older") {
        fixture.replicas.apply(record_of(500, {}), fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
    }
    SUBCASE("an entry that does not say is the same one's") {
        fixture.replicas.apply(entry("r1", {}), fixture.now);
        CHECK(
            fixture.replicas.find(id)->adapters.contains(adapter_id("m/warm")));
    }
}

TEST_CASE("entries that lapse with the store stay in use") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
    fixture.replicas.apply(entry("r2", {hot()}), fixture.now);
    fixture.replicas.mark_unlisted_except({}, true, fixture.now);
    CHECK(
        fixture.selector.resident_count(
            fixture.make_requirements(), fixture.now) == 2);

    SUBCASE("those that come back are as before") {
        fixture.replicas.apply(entry("r1", {hot()}), fixture.now + seconds(1));
        auto const gone =
            fixture.replicas.expire_missing(true, fixture.now + seconds(3));
        REQUIRE(gone.size() == 1);
        CHECK(gone.front().str() == "r2");
        CHECK(fixture.best(fixture.make_requirements()) == "r1");
    }
    SUBCASE("none is given up before the store is calm") {
        CHECK(fixture.replicas.expire_missing(false, fixture.now + seconds(9))
                  .empty());
        CHECK(
            fixture.selector.resident_count(
                fixture.make_requirements(), fixture.now) == 2);
    }
    // A replica leaves 0.8 s after the store's return, without a word before.
    // Its entry was waited for as long as one that had lapsed in the outage,
    // and callers were sent there when it had ended.
    SUBCASE("one that is lost after the store's return is not waited for "
            "longer") {
        fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
        fixture.replicas.apply(entry("r2", {hot()}), fixture.now);
        fixture.now += seconds(2);
        CHECK(
            fixture.replicas.mark_unlisted(
                endpoint_id("r2"), true, fixture.now) == fleet_change::none);
        auto const gone = fixture.replicas.expire_missing(
            true, fixture.now + milliseconds(10));
        REQUIRE(gone.size() == 1);
        CHECK(gone.front().str() == "r2");
    }
    SUBCASE("in a calm time an entry that is lost is gone at once") {
        CHECK(
            fixture.replicas.mark_unlisted(
                endpoint_id("r2"), false, fixture.now) ==
            fleet_change::removed);
        CHECK(fixture.best(fixture.make_requirements()) == "r1");
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
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
    fixture.replicas.apply(entry("r2", {hot()}), fixture.now);
    std::uint64_t const first = fleet::id_hash(endpoint_id("r1"));
    fixture.replicas.update_usage(first, {8, 0}, fixture.now);
    for (std::uint64_t draw = 0; draw < 4; ++draw) {
        replica_requirements requirements = fixture.make_requirements();
        requirements.random_sample = draw;
        CHECK(fixture.best(requirements) == "r2");
    }

    SUBCASE("prompts still to be read count like requests") {
        fixture.replicas.update_usage(first, {0, 8'000}, fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "r2");
        CHECK(
            fixture.replicas.find(endpoint_id("r1"))->backlog(fixture.now) > 0);
        CHECK(
            fixture.replicas.find(endpoint_id("r1"))
                ->backlog(fixture.now + seconds(1)) == 0);
    }
    SUBCASE("what a node told that has fallen silent is forgotten") {
        instant const later = fixture.now + seconds(5);
        fixture.replicas.expire_usage(later);
        CHECK(fixture.replicas.find(endpoint_id("r1"))->running() == 0);
    }
}

// A replica answers its health check and fails two in five of its requests; or
// it goes dark. Callers of one replica in three would see it for seconds.
TEST_CASE("health is judged by use") {
    fleet_fixture fixture;
    for (std::string const name : {"r1", "r2", "r3"}) {
        fixture.replicas.apply(entry(name, {hot()}), fixture.now);
    }
    replica* const failing = fixture.replicas.find(endpoint_id("r1"));
    auto const times_chosen = [&] {
        int count = 0;
        for (std::uint64_t draw = 0; draw < 12; ++draw) {
            replica_requirements requirements = fixture.make_requirements();
            requirements.random_sample = draw;
            count += fixture.best(requirements) == "r1" ? 1 : 0;
        }
        return count;
    };

    SUBCASE("silence rests it at once, and longer each time") {
        CHECK(failing->health.add_outcome(
            health_signal::no_response, fixture.now));
        CHECK(times_chosen() == 0);
        duration const first = failing->health.suspected_until() - fixture.now;
        CHECK_FALSE(failing->health.add_outcome(
            health_signal::no_response, fixture.now));
        fixture.now = failing->health.suspected_until();
        failing->health.add_outcome(health_signal::no_response, fixture.now);
        CHECK(failing->health.suspected_until() - fixture.now > first);
        SUBCASE("one answer clears it") {
            failing->health.add_outcome(health_signal::answered, fixture.now);
            CHECK_FALSE(failing->health.suspected(fixture.now));
            SUBCASE("and after some seconds it takes its part") {
                fixture.now += seconds(20);
                CHECK(times_chosen() > 0);
            }
        }
    }
    // Thirty-seven replicas lose three answers in a hundred. Each such answer
    // rested its replica for all nodes, and callers were refused while half of
    // the places were free.
    SUBCASE("one answer that breaks off rests nobody") {
        CHECK_FALSE(
            failing->health.add_outcome(health_signal::truncated, fixture.now));
        CHECK_FALSE(failing->health.suspected(fixture.now));
        SUBCASE("two in a row do") {
            CHECK(failing->health.add_outcome(
                health_signal::truncated, fixture.now));
            CHECK(failing->health.suspected(fixture.now));
        }
        SUBCASE("an answer between them starts the row anew") {
            failing->health.add_outcome(health_signal::answered, fixture.now);
            CHECK_FALSE(failing->health.add_outcome(
                health_signal::truncated, fixture.now));
        }
    }
    SUBCASE("failures beyond its peers' push requests away") {
        for (int each = 0; each < 20; ++each) {
            failing->health.add_outcome(
                each % 5 < 2 ? health_signal::failed : health_signal::answered,
                fixture.now);
        }
        CHECK(times_chosen() == 0);
    }
    SUBCASE("failures that all have count for nothing") {
        for (std::string const name : {"r1", "r2", "r3"}) {
            for (int each = 0; each < 20; ++each) {
                fixture.replicas.find(endpoint_id(name))
                    ->health.add_outcome(health_signal::failed, fixture.now);
            }
        }
        CHECK(times_chosen() > 0);
    }
    SUBCASE("when all are suspected one is still tried") {
        for (std::string const name : {"r1", "r2", "r3"}) {
            fixture.replicas.find(endpoint_id(name))
                ->health.add_outcome(health_signal::no_response, fixture.now);
        }
        CHECK(fixture.best(fixture.make_requirements()) != "none");
    }
}

// A rare adapter is asked for at two nodes at once. They have heard different
// things of the crowding, choose different replicas, and it is loaded twice.
TEST_CASE("an adapter's home is the same for all nodes") {
    fleet_fixture fixture;
    for (std::string const name : {"r1", "r2", "r3"}) {
        fixture.replicas.apply(entry(name), fixture.now);
    }
    replica* const preferred = fixture.selector.next_preferred_replica(
        fixture.make_requirements(), fixture.now);
    REQUIRE(preferred != nullptr);
    std::uint64_t const hash = fleet::id_hash(preferred->record.id);

    SUBCASE("whatever they have heard of its load") {
        fixture.replicas.update_usage(hash, {12, 0}, fixture.now);
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) == preferred);
    }
    SUBCASE("until it turns them away") {
        preferred->denials[hot().id] = {
            fixture.now + seconds(1), fixture.now + seconds(2)};
        replica* const next = fixture.selector.next_preferred_replica(
            fixture.make_requirements(), fixture.now);
        CHECK(next != preferred);
        SUBCASE("and for a while, when all do, there is none") {
            for (std::string const each : {"r1", "r2", "r3"}) {
                fixture.replicas.find(endpoint_id(each))->denials[hot().id] = {
                    fixture.now + seconds(1), fixture.now + seconds(2)};
            }
            CHECK(
                fixture.selector.next_preferred_replica(
                    fixture.make_requirements(), fixture.now) == nullptr);
            SUBCASE("but the soonest of them is known") {
                next->denials[hot().id].ready_at = fixture.now + seconds(1);
                CHECK(
                    fixture.selector.soonest_ready_replica(
                        fixture.make_requirements(), fixture.now) == next);
            }
        }
        SUBCASE("which holds for this adapter alone") {
            replica_requirements other = fixture.make_requirements();
            other.adapter = adapter_id("m/other");
            CHECK(preferred->denial(other.adapter, fixture.now) == nullptr);
        }
        SUBCASE("and where it has just been dropped it comes back as well") {
            fixture.replicas.mark_resident(next->record.id, hot(), fixture.now);
            fixture.replicas.mark_unloading(
                next->record.id, hot().id, fixture.now);
            CHECK(
                fixture.selector.next_preferred_replica(
                    fixture.make_requirements(), fixture.now) == next);
        }
        SUBCASE("and where it lay in the meantime it comes back at once") {
            endpoint_id const other = next->record.id;
            fixture.replicas.mark_resident(other, hot(), fixture.now);
            fixture.replicas.mark_unloading(other, hot().id, fixture.now);
            fixture.now += seconds(20);
            fixture.replicas.apply(entry(other.str()), fixture.now);
            CHECK(
                fixture.selector.next_preferred_replica(
                    fixture.make_requirements(), fixture.now) ==
                fixture.replicas.find(other));
        }
    }
}

// The node that counts for a replica is silent. All others take the replica for
// empty and send there.
TEST_CASE("a replica without a count is told from an empty one") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
    replica* const only = fixture.replicas.find(endpoint_id("r1"));
    CHECK_FALSE(only->usage_known(fixture.now));
    fixture.replicas.update_usage(
        fleet::id_hash(only->record.id), {0, 0}, fixture.now);
    CHECK(only->usage_known(fixture.now));
    CHECK_FALSE(only->usage_known(fixture.now + seconds(3)));
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
    fleet_fixture fixture;
    for (std::string const name : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
        fixture.replicas.apply(entry(name), fixture.now);
    }
    replica* const preferred = fixture.selector.next_preferred_replica(
        fixture.make_requirements(), fixture.now);
    REQUIRE(preferred != nullptr);
    for (unsigned const prompt : {200U, 7'000U, 300U, 6'000U}) {
        demand.add(hot().id, prompt, fixture.now);
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) == preferred);
    }
    fixture.replicas.mark_resident(preferred->record.id, hot(), fixture.now);
    CHECK(
        fixture.best(fixture.make_requirements()) ==
        preferred->record.id.str());
}

} // namespace camphorpoint
