#include "support/outcome_simulation.hpp"

#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t at_r1 = 1;
constexpr unsigned slots = 8;

struct outcome_fixture {
    replica_outcomes outcomes;
    instant now = instant() + seconds(100);

    avoidance_change add(health_signal signal, bool probe = false) {
        attempt_report report;
        report.signal = signal;
        report.probe = probe;
        return outcomes.add(report, now);
    }
    /// Adds failures until the replica is avoided.
    /// @returns their number
    int fail_until_avoided() {
        int count = 0;
        while (!outcomes.avoided() && count < 100) {
            add(health_signal::failed);
            ++count;
        }
        return count;
    }
    /// @returns the probes that are permitted within this time
    int probes_within(duration time, bool suitable = true) {
        int count = 0;
        for (instant const end = now + time; now < end;
             now += milliseconds(1)) {
            count += outcomes.take_probe(suitable, now) ? 1 : 0;
        }
        return count;
    }
};

} // namespace

// Guards against a replica that fails at once and gets hundreds of requests
// before it shows, since it answered hundreds before.
TEST_CASE("a replica that begins to fail everything is avoided") {
    outcome_fixture fixture;
    for (int each = 0; each < 1'000; ++each) {
        fixture.add(health_signal::answered);
    }
    CHECK(fixture.outcomes.failure_probability(fixture.now) == 0);
    CHECK(fixture.fail_until_avoided() <= 15);
}

// Guards against an avoidance by chance: the load of a sound replica would
// swing between none and its share.
TEST_CASE("a replica that fails one request in five is not avoided") {
    outcome_fixture fixture;
    std::mt19937_64 random(5);
    for (int each = 0; each < 100'000; ++each) {
        bool const failed = random() % 5 == 0;
        fixture.now += milliseconds(10);
        fixture.add(failed ? health_signal::failed : health_signal::answered);
        REQUIRE_FALSE(fixture.outcomes.avoided());
    }
    CHECK(fixture.outcomes.failure_probability(fixture.now) > 0.03);
    CHECK(fixture.outcomes.failure_probability(fixture.now) < 0.45);
}

// Guards against an estimate that decays faster than rare requests can raise
// it.
TEST_CASE("a replica that fails one request in two seconds is avoided") {
    outcome_fixture fixture;
    for (int each = 0; each < 10; ++each) {
        fixture.add(health_signal::truncated);
        fixture.now += seconds(2);
    }
    CHECK(fixture.outcomes.avoided());
}

// Guards against a replica that is never chosen again after two failures,
// because its peers are idle and have had none.
TEST_CASE("a replica with a few failures is tried when no request goes there") {
    outcome_fixture fixture;
    fixture.add(health_signal::answered);
    CHECK(fixture.probes_within(seconds(10)) == 0);
    fixture.add(health_signal::failed);
    fixture.add(health_signal::failed);
    CHECK_FALSE(fixture.outcomes.avoided());
    CHECK(fixture.probes_within(milliseconds(499)) == 0);
    CHECK(fixture.probes_within(milliseconds(2)) == 1);
    fixture.add(health_signal::answered, true);
    CHECK(fixture.probes_within(milliseconds(60)) == 1);
    fixture.add(health_signal::answered, true);
    CHECK(fixture.outcomes.failure_probability(fixture.now) == 0);
    CHECK(fixture.probes_within(seconds(10)) == 0);
}

// Guards against dozens of long requests at a replica that still fails: a probe
// counts when it ends.
TEST_CASE("probes that have not ended hold back further ones") {
    outcome_fixture fixture;
    fixture.fail_until_avoided();
    fixture.probes_within(seconds(1));
    fixture.add(health_signal::answered, true);
    CHECK(fixture.probes_within(seconds(2)) <= 5);
}

