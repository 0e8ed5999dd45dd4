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

/// Three replicas end under a content.
/// @returns the word of it
std::optional<quarantine_update> crash_three(
    request_quarantine& node, request_fingerprint fingerprint, instant now) {
    node.record_crash(fingerprint, 1, now);
    node.record_crash(fingerprint, 2, now);
    return node.record_crash(fingerprint, 3, now);
}

} // namespace

// A request is sent again and again, each time as a new one, and each replica
// that runs it ends, with the runs of everybody else there.
TEST_CASE("a content under which replicas end is held") {
    request_quarantine node;

    SUBCASE("after three of them, not before") {
        CHECK_FALSE(node.record_crash(poison, 1, begin));
        CHECK_FALSE(node.record_crash(poison, 2, begin));
        CHECK_FALSE(node.quarantined_for(poison, begin));
        auto const update = node.record_crash(poison, 3, begin);
        REQUIRE(update);
        CHECK(update->quarantined());
        CHECK(node.quarantined_for(poison, begin));
        CHECK_FALSE(node.record_crash(poison, 4, begin));
    }
    SUBCASE("one replica counts once, however often it is told") {
        for (int each = 0; each < 9; ++each) {
            CHECK_FALSE(node.record_crash(poison, 1, begin));
        }
        CHECK_FALSE(node.quarantined_for(poison, begin));
    }
    SUBCASE("ends that lie far apart are chance") {
        node.record_crash(poison, 1, begin);
        node.record_crash(poison, 2, begin);
        CHECK_FALSE(node.record_crash(poison, 3, begin + minutes(11)));
    }
    SUBCASE("contents that broke off beside it run on") {
        constexpr request_fingerprint other{8};
        node.record_crash(other, 1, begin);
        node.record_crash(other, 2, begin);
        CHECK_FALSE(node.record_success(other));
        CHECK_FALSE(node.record_crash(other, 3, begin));
        CHECK_FALSE(node.quarantined_for(other, begin));
    }
    SUBCASE("it is tried again after an hour") {
        crash_three(node, poison, begin);
        CHECK(node.quarantined_for(poison, begin + minutes(59)));
        CHECK_FALSE(node.quarantined_for(poison, begin + minutes(60)));
        node.remove_expired(begin + minutes(60));
        CHECK(node.all_updates(begin + minutes(60)).empty());
    }
}

// A way fails, or a domain: thousands of runs break off, many of them three
// times. None of their callers has done anything.
TEST_CASE("when everything breaks off few contents are held") {
    request_quarantine node;
    constexpr std::uint64_t fingerprints = 5'000;
    for (std::uint64_t each = 1; each <= fingerprints; ++each) {
        crash_three(node, request_fingerprint{each}, begin);
    }
    constexpr std::size_t max_quarantined = 64;
    CHECK(node.quarantined_count(begin) == max_quarantined);
}

// A look-up that many callers ask for in the same words was under way at three
// replicas that were taken down together. It is no cause of their end.
TEST_CASE("a content that ends well is run again everywhere") {
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

    SUBCASE("an old word of it does not hold it again") {
        CHECK_FALSE(there.apply(*quarantined, begin + seconds(1)));
        CHECK_FALSE(there.quarantined_for(poison, begin + seconds(1)));
    }
    SUBCASE("three further ends do, with a newer word") {
        auto const again = crash_three(here, poison, begin + seconds(1));
        REQUIRE(again);
        CHECK(there.apply(*again, begin + seconds(1)));
        CHECK(there.quarantined_for(poison, begin + seconds(1)));
    }
}

// Datagrams are lost, come twice and overtake each other.
TEST_CASE("nodes agree whatever becomes of single words") {
    rc::check("all that have heard the newest word agree", [] {
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

// Words are told again by turns, so that a node which has just begun hears all.
TEST_CASE("words are told again by turns") {
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
