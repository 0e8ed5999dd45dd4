#include <Camphorpoint/Placement>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

model_id const base("base-7b");

std::vector<placement_endpoint> fleet(std::size_t count) {
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

adapter_ref named(std::string const& name, std::uint32_t version = 1) {
    return {adapter_id(name), version};
}

/// An entry node's placement over 18 replicas, in virtual time.
class placement_story {
public:
    placement_story()
        : endpoints(fleet(18))
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
    placement<>& of() { return placement_; }

    std::vector<placement_endpoint> endpoints;
    instant now = instant{} + std::chrono::hours(1);

private:
    placement<> placement_;
};

} // namespace

TEST_CASE("an adapter has its home") {
    placement_story story;
    adapter_ref const audit = named("audit");
    endpoint_id const home = *story.choose(audit);

    SUBCASE("which another node finds as well, and so does another version") {
        placement_story other;
        std::ranges::reverse(other.endpoints);
        other.of().set_endpoints(other.endpoints);
        CHECK(other.choose(audit) == home);
        CHECK(other.choose(named("audit", 2)) == home);
    }

    SUBCASE("and is kept while its queue is short") {
        story.feedback(home, audit, true, milliseconds(300));
        CHECK(story.choose(audit) == home);
    }

    SUBCASE("a queue longer than a load elsewhere spills over") {
        story.feedback(home, audit, true, milliseconds(5'000));
        CHECK(story.choose(audit) != home);

        SUBCASE("which is forgotten after a while") {
            story.now += seconds(30);
            CHECK(story.choose(audit) == home);
        }
    }

    // All replicas of a slow store seem slow; taking that for the fault of one
    // replica sends its adapters to others, where each needs a further load.
    SUBCASE("a long wait for the store moves no adapter") {
        endpoint_id const second = *story.choose(audit, 0, {home});
        for (int count = 0; count < 50; ++count) {
            story.feedback(home, named("other"), false, {}, seconds(5));
        }
        CHECK(story.choose(audit) == home);
        story.feedback(second, named("other"), false);
        CHECK(story.choose(audit) == home);
    }

    SUBCASE("a replica that was found to hold it is chosen") {
        endpoint_id const second = *story.choose(audit, 0, {home});
        story.feedback(second, audit, true);
        story.feedback(home, audit, false);
        CHECK(story.choose(audit) == second);
    }

    SUBCASE("a burst doesn't all go to one replica") {
        story.feedback(home, audit, true);
        bool spilled = false;
        for (int count = 0; count < 40; ++count) {
            spilled = spilled || story.choose(audit) != home;
        }
        CHECK(spilled);
    }

    SUBCASE("a leaving or suspected replica gets nothing new") {
        auto const is_home = [&](auto const& each) {
            return each.id == home;
        };
        std::ranges::find_if(story.endpoints, is_home)->usable = false;
        story.of().set_endpoints(story.endpoints);
        CHECK(story.choose(audit) != home);
        std::ranges::find_if(story.endpoints, is_home)->usable = true;
        story.of().set_endpoints(story.endpoints);
        CHECK(story.choose(audit) == home);
    }

    SUBCASE("replicas that refused are passed over, down to none") {
        std::vector<endpoint_id> excluded;
        for (placement_endpoint const& each : story.endpoints) {
            excluded.push_back(each.id);
        }
        CHECK_FALSE(story.choose(audit, 0, excluded));
    }
}

// After one replica's failure hundreds of adapters are loaded again elsewhere
// and all callers stall: the homes of adapters that it never had moved too.
TEST_CASE("a replica that goes moves only its own adapters") {
    placement_story story;
    for (placement_endpoint& each : story.endpoints) {
        // So large that no queue makes a request spill over.
        each.batch_limit = 1'000;
    }
    story.of().set_endpoints(story.endpoints);
    std::vector<endpoint_id> before;
    before.reserve(300);
    for (int count = 0; count < 300; ++count) {
        before.push_back(*story.choose(named("a" + std::to_string(count))));
    }
    endpoint_id const gone = story.endpoints.back().id;
    story.endpoints.pop_back();
    placement_story after;
    after.endpoints = story.endpoints;
    after.of().set_endpoints(after.endpoints);
    std::size_t moved = 0;
    for (std::size_t count = 0; count < 300; ++count) {
        auto const home = *after.choose(named("a" + std::to_string(count)));
        moved += home != before[count] ? 1 : 0;
        CHECK((before[count] == gone || home == before[count]));
    }
    CHECK(moved > 0);
}

TEST_CASE("copies follow the measured demand") {
    placement_story story;
    adapter_ref const hot = named("hot");
    endpoint_id const home = *story.choose(hot);
    // A short queue: not worth pushing another adapter out.
    story.feedback(home, hot, true, milliseconds(300));
    CHECK(story.choose(hot) == home);
    for (int count = 0; count < 400; ++count) {
        story.now += milliseconds(50);
        story.of().on_demand(hot, story.now);
    }
    story.feedback(home, hot, true, milliseconds(300));
    CHECK(story.choose(hot) != home);
}

TEST_CASE("a cached prefix is a hint with an age") {
    placement_story story;
    adapter_ref const audit = named("audit");
    endpoint_id const home = *story.choose(audit);
    endpoint_id const second = *story.choose(audit, 0, {home});
    story.feedback(home, audit, true);
    story.feedback(second, audit, true);
    REQUIRE(story.choose(audit) == home);
    story.of().on_cache_event({second, 77, true, {}}, story.now);
    CHECK(story.choose(audit, 77) == second);

    SUBCASE("an older word doesn't undo a newer one") {
        story.of().on_cache_event({second, 77, false, seconds(2)}, story.now);
        CHECK(story.choose(audit, 77) == second);
    }

    SUBCASE("it is dropped when the engine says so") {
        story.of().on_cache_event({second, 77, false, {}}, story.now);
        CHECK(story.choose(audit, 77) == home);
    }

    SUBCASE("it is not believed for ever") {
        story.now += seconds(61);
        story.feedback(home, audit, true);
        story.feedback(second, audit, true);
        CHECK(story.choose(audit, 77) == home);
    }
}

} // namespace camphorpoint::test
