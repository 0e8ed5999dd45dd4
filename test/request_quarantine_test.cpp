#include <Camphorpoint/Delivery>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <rapidcheck.h>
#include <vector>

namespace camphorpoint {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr instant begin{std::chrono::hours(1)};
constexpr request_fingerprint poison{7};

/// Three replicas crash while they run a request.
/// @returns the resulting update
std::optional<quarantine_update> crash_three(
    request_quarantine& node, request_fingerprint fingerprint, instant now) {
    node.record_crash(fingerprint, 1, now);
    node.record_crash(fingerprint, 2, now);
    return node.record_crash(fingerprint, 3, now);
}

} // namespace

// Guards against a request that is sent repeatedly, each time with a new id,
// and crashes each replica that runs it, along with all other attempts there.
TEST_CASE("a request that crashes replicas is quarantined") {
    request_quarantine node;

    SUBCASE("after three crashed replicas, not before") {
        CHECK_FALSE(node.record_crash(poison, 1, begin));
        CHECK_FALSE(node.record_crash(poison, 2, begin));
        CHECK_FALSE(node.quarantined_for(poison, begin));
        auto const update = node.record_crash(poison, 3, begin);
        REQUIRE(update);
        CHECK(update->quarantined());
        CHECK(node.quarantined_for(poison, begin));
        CHECK_FALSE(node.record_crash(poison, 4, begin));
    }
    SUBCASE("one replica counts once, however often it is reported") {
        for (int each = 0; each < 9; ++each) {
            CHECK_FALSE(node.record_crash(poison, 1, begin));
        }
        CHECK_FALSE(node.quarantined_for(poison, begin));
    }
    SUBCASE("crashes that are far apart do not add up") {
        node.record_crash(poison, 1, begin);
        node.record_crash(poison, 2, begin);
        CHECK_FALSE(node.record_crash(poison, 3, begin + minutes(11)));
    }
    SUBCASE("other requests cut off by the crashes still run") {
        constexpr request_fingerprint other{8};
        node.record_crash(other, 1, begin);
        node.record_crash(other, 2, begin);
        CHECK_FALSE(node.record_success(other));
        CHECK_FALSE(node.record_crash(other, 3, begin));
        CHECK_FALSE(node.quarantined_for(other, begin));
    }
    SUBCASE("the request may run again after an hour") {
        crash_three(node, poison, begin);
        CHECK(node.quarantined_for(poison, begin + minutes(59)));
        CHECK_FALSE(node.quarantined_for(poison, begin + minutes(60)));
        node.remove_expired(begin + minutes(60));
        CHECK(node.all_updates(begin + minutes(60)).empty());
    }
}

// Guards against refusing callers that have caused nothing: when a network path
// or a failure domain fails, thousands of attempts are cut off, many of them
// three times.
TEST_CASE("a large failure quarantines few requests") {
    request_quarantine node;
    constexpr std::uint64_t fingerprints = 5'000;
    for (std::uint64_t each = 1; each <= fingerprints; ++each) {
        crash_three(node, request_fingerprint{each}, begin);
    }
    constexpr std::size_t max_quarantined = 64;
    CHECK(node.quarantined_count(begin) == max_quarantined);
}

// Guards against keeping a harmless request quarantined: a look-up that many
// callers send with the same text was running at three replicas that were shut
// down together.
TEST_CASE("a request that completes is released on all nodes") {
    request_quarantine here;
    request_quarantine there;
    auto const quarantined = crash_three(here, poison, begin);
    REQUIRE(quarantined);
    CHECK(there.apply(*quarantined, begin));
    auto const cleared = there.record_success(poison);
    REQUIRE(cleared);
    CHECK_FALSE(cleared->quarantined());
    CHECK_FALSE(there.quarantined_for(poison, begin));
    CHECK(here.apply(*cleared, begin));
    CHECK_FALSE(here.quarantined_for(poison, begin));

    SUBCASE("an outdated update does not quarantine it again") {
        CHECK_FALSE(there.apply(*quarantined, begin + seconds(1)));
        CHECK_FALSE(there.quarantined_for(poison, begin + seconds(1)));
    }
    SUBCASE("three further crashes do, with a newer revision") {
        auto const again = crash_three(here, poison, begin + seconds(1));
        REQUIRE(again);
        CHECK(there.apply(*again, begin + seconds(1)));
        CHECK(there.quarantined_for(poison, begin + seconds(1)));
    }
}

// Guards against nodes that disagree when datagrams are lost, duplicated or
// reordered.
TEST_CASE("nodes agree despite lost or reordered updates") {
    rc::check("nodes that received the newest update agree", [] {
        constexpr std::size_t fingerprints = 4;
        constexpr std::uint64_t max_revision = 6;
        auto const updates =
            *rc::gen::container<std::vector<quarantine_update>>(rc::gen::apply(
                [](std::uint64_t fingerprint, std::uint64_t revision) {
                    return quarantine_update{
                        request_fingerprint{fingerprint},
                        static_cast<std::uint32_t>(revision), minutes(30)};
                },
                rc::gen::inRange<std::uint64_t>(0, fingerprints),
                rc::gen::inRange<std::uint64_t>(1, max_revision)));
        auto shuffled = updates;
        std::ranges::reverse(shuffled);
        shuffled.insert(shuffled.end(), updates.begin(), updates.end());
        request_quarantine left;
        request_quarantine right;
        for (quarantine_update const& each : updates) {
            left.apply(each, begin);
        }
        for (quarantine_update const& each : shuffled) {
            right.apply(each, begin);
        }
        for (std::uint64_t each = 0; each < fingerprints; ++each) {
            request_fingerprint const fingerprint{each};
            RC_ASSERT(
                left.quarantined_for(fingerprint, begin).has_value() ==
                right.quarantined_for(fingerprint, begin).has_value());
        }
    });
}

// Updates are sent repeatedly in batches, so that a node which has just started
// receives all of them.
TEST_CASE("updates are sent again in turn") {
    request_quarantine node;
    constexpr std::uint64_t fingerprints = 10;
    for (std::uint64_t each = 1; each <= fingerprints; ++each) {
        crash_three(node, request_fingerprint{each}, begin);
    }
    request_quarantine fresh;
    constexpr std::size_t at_a_time = 4;
    for (int round = 0; round < 3; ++round) {
        for (quarantine_update const& each :
             node.next_batch(at_a_time, begin)) {
            fresh.apply(each, begin);
        }
    }
    CHECK(fresh.quarantined_count(begin) == fingerprints);
    CHECK(node.next_batch(2 * fingerprints, begin).size() == fingerprints);
}

} // namespace camphorpoint
