#include <Camphorpoint/Placement>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

model_id const base("base-7b");

std::vector<placement_endpoint> make_replicas(std::size_t count) {
    std::vector<placement_endpoint> result;
    for (std::size_t index = 0; index < count; ++index) {
        placement_endpoint each;
        each.id = endpoint_id("r" + std::to_string(index));
        each.model = base;
        each.domain = domain_id("d" + std::to_string(index % 3));
        result.push_back(each);
    }
    return result;
}

adapter_ref adapter_named(std::string const& name, std::uint32_t version = 1) {
    return {adapter_id(name), version};
}

/// An entry node's placement with 18 replicas, in virtual time.
class placement_fixture {
public:
    placement_fixture()
        : endpoints(make_replicas(18))
        , placement_(placement_settings{}) {
        placement_.set_endpoints(endpoints);
    }

    std::optional<endpoint_id> choose(
        adapter_ref const& adapter, std::uint64_t prefix = 0,
        std::vector<endpoint_id> const& excluded = {}) {
        return placement_.choose(
            adapter, base, urgency::normal, prefix, excluded, now);
    }
    void feedback(
        endpoint_id const& from, adapter_ref const& adapter, bool resident,
        milliseconds wait = {}, milliseconds load = milliseconds(500)) {
        replica_feedback message;
        message.adapter_resident = resident;
        message.expected_wait = wait;
        message.expected_load = load;
        message.running = wait.count() > 0 ? 16 : 1;
        placement_.on_feedback(from, adapter, message, now);
    }
    placement<>& subject() { return placement_; }

    std::vector<placement_endpoint> endpoints;
    instant now = instant{} + std::chrono::hours(1);

private:
    placement<> placement_;
};

} // namespace

