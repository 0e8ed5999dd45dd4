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

TEST_CASE("a request is sent to a replica on which its adapter is resident") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1"), fixture.now);
    fixture.replicas.apply(entry("r2", {hot()}), fixture.now);
    CHECK(fixture.best(fixture.make_requirements()) == "r2");

    SUBCASE("not to a replica that it has already been sent to") {
        replica_requirements requirements = fixture.make_requirements();
        requirements.tried_replicas.emplace_back("r2");
        CHECK(fixture.best(requirements) == "none");
    }
    SUBCASE("not to one with an older version than the request requires") {
        CHECK(fixture.best(fixture.make_requirements(2)) == "none");
        fixture.replicas.mark_resident(endpoint_id("r1"), hot(2), fixture.now);
        CHECK(fixture.best(fixture.make_requirements(2)) == "r1");
    }
    SUBCASE("not to one that is about to unload the adapter") {
        fixture.replicas.mark_unloading(
            endpoint_id("r2"), hot().id, fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
    }
    SUBCASE("the older registry overrides a newer message only after a delay") {
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

TEST_CASE("the preferred replica of an adapter that is not resident anywhere") {
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
    SUBCASE("is another one while the first is full") {
        // The replica's controller counts the running requests and reports them
        // to each node that asks.
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
        preferred->load_rejections[hot().id] = {
            fixture.now + milliseconds(400), fixture.now + seconds(1)};
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) != preferred);
    }
    SUBCASE("is the second one while only that has a free slot") {
        // Reported by the controllers, so that all nodes choose alike.
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
    SUBCASE("is not one with an older version, which would first have to "
            "complete its requests") {
        fixture.replicas.mark_resident(
            preferred->record.id, hot(1), fixture.now);
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(2), fixture.now) != preferred);
    }
}

