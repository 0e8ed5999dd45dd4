#include "config_fixtures.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

apply_report
apply(configuration& into, std::uint64_t offset, config_record const& record) {
    return into.apply({log_offset{offset}, wall_time{}, encode(record)});
}

} // namespace

// Two operators change the same profile at the same time: both saw revision 1.
// One sees "accepted", the other a conflict with the revision that stands now;
// no node may end up with the other's text. The log's order decides.
TEST_CASE("two operators race") {
    configuration one;
    configuration other;
    for (configuration* each : {&one, &other}) {
        apply(*each, 0, make_change("c0", {put("scan", 0, 1)}));
        CHECK(
            apply(*each, 1, make_change("eva", {put("scan", 1, 2)})).what ==
            verdict::accepted);
        apply_report const late = apply(
            *each, 2,
            make_change("uwe", {put("scan", 1, 3), put("label", 0, 1)}));
        CHECK(late.what == verdict::rejected_conflict);
        CHECK(
            late.conflicts ==
            std::vector<profile_conflict>{{profile_name("scan"), 1, 2}});
        CHECK(each->find(profile_name("scan"))->adapter.version == 2);
        // All of a change holds or none.
        CHECK(each->find(profile_name("label")) == nullptr);
    }
    CHECK(one.digest() == other.digest());
}

// An operator publishes once and history shows it twice, or a removed profile
// comes back by itself: the record stands in the log a second time, since
// something below the publisher sent it again.
TEST_CASE("a duplicate record is replayed") {
    configuration current;
    change const first = make_change("c1", {put("scan", 0, 1)});
    apply(current, 0, first);
    std::uint64_t const revision = current.revision_of(profile_name("scan"));

    SUBCASE("it changes nothing") {
        CHECK(apply(current, 1, first).what == verdict::repeated);
        CHECK(current.revision_of(profile_name("scan")) == revision);
        CHECK(current.verdict_of(change_id("c1"))->offset == log_offset{0});
    }

    SUBCASE("a rejected one does not take effect later") {
        change const early = make_change("c2", {put("scan", 2, 9)});
        CHECK(apply(current, 1, early).what == verdict::rejected_conflict);
        apply(current, 2, make_change("c3", {put("scan", 1, 2)}));
        CHECK(apply(current, 3, early).what == verdict::repeated);
        CHECK(current.find(profile_name("scan"))->adapter.version == 2);
    }

    SUBCASE("also when the id is forgotten and the profile removed") {
        apply(current, 1, make_change("c2", {take_out("scan", 1)}));
        for (std::uint64_t offset = 2; offset < change_memory + 9; ++offset) {
            current.pass(log_offset{offset});
        }
        CHECK_FALSE(current.verdict_of(change_id("c1")));
        CHECK(
            apply(current, change_memory + 9, first).what ==
            verdict::rejected_conflict);
        CHECK(current.find(profile_name("scan")) == nullptr);
    }

    SUBCASE("a record that replay has behind it is passed over") {
        CHECK(apply(current, 0, first).what == verdict::not_a_change);
        CHECK(current.next() == log_offset{1});
    }
}

TEST_CASE("replay keeps what requests and operators need") {
    configuration current;
    apply(current, 0, make_change("c0", {put("scan", 0, 1)}));
    apply(current, 1, make_change("c1", {put("scan", 1, 2)}));
    profile_name const scan("scan");

    SUBCASE("a request's pinned offset finds its profile") {
        CHECK(current.find_at(scan, log_offset{1}).value->adapter.version == 1);
        CHECK(current.find_at(scan, log_offset{2}).value->adapter.version == 2);
        pinned_profile const before = current.find_at(scan, log_offset{0});
        CHECK(before.known);
        CHECK_FALSE(before.value);
        CHECK_FALSE(current.find_at(scan, log_offset{3}).known);
    }

    SUBCASE("pinned offsets are bounded, and say so") {
        for (std::uint64_t each = 0; each < pinned_edits; ++each) {
            apply(
                current, 2 + each,
                make_change(std::to_string(each), {put("label", each, 1)}));
        }
        CHECK_FALSE(current.find_at(scan, log_offset{1}).known);
        CHECK(current.find_at(scan, log_offset{2}).known);
    }

    SUBCASE("a removed profile comes back only on its tombstone's revision") {
        apply(current, 2, make_change("c2", {take_out("scan", 2)}));
        CHECK(current.find(scan) == nullptr);
        CHECK(current.in_force() == 0);
        CHECK(
            apply(current, 3, make_change("c3", {put("scan", 0)})).what ==
            verdict::rejected_conflict);
        CHECK(
            apply(current, 4, make_change("c4", {put("scan", 3)})).what ==
            verdict::accepted);
    }

    SUBCASE("a withdrawn change never comes in force, a standing one stays") {
        CHECK(
            apply(current, 2, change_withdrawal{change_id("late")}).what ==
            verdict::withdrawn);
        CHECK(
            apply(current, 3, make_change("late", {put("scan", 2, 9)})).what ==
            verdict::repeated);
        CHECK(current.find(scan)->adapter.version == 2);
        CHECK(
            apply(current, 4, change_withdrawal{change_id("c1")}).what ==
            verdict::repeated);
        CHECK(current.verdict_of(change_id("c1"))->first == verdict::accepted);
    }

    SUBCASE("a state that is behind, level or broken is refused") {
        configuration_state const old = current.snapshot();
        CHECK_FALSE(current.adopt(old));
        configuration fresh;
        configuration_state damaged = old;
        damaged.profiles.front().value.adapter.version = 9;
        CHECK_FALSE(fresh.adopt(damaged));
        CHECK(fresh.adopt(old));
        CHECK(fresh.snapshot() == old);
    }
}

} // namespace camphorpoint