TEST_CASE("an adapter has a preferred replica") {
    placement_fixture fixture;
    adapter_ref const audit = adapter_named("audit");
    endpoint_id const preferred = *fixture.choose(audit);

    SUBCASE("it is the same on all nodes and for all versions") {
        placement_fixture other;
        std::ranges::reverse(other.endpoints);
        other.subject().set_endpoints(other.endpoints);
        CHECK(other.choose(audit) == preferred);
        CHECK(other.choose(adapter_named("audit", 2)) == preferred);
    }

    SUBCASE("it is chosen while its queue is short") {
        fixture.feedback(preferred, audit, true, milliseconds(300));
        CHECK(fixture.choose(audit) == preferred);
    }

    SUBCASE("another one is chosen when its queue takes longer than a load") {
        fixture.feedback(preferred, audit, true, milliseconds(5'000));
        CHECK(fixture.choose(audit) != preferred);

        SUBCASE("an old report of the queue no longer counts") {
            fixture.now += seconds(30);
            CHECK(fixture.choose(audit) == preferred);
        }
    }

    // While the weight store is slow, loads are slow on all replicas. If one
    // replica were taken to be slow for it, its adapters would go to others,
    // where each needs a further load.
    SUBCASE("a slow weight store moves no adapter") {
        endpoint_id const second = *fixture.choose(audit, 0, {preferred});
        for (int count = 0; count < 50; ++count) {
            fixture.feedback(
                preferred, adapter_named("other"), false, {}, seconds(5));
        }
        CHECK(fixture.choose(audit) == preferred);
        fixture.feedback(second, adapter_named("other"), false);
        CHECK(fixture.choose(audit) == preferred);
    }

    SUBCASE("a replica that has the adapter resident is chosen instead") {
        endpoint_id const second = *fixture.choose(audit, 0, {preferred});
        fixture.feedback(second, audit, true);
        fixture.feedback(preferred, audit, false);
        CHECK(fixture.choose(audit) == second);
    }

    SUBCASE("a burst of requests does not all go to one replica") {
        fixture.feedback(preferred, audit, true);
        bool spilled = false;
        for (int count = 0; count < 40; ++count) {
            spilled = spilled || fixture.choose(audit) != preferred;
        }
        CHECK(spilled);
    }

    SUBCASE("a leaving or suspected replica gets no new requests") {
        auto const is_preferred = [&](auto const& each) {
            return each.id == preferred;
        };
        std::ranges::find_if(fixture.endpoints, is_preferred)->usable = false;
        fixture.subject().set_endpoints(fixture.endpoints);
        CHECK(fixture.choose(audit) != preferred);
        std::ranges::find_if(fixture.endpoints, is_preferred)->usable = true;
        fixture.subject().set_endpoints(fixture.endpoints);
        CHECK(fixture.choose(audit) == preferred);
    }

    SUBCASE("excluded replicas are not chosen, even if none is left") {
        std::vector<endpoint_id> excluded;
        for (placement_endpoint const& each : fixture.endpoints) {
            excluded.push_back(each.id);
        }
        CHECK_FALSE(fixture.choose(audit, 0, excluded));
    }
}

// Guards against a replica's failure that changes the preferred replica of
// adapters it never had: hundreds of adapters would be loaded on other
// replicas, and all callers would stall.
TEST_CASE("removing a replica moves only its own adapters") {
    placement_fixture fixture;
    for (placement_endpoint& each : fixture.endpoints) {
        // So large that no request goes to another replica because of a queue.
        each.batch_limit = 1'000;
    }
    fixture.subject().set_endpoints(fixture.endpoints);
    std::vector<endpoint_id> before;
    before.reserve(300);
    for (int count = 0; count < 300; ++count) {
        before.push_back(
            *fixture.choose(adapter_named("a" + std::to_string(count))));
    }
    endpoint_id const removed = fixture.endpoints.back().id;
    fixture.endpoints.pop_back();
    placement_fixture after;
    after.endpoints = fixture.endpoints;
    after.subject().set_endpoints(after.endpoints);
    std::size_t moved = 0;
    for (std::size_t count = 0; count < 300; ++count) {
        auto const preferred =
            *after.choose(adapter_named("a" + std::to_string(count)));
        moved += preferred != before[count] ? 1 : 0;
        CHECK((before[count] == removed || preferred == before[count]));
    }
    CHECK(moved > 0);
}

TEST_CASE("an adapter in high demand uses further replicas") {
    placement_fixture fixture;
    adapter_ref const hot = adapter_named("hot");
    endpoint_id const preferred = *fixture.choose(hot);
    // The queue is too short to justify the eviction of another adapter.
    fixture.feedback(preferred, hot, true, milliseconds(300));
    CHECK(fixture.choose(hot) == preferred);
    for (int count = 0; count < 400; ++count) {
        fixture.now += milliseconds(50);
        fixture.subject().on_demand(hot, fixture.now);
    }
    fixture.feedback(preferred, hot, true, milliseconds(300));
    CHECK(fixture.choose(hot) != preferred);
}

TEST_CASE("a replica that has cached the prompt's prefix is preferred") {
    placement_fixture fixture;
    adapter_ref const audit = adapter_named("audit");
    endpoint_id const preferred = *fixture.choose(audit);
    endpoint_id const second = *fixture.choose(audit, 0, {preferred});
    fixture.feedback(preferred, audit, true);
    fixture.feedback(second, audit, true);
    REQUIRE(fixture.choose(audit) == preferred);
    fixture.subject().on_cache_event({second, 77, true, {}}, fixture.now);
    CHECK(fixture.choose(audit, 77) == second);

    SUBCASE("an older notification does not replace a newer one") {
        fixture.subject().on_cache_event(
            {second, 77, false, seconds(2)}, fixture.now);
        CHECK(fixture.choose(audit, 77) == second);
    }

    SUBCASE("the hint ends when the engine evicts the prefix") {
        fixture.subject().on_cache_event({second, 77, false, {}}, fixture.now);
        CHECK(fixture.choose(audit, 77) == preferred);
    }

    SUBCASE("the hint expires") {
        fixture.now += seconds(61);
        fixture.feedback(preferred, audit, true);
        fixture.feedback(second, audit, true);
        CHECK(fixture.choose(audit, 77) == preferred);
    }
}

} // namespace camphorpoint::test