TEST_CASE("an avoided replica is probed twice a second in all") {
    outcome_fixture fixture;
    fixture.fail_until_avoided();
    SUBCASE("while its probes fail") {
        CHECK(fixture.probes_within(milliseconds(499)) == 0);
        CHECK(fixture.probes_within(seconds(10)) == 20);
        CHECK(
            fixture.add(health_signal::failed, true) == avoidance_change::none);
        CHECK(fixture.probes_within(seconds(10)) == 20);
    }
    // Guards against a request that may not be sent again and is lost for a
    // probe that another request could have made.
    SUBCASE("by requests that may not be repeated only when it is overdue") {
        CHECK(fixture.probes_within(milliseconds(999), false) == 0);
        CHECK(fixture.probes_within(milliseconds(2), false) == 1);
    }
    SUBCASE("and readmitted after two answered probes") {
        CHECK(fixture.probes_within(milliseconds(510)) == 1);
        CHECK(
            fixture.add(health_signal::answered, true) ==
            avoidance_change::none);
        CHECK(fixture.probes_within(milliseconds(10)) == 1);
        CHECK(
            fixture.add(health_signal::answered, true) ==
            avoidance_change::ended);
        CHECK_FALSE(fixture.outcomes.avoided());
        CHECK(fixture.outcomes.failure_probability(fixture.now) == 0);
        CHECK_FALSE(fixture.outcomes.take_probe(true, fixture.now));
    }
    // Guards against a replica that rejects all new requests while streams that
    // it began before are still answered.
    SUBCASE("and not readmitted for answers to earlier requests") {
        for (int each = 0; each < 10; ++each) {
            fixture.add(health_signal::answered);
        }
        CHECK(fixture.outcomes.avoided());
    }
    SUBCASE("and not readmitted when every second probe is answered") {
        for (int each = 0; each < 10; ++each) {
            fixture.add(health_signal::answered, true);
            fixture.add(health_signal::failed, true);
        }
        CHECK(fixture.outcomes.avoided());
    }
}

// Guards against a controller that forgets a failing replica as soon as no node
// has requests there, which is soon after it is avoided.
TEST_CASE("the controller remembers an avoided replica without requests") {
    running_request_tracker tracker;
    instant now = instant() + seconds(100);
    attempt_report failed;
    failed.signal = health_signal::no_response;
    for (int each = 0; each < 20; ++each) {
        tracker.add_attempt(at_r1, slots, failed, now);
    }
    now += seconds(30);
    tracker.drop_timed_out_nodes(now);
    CHECK(tracker.usage(at_r1, now).condition.avoided);
    CHECK(tracker.usage(at_r1, now).condition.failure_probability > 0);
    // Broadcasts must not carry a permission: all nodes would use it.
    CHECK_FALSE(tracker.usage(at_r1, now).condition.probe_permitted);

    SUBCASE("for a minute") {
        tracker.drop_timed_out_nodes(now + seconds(31));
        CHECK(tracker.outcomes(at_r1) == nullptr);
    }
    SUBCASE("until it restarts") {
        CHECK(tracker.forget_outcomes(at_r1));
        CHECK_FALSE(tracker.usage(at_r1, now).condition.avoided);
        CHECK_FALSE(tracker.forget_outcomes(at_r1));
    }
}

// Guards against the avoidance of a replica that rejects requests because all
// of its slots are taken.
TEST_CASE("rejections count when the replica has room") {
    running_request_tracker tracker;
    instant const now = instant() + seconds(100);
    attempt_report rejected;
    rejected.signal = health_signal::rejected;
    bool const full = [] {
        bool value = false;
        SUBCASE("full") {
            value = true;
        }
        SUBCASE("with room") {
            value = false;
        }
        return value;
    }();
    tracker.update("n1", at_r1, adapter_id(), full ? slots + 1 : 1, 0, now);
    for (int each = 0; each < 20; ++each) {
        tracker.add_attempt(at_r1, slots, rejected, now);
    }
    CHECK(tracker.usage(at_r1, now).condition.avoided == !full);
}

namespace {

struct choice_fixture {
    fleet replicas;
    replica_selector selector{replicas};
    instant now = instant() + seconds(100);
    replica_requirements need;