// Guards against requests that are sent to a leaving replica although its
// registry entry announces the shutdown. They would be cut off when it stops
// two seconds later.
TEST_CASE("a leaving replica gets no new requests") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
    replica_record leaving = entry("r1", {hot()});
    leaving.leaving = true;
    CHECK(
        fixture.replicas.apply(leaving, fixture.now) == fleet_change::leaving);
    CHECK(fixture.best(fixture.make_requirements()) == "none");

    SUBCASE("nor when an older entry is read afterwards") {
        fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
    }
    SUBCASE("one that leaves at short notice gets no request that may take "
            "longer") {
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

// A replica restarts under its former id. Guards against nodes that take it for
// the earlier process: they would send it requests for adapters that are no
// longer resident, and would never use it again if the earlier process was
// about to leave.
TEST_CASE("a replica that restarts under its id counts as another one") {
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

    SUBCASE("messages about the earlier process no longer apply") {
        fixture.replicas.mark_unloading(id, adapter_id("m/cold"), fixture.now);
        CHECK(
            fixture.replicas.apply(record_of(2'000, {}), fixture.now) ==
            fleet_change::joined);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
        CHECK(fixture.replicas.find(id)->adapters.empty());
        CHECK_FALSE(
            fixture.replicas.find(id)->has_cached(adapter_id("m/cold")));
    }
    SUBCASE("nor does a late message that the earlier process leaves") {
        incarnation const earlier{milliseconds(1'000)};
        incarnation const later{milliseconds(2'000)};
        fixture.replicas.apply(record_of(2'000, {}), fixture.now);
        CHECK_FALSE(fixture.replicas.mark_leaving(id, earlier));
        CHECK(fixture.replicas.mark_leaving(id, later));
    }
    SUBCASE("nor does the leaving of the earlier process") {
        replica_record leaving = record_of(1'000, {hot()});
        leaving.leaving = true;
        fixture.replicas.apply(leaving, fixture.now);
        REQUIRE_FALSE(fixture.replicas.find(id)->accepts_requests());
        fixture.replicas.apply(record_of(2'000, {}), fixture.now);
        CHECK(fixture.replicas.find(id)->accepts_requests());
    }
    SUBCASE("nor does the announced shutdown time of the earlier process") {
        replica_record noticed = record_of(1'000, {hot()});
        noticed.remaining = milliseconds(10);
        fixture.replicas.apply(noticed, fixture.now);
        fixture.replicas.apply(record_of(2'000, {hot()}), fixture.now);
        CHECK(fixture.replicas.find(id)->shutdown_at == instant::max());
    }
    SUBCASE("requests of this node that run there complete on their own") {
        fixture.replicas.request_started(id, 100, fixture.now);
        fixture.replicas.apply(record_of(2'000, {}), fixture.now);
        CHECK(fixture.replicas.find(id)->running_local == 1);
        fixture.replicas.request_finished(id);
        CHECK(fixture.replicas.find(id)->running_local == 0);
    }
    SUBCASE("a start time before the known one also counts as a restart") {
        fixture.replicas.apply(record_of(500, {}), fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "none");
    }
    SUBCASE("an entry without a start time belongs to the same process") {
        fixture.replicas.apply(entry("r1", {}), fixture.now);
        CHECK(
            fixture.replicas.find(id)->adapters.contains(adapter_id("m/warm")));
    }
}

// Guards against removing all replicas when the store is down and all registry
// entries expire: no request would be served although every replica is there.
TEST_CASE("replicas whose entries expire in a store outage stay in use") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
    fixture.replicas.apply(entry("r2", {hot()}), fixture.now);
    fixture.replicas.mark_unlisted_except({}, true, fixture.now);
    CHECK(
        fixture.selector.resident_count(
            fixture.make_requirements(), fixture.now) == 2);

    SUBCASE("those that reappear are used as before") {
        // Guards against an entry that is written again and that no node
        // broadcasts, as the nodes that read it have kept the replica.
        CHECK(
            fixture.replicas.apply(
                entry("r1", {hot()}), fixture.now + seconds(1)) ==
            fleet_change::joined);
        auto const gone =
            fixture.replicas.expire_missing(true, fixture.now + seconds(3));
        REQUIRE(gone.size() == 1);
        CHECK(gone.front().str() == "r2");
        CHECK(fixture.best(fixture.make_requirements()) == "r1");
    }
    SUBCASE("none is removed before the store is stable") {
        CHECK(fixture.replicas.expire_missing(false, fixture.now + seconds(9))
                  .empty());
        CHECK(
            fixture.selector.resident_count(
                fixture.make_requirements(), fixture.now) == 2);
    }
    // A replica leaves 0.8 s after the store's recovery without announcing it.
    // Guards against waiting for its entry as long as for one that expired in
    // the outage: callers would be sent to a replica that has stopped.
    SUBCASE(
        "one that disappears after the store's recovery is not kept longer") {
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
    SUBCASE("while the store is stable a missing entry removes its replica at "
            "once") {
        CHECK(
            fixture.replicas.mark_unlisted(
                endpoint_id("r2"), false, fixture.now) ==
            fleet_change::removed);
        CHECK(fixture.best(fixture.make_requirements()) == "r1");
    }
}

// The store is restored from an older snapshot, in which a replica that has
// left is listed as ready. Guards against sending it requests, which would be
// cut off with it.
TEST_CASE("an entry from an older snapshot does not bring a replica back") {
    fleet replicas;
    instant const now = instant() + seconds(100);
    replica_record record;
    record.id = endpoint_id("r1");
    record.service = service_id("llm");
    record.heartbeat = 40;
    replicas.apply(record, now);

    SUBCASE("one that was removed") {
        CHECK(
            replicas.mark_unlisted(record.id, false, now) ==
            fleet_change::removed);
        record.heartbeat = 37;
        CHECK(replicas.apply(record, now) == fleet_change::none);
        CHECK_FALSE(replicas.find(record.id)->accepts_requests());
        SUBCASE("is used again after it has written a new entry") {
            record.heartbeat = 41;
            replicas.apply(record, now);
            CHECK(replicas.find(record.id)->accepts_requests());
        }
    }
    SUBCASE("one that disappeared while the store was unstable") {
        replicas.mark_unlisted(record.id, true, now);
        replicas.apply(record, now);
        replicas.expire_missing(true, now + seconds(3));
        CHECK_FALSE(replicas.find(record.id)->accepts_requests());
    }
    SUBCASE("one that is leaving") {
        record.leaving = true;
        record.heartbeat = 41;
        replicas.apply(record, now);
        record.leaving = false;
        record.heartbeat = 40;
        replicas.apply(record, now);
        CHECK_FALSE(replicas.find(record.id)->accepts_requests());
    }
    SUBCASE("one that is listed stays in use") {
        record.heartbeat = 37;
        replicas.apply(record, now);
        CHECK(replicas.find(record.id)->accepts_requests());
    }
}

TEST_CASE("usage reports of other nodes count in the selection") {
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

    SUBCASE("unprocessed prompt tokens count like requests") {
        fixture.replicas.update_usage(first, {0, 8'000}, fixture.now);
        CHECK(fixture.best(fixture.make_requirements()) == "r2");
        CHECK(
            fixture.replicas.find(endpoint_id("r1"))->backlog(fixture.now) > 0);
        CHECK(
            fixture.replicas.find(endpoint_id("r1"))
                ->backlog(fixture.now + seconds(1)) == 0);
    }
    SUBCASE("usage is reset when no report is received any more") {
        instant const later = fixture.now + seconds(5);
        fixture.replicas.expire_usage(later);
        CHECK(fixture.replicas.find(endpoint_id("r1"))->running() == 0);
    }
}

// A replica succeeds in its health check and fails two in five of its requests,
// or becomes unreachable. Guards against callers of one replica in three seeing
// these failures for seconds.
TEST_CASE("health is judged by the outcomes of attempts") {
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

    SUBCASE(
        "a missing response makes it suspected at once, and longer each time") {
        CHECK(failing->health.add_outcome(
            health_signal::no_response, fixture.now));
        CHECK(times_chosen() == 0);
        duration const first = failing->health.suspected_until() - fixture.now;
        CHECK_FALSE(failing->health.add_outcome(
            health_signal::no_response, fixture.now));
        fixture.now = failing->health.suspected_until();
        failing->health.add_outcome(health_signal::no_response, fixture.now);
        CHECK(failing->health.suspected_until() - fixture.now > first);
        SUBCASE("one answer ends the suspicion") {
            failing->health.add_outcome(health_signal::answered, fixture.now);
            CHECK_FALSE(failing->health.suspected(fixture.now));
            SUBCASE("and after some seconds it gets requests again") {
                fixture.now += seconds(20);
                CHECK(times_chosen() > 0);
            }
        }
    }
    // Thirty-seven replicas truncate three answers in a hundred. Guards against
    // each such answer making its replica suspected at all nodes: callers would
    // be refused while half of the slots are free.
    SUBCASE("one truncated answer does not make it suspected") {
        CHECK_FALSE(
            failing->health.add_outcome(health_signal::truncated, fixture.now));
        CHECK_FALSE(failing->health.suspected(fixture.now));
        SUBCASE("two in a row do") {
            CHECK(failing->health.add_outcome(
                health_signal::truncated, fixture.now));
            CHECK(failing->health.suspected(fixture.now));
        }
        SUBCASE("an answer between them restarts the count") {
            failing->health.add_outcome(health_signal::answered, fixture.now);
            CHECK_FALSE(failing->health.add_outcome(
                health_signal::truncated, fixture.now));
        }
    }
    SUBCASE("failures in excess of its peers' divert requests") {
        for (int each = 0; each < 20; ++each) {
            failing->health.add_outcome(
                each % 5 < 2 ? health_signal::failed : health_signal::answered,
                fixture.now);
        }
        CHECK(times_chosen() == 0);
    }
    SUBCASE("failures that all replicas have do not count") {
        for (std::string const name : {"r1", "r2", "r3"}) {
            for (int each = 0; each < 20; ++each) {
                fixture.replicas.find(endpoint_id(name))
                    ->health.add_outcome(health_signal::failed, fixture.now);
            }
        }
        CHECK(times_chosen() > 0);
    }
    SUBCASE("when all are suspected one of them is still tried") {
        for (std::string const name : {"r1", "r2", "r3"}) {
            fixture.replicas.find(endpoint_id(name))
                ->health.add_outcome(health_signal::no_response, fixture.now);
        }
        CHECK(fixture.best(fixture.make_requirements()) != "none");
    }
}

// A rarely used adapter is requested at two nodes at the same time, which have
// received different usage reports. Guards against the nodes choosing different
// replicas, so that the adapter is loaded twice.
TEST_CASE("all nodes prefer the same replica for an adapter") {
    fleet_fixture fixture;
    for (std::string const name : {"r1", "r2", "r3"}) {
        fixture.replicas.apply(entry(name), fixture.now);
    }
    replica* const preferred = fixture.selector.next_preferred_replica(
        fixture.make_requirements(), fixture.now);
    REQUIRE(preferred != nullptr);
    std::uint64_t const hash = fleet::id_hash(preferred->record.id);

    SUBCASE("regardless of the usage reports that they have received") {
        fixture.replicas.update_usage(hash, {12, 0}, fixture.now);
        CHECK(
            fixture.selector.next_preferred_replica(
                fixture.make_requirements(), fixture.now) == preferred);
    }
    SUBCASE("until the replica denies the load request") {
        preferred->load_rejections[hot().id] = {
            fixture.now + seconds(1), fixture.now + seconds(2)};
        replica* const next = fixture.selector.next_preferred_replica(
            fixture.make_requirements(), fixture.now);
        CHECK(next != preferred);
        SUBCASE("and while all replicas deny it, there is none") {
            for (std::string const each : {"r1", "r2", "r3"}) {
                fixture.replicas.find(endpoint_id(each))
                    ->load_rejections[hot().id] = {
                    fixture.now + seconds(1), fixture.now + seconds(2)};
            }
            CHECK(
                fixture.selector.next_preferred_replica(
                    fixture.make_requirements(), fixture.now) == nullptr);
            SUBCASE("but the one that would be ready first is known") {
                next->load_rejections[hot().id].ready_at =
                    fixture.now + seconds(1);
                CHECK(
                    fixture.selector.soonest_ready_replica(
                        fixture.make_requirements(), fixture.now) == next);
            }
        }
        SUBCASE("which applies to this adapter only") {
            replica_requirements other = fixture.make_requirements();
            other.adapter = adapter_id("m/other");
            CHECK(
                preferred->load_rejection_of(other.adapter, fixture.now) ==
                nullptr);
        }
        SUBCASE(
            "and a replica that has just unloaded the adapter is preferred") {
            fixture.replicas.mark_resident(next->record.id, hot(), fixture.now);
            fixture.replicas.mark_unloading(
                next->record.id, hot().id, fixture.now);
            CHECK(
                fixture.selector.next_preferred_replica(
                    fixture.make_requirements(), fixture.now) == next);
        }
        SUBCASE("and a replica that has the adapter cached is preferred") {
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

// The controller of a replica sends no usage reports. Guards against all other
// nodes taking the replica for idle and sending requests there.
TEST_CASE("a replica without a usage report differs from an idle one") {
    fleet_fixture fixture;
    fixture.replicas.apply(entry("r1", {hot()}), fixture.now);
    replica* const only = fixture.replicas.find(endpoint_id("r1"));
    CHECK_FALSE(only->usage_known(fixture.now));
    fixture.replicas.update_usage(
        fleet::id_hash(only->record.id), {0, 0}, fixture.now);
    CHECK(only->usage_known(fixture.now));
    CHECK_FALSE(only->usage_known(fixture.now + seconds(3)));
}

// One adapter makes up a quarter of the demand and is resident on one of twelve
// replicas. Guards against all of its streams pausing there while the prompts
// of the others are processed.
TEST_CASE("the number of replicas of an adapter follows its demand") {
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

    SUBCASE("and falls when the demand moves on") {
        instant const later = now + seconds(30);
        for (int each = 0; each < 100; ++each) {
            demand.add(adapter_id("m/new"), 800, later);
        }
        CHECK(demand.target_replica_count(hot().id, replicas, later) == 1);
    }
}

// One adapter is requested with short and with long prompts. Guards against
// loading it at two replicas of six slots each, one for either length: its
// callers would wait for two loads where one is enough.
TEST_CASE("an adapter has one preferred replica for prompts of any length") {
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