    explicit choice_fixture(unsigned count) {
        need.service = service_id("s");
        need.work.objective = seconds(1);
        need.work.patience = seconds(4);
        need.work.repeatable = true;
        for (unsigned each = 1; each <= count; ++each) {
            replica_record record;
            record.id = endpoint_id(name(each));
            record.service = need.service;
            record.slots = slots;
            replicas.apply(record, now);
        }
    }
    static std::string name(unsigned number) {
        return "r" + std::to_string(number);
    }
    void report(
        unsigned number, unsigned running, double failures, bool avoided,
        bool probe = false) {
        replica_usage usage;
        usage.running = running;
        usage.condition.failure_probability = failures;
        usage.condition.avoided = avoided;
        usage.condition.probe_permitted = probe;
        replicas.update_usage(
            fleet::id_hash(endpoint_id(name(number))), usage, now);
    }
    /// Makes the adapter of the request resident at the first replicas.
    void make_resident(unsigned count) {
        need.adapter = adapter_id("m/hot");
        for (unsigned each = 1; each <= count; ++each) {
            replicas.mark_resident(
                endpoint_id(name(each)), {need.adapter, 1}, now);
        }
    }
    bool asks_for(std::string const& id) const {
        return std::ranges::any_of(
            selector.compared_replicas(need, now),
            [&](replica const* each) { return each->record.id.str() == id; });
    }
    std::string best() const {
        replica const* const found = selector.best(need, now);
        return found == nullptr ? "" : found->record.id.str();
    }
};

} // namespace

// Guards against a replica that is empty because it fails, and draws the load
// of its full peers.
TEST_CASE("an avoided replica is chosen by a permitted probe only") {
    choice_fixture fixture(4);
    for (unsigned each = 2; each <= 4; ++each) {
        fixture.report(each, 5 * slots + each, 0, false);
    }
    fixture.report(1, 0, 1, true);
    CHECK(fixture.best() == "r2");

    SUBCASE("but its usage is asked for") {
        CHECK(
            fixture.selector.compared_replicas(fixture.need, fixture.now)
                .size() == 4);
    }
    SUBCASE("a permission holds for one request") {
        fixture.report(1, 0, 1, true, true);
        CHECK(fixture.best() == "r1");
        CHECK(fixture.replicas.request_started(
            endpoint_id("r1"), 0, fixture.now));
        CHECK(fixture.best() == "r2");
        CHECK_FALSE(fixture.replicas.request_started(
            endpoint_id("r1"), 0, fixture.now));
    }
    SUBCASE("a permission expires") {
        fixture.report(1, 0, 1, true, true);
        fixture.now += milliseconds(101);
        CHECK(fixture.best() == "r2");
    }
    SUBCASE("no other replica is left") {
        for (unsigned each = 2; each <= 4; ++each) {
            fixture.need.tried_replicas.emplace_back(fixture.name(each));
        }
        CHECK(fixture.best() == "r1");
    }
    // Guards against a readmitted replica that each node still suspects for
    // what it saw before.
    SUBCASE("its recovery ends what this node suspects") {
        replica& first = *fixture.replicas.find(endpoint_id("r1"));
        first.health.add_outcome(health_signal::no_response, fixture.now);
        fixture.report(1, 0, 1, true, true);
        CHECK(fixture.best() == "r1");
        SUBCASE("as probes have shown") {
            replica_usage usage;
            usage.condition.readmitted = true;
            fixture.replicas.update_usage(
                fleet::id_hash(first.record.id), usage, fixture.now);
            CHECK_FALSE(first.health.suspected(fixture.now));
        }
        // Guards against a controller that has just taken over and knows
        // nothing: all nodes would send to the failing replica at once.
        SUBCASE("a controller that says nothing of it has not seen it") {
            fixture.report(1, 0, 0, false);
            CHECK(first.health.suspected(fixture.now));
        }
    }
    // Guards against requests that are refused for want of room at a full
    // replica, which is tried, although others have room.
    SUBCASE("for an adapter a replica without room is not tried") {
        fixture.make_resident(2);
        fixture.report(2, 0, 0, false);
        fixture.report(1, 2 * slots, 1, true, true);
        CHECK(fixture.best() == "r2");
    }
    SUBCASE("another process of it begins with nothing") {
        replica_record record =
            fixture.replicas.find(endpoint_id("r1"))->record;
        record.started_at = incarnation(milliseconds(1));
        fixture.replicas.apply(record, fixture.now);
        record.started_at = incarnation(milliseconds(2));
        fixture.replicas.apply(record, fixture.now);
        CHECK(fixture.best() == "r1");
    }
}

// Guards against a replica that is left out for a report that is seconds old:
// it stays idle, and when the others fill up it is chosen by that report,
// although its controller advises against it by now.
TEST_CASE("a replica that looked full is asked for again") {
    choice_fixture fixture(4);
    fixture.report(1, slots + 1, 0, false);
    fixture.now += milliseconds(300);
    for (unsigned each = 2; each <= 4; ++each) {
        fixture.report(each, each, 0, false);
    }
    SUBCASE("by a request of a plain service") {
        CHECK(fixture.asks_for("r1"));
        SUBCASE("which goes elsewhere while it gets no answer") {
            CHECK(fixture.best() == "r2");
        }
        SUBCASE("which goes there when it is idle") {
            fixture.report(1, 0, 0, false);
            CHECK(fixture.best() == "r1");
        }
        SUBCASE("which goes elsewhere when it is avoided") {
            for (unsigned each = 2; each <= 4; ++each) {
                fixture.report(each, 2 * slots + each, 0, false);
            }
            fixture.report(1, 0, 1, true);
            CHECK(fixture.best() == "r2");
        }
    }
    SUBCASE("by a request for an adapter that three replicas have") {
        fixture.make_resident(3);
        CHECK(fixture.asks_for("r1"));
    }
    SUBCASE("but not in place of one of three others that have room") {
        fixture.make_resident(4);
        CHECK_FALSE(fixture.asks_for("r1"));
    }
    SUBCASE("but not while this node suspects it") {
        replica& first = *fixture.replicas.find(endpoint_id("r1"));
        first.health.add_outcome(health_signal::no_response, fixture.now);
        CHECK_FALSE(fixture.asks_for("r1"));
    }
}

// Guards against the loss of half of a service's room for a cause that is not
// the replicas: the other half could not take the load.
TEST_CASE("replicas of which half fail are chosen by their cost") {
    choice_fixture fixture(4);
    fixture.report(1, 0, 1, true);
    fixture.report(2, 1, 1, true);
    SUBCASE("a sound one, while it answers sooner") {
        fixture.report(3, slots, 0, false);
        fixture.report(4, slots + 1, 0, false);
        CHECK(fixture.best() == "r3");
    }
    SUBCASE("a failing one, when the wait costs more than a failure") {
        fixture.report(3, 5 * slots, 0, false);
        fixture.report(4, 5 * slots, 0, false);
        CHECK(fixture.best() == "r1");
    }
}

// Guards against a failure that costs the same for a caller who can be served
// elsewhere and for one who can't.
TEST_CASE("a failure costs a request that may not be repeated its patience") {
    choice_fixture fixture(4);
    for (unsigned each = 2; each <= 4; ++each) {
        fixture.report(each, 6, 0, false);
    }
    fixture.report(1, 0, 0.4, false);
    CHECK(fixture.best() == "r1");
    fixture.need.work.repeatable = false;
    CHECK(fixture.best() == "r2");
}

namespace {

/// Bounds the model to 1,200 requests a second at 300 replicas; a service of
/// two has 32, one of four 64.
unsigned slots_of(unsigned replicas) {
    return replicas < 10 ? slots : 2;
}

} // namespace

// Guards against nodes that learn of each other nothing: each would send the
// failing replica a dozen requests, and try it again by itself.
TEST_CASE("one of a service's replicas fails everything at once") {
    outcome_scenario scenario;
    for (unsigned const nodes : {1U, 7U, 84U, 300U, 1'900U}) {
        for (unsigned const replicas : {2U, 4U, 300U}) {
            CAPTURE(nodes);
            CAPTURE(replicas);
            scenario.nodes = nodes;
            scenario.replicas = replicas;
            scenario.slots = slots_of(replicas);
            outcome_result const result = simulate_outcomes(scenario, 1);
            CHECK(result.failed_before_avoided <= 60);
            CHECK(result.failed_per_second_after <= 2.01);
            CHECK(result.answered >= 0.99);
            CHECK(result.recovered_share >= 0.8);
        }
    }
}

TEST_CASE("one replica fails everything and one report in five is lost") {
    outcome_scenario scenario;
    scenario.lost_reports = 0.2;
    for (unsigned const nodes : {1U, 7U, 84U, 300U, 1'900U}) {
        for (unsigned const replicas : {2U, 4U, 300U}) {
            CAPTURE(nodes);
            CAPTURE(replicas);
            scenario.nodes = nodes;
            scenario.replicas = replicas;
            scenario.slots = slots_of(replicas);
            outcome_result const result = simulate_outcomes(scenario, 2);
            CHECK(result.failed_before_avoided <= 60);
            CHECK(result.failed_per_second_after <= 2.01);
            CHECK(result.recovered_share >= 0.8);
        }
    }
}

// Guards against a failing replica that draws the whole load because its peers
// have more requests than slots: each of 704 requests a second would go there.
TEST_CASE("one replica of a service without room fails everything") {
    outcome_scenario scenario;
    scenario.answer_time = milliseconds(50);
    scenario.load = 1.1;
    for (unsigned const nodes : {1U, 7U, 84U, 1'900U}) {
        CAPTURE(nodes);
        scenario.nodes = nodes;
        outcome_result const result = simulate_outcomes(scenario, 1);
        CHECK(result.failed_before_avoided <= 60);
        CHECK(result.failed_per_second_after <= 2.01);
        CHECK(result.recovered_share >= 0.8);
    }
}

// The same with 448 requests a second, which fill three replicas.
TEST_CASE("one replica of a service that is nearly full fails everything") {
    outcome_scenario scenario;
    scenario.answer_time = milliseconds(50);
    scenario.load = 0.7;
    for (unsigned const nodes : {1U, 7U, 84U, 1'900U}) {
        CAPTURE(nodes);
        scenario.nodes = nodes;
        outcome_result const result = simulate_outcomes(scenario, 1);
        CHECK(result.failed_before_avoided <= 60);
        CHECK(result.failed_per_second_after <= 2.01);
        CHECK(result.recovered_share >= 0.8);
    }
}

// Shows that the model has the failure that the outcomes of all nodes prevent.
TEST_CASE("nodes that learn alone send hundreds of requests to it") {
    outcome_scenario scenario;
    scenario.nodes = 84;
    scenario.replicas = 4;
    scenario.shared = false;
    outcome_result const result = simulate_outcomes(scenario, 1);
    CHECK(result.failed > 300);
}

// Guards against a service that loses the replicas which its new controller has
// not heard of, or which its dead one had advised against.
TEST_CASE("the controller of a failing replica dies") {
    outcome_scenario scenario;
    scenario.controller_dies = true;
    for (unsigned const nodes : {7U, 84U, 1'900U}) {
        CAPTURE(nodes);
        scenario.nodes = nodes;
        scenario.replicas = 4;
        outcome_result const result = simulate_outcomes(scenario, 3);
        CHECK(result.failed_before_avoided <= 60);
        // The new controller learns anew.
        CHECK(result.failed <= 2 * 60 + 2 * result.failing_seconds);
        CHECK(result.answered >= 0.99);
        CHECK(result.recovered_share >= 0.8);
    }
}

TEST_CASE("half of a service's replicas fail everything") {
    outcome_scenario scenario;
    for (unsigned const nodes : {7U, 84U, 1'900U}) {
        for (unsigned const replicas : {4U, 300U}) {
            CAPTURE(nodes);
            CAPTURE(replicas);
            scenario.nodes = nodes;
            scenario.replicas = replicas;
            scenario.slots = slots_of(replicas);
            scenario.failing = replicas / 2;
            outcome_result const result = simulate_outcomes(scenario, 4);
            // Until it shows, one request in eight meets three failing ones.
            CHECK(result.answered >= 0.95);
            CHECK(result.recovered_share >= 0.8);
        }
    }
}

} // namespace camphorpoint
