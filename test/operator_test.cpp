#include "Config/config_record.hpp"

#include <Camphorpoint/Operator>

#include <doctest/doctest.h>

#include <string>

namespace camphorpoint {

TEST_CASE("the operator interface's answers come back as they were written") {
    SUBCASE("the profiles in force, with their tombstones") {
        profile_listing listing;
        listing.next = log_offset{42};
        // A digest uses all 64 bits.
        listing.digest = 0xfedcba9876543210ULL;
        profile_state state;
        state.value.name = profile_name("licence-match");
        state.value.model = model_id("base-7b");
        state.value.adapter = {adapter_id("licence"), 3};
        state.value.how_urgent = urgency::immediate;
        state.value.idempotent = false;
        state.value.default_deadline = std::chrono::milliseconds(1'500);
        state.value.revision = 7;
        listing.profiles.push_back(state);
        state.value.name = profile_name("old");
        state.removed = true;
        listing.profiles.push_back(state);

        auto const back = decode_profile_listing(encode(listing));
        REQUIRE(back);
        CHECK(back->next == listing.next);
        CHECK(back->digest == listing.digest);
        CHECK(back->profiles == listing.profiles);
    }

    SUBCASE("what became of a change") {
        publish_answer answer;
        answer.known = true;
        answer.conflict = true;
        answer.offset = log_offset{9};
        answer.problems = {"licence-match: revision 2 is in force, not 1"};
        auto const back = decode_publish_answer(encode(answer));
        REQUIRE(back);
        CHECK_FALSE(back->accepted);
        CHECK(back->known);
        CHECK(back->conflict);
        CHECK(back->offset == answer.offset);
        CHECK(back->problems == answer.problems);
    }

    SUBCASE("the history") {
        history_entry entry;
        entry.offset = log_offset{3};
        entry.appended =
            wall_time(std::chrono::milliseconds(1'700'000'000'000));
        entry.id = change_id("c-1");
        entry.author = "anna";
        entry.verdict_code = to_string(verdict::rejected_conflict);
        entry.profiles = {"licence-match"};
        auto const back =
            decode_change_history(encode(std::vector<history_entry>{entry}));
        REQUIRE(back);
        REQUIRE(back->size() == 1);
        CHECK(back->front().appended == entry.appended);
        CHECK(back->front().author == "anna");
        CHECK(back->front().verdict_code == "rejected-conflict");
        CHECK(back->front().profiles == entry.profiles);
    }
}

// A publisher loses the node's answer, and asks another node for the verdict on
// its change's id. Without the verdict of replay it could only guess: a change
// that lost the race to another operator would look like one still under way.
TEST_CASE("any node tells what became of a change by its id") {
    configuration current;
    profile_edit const edit =
        put_profile{0, [] {
                        profile value;
                        value.name = profile_name("scan");
                        value.kind = endpoint_kind::service;
                        value.model = model_id("inventory-app");
                        return value;
                    }()};
    for (std::uint64_t at = 0; at < 2; ++at) {
        change next{change_id("c-" + std::to_string(at)), "anna", {edit}};
        current.apply({log_offset{at}, wall_time{}, encode(next)});
    }

    publish_answer const first = answer_about(current, change_id("c-0"));
    CHECK(first.accepted);
    publish_answer const second = answer_about(current, change_id("c-1"));
    CHECK(second.known);
    CHECK_FALSE(second.accepted);
    CHECK(second.conflict);
    CHECK_FALSE(answer_about(current, change_id("c-2")).known);

    CHECK(list_changes(current).size() == 2);
    CHECK(list_changes(current).back().verdict_code == "rejected-conflict");
    profile_listing const listing = list_profiles(current);
    CHECK(listing.next == log_offset{2});
    REQUIRE(listing.profiles.size() == 1);
    CHECK(listing.profiles.front().value.revision == 1);
}

TEST_CASE("an answer of another form is no answer") {
    for (char const* const text : {"", "[]", "{}", "{\"next\":1}", "<html>"}) {
        CHECK_FALSE(decode_profile_listing(text));
        CHECK_FALSE(decode_publish_answer(text));
        CHECK_FALSE(decode_change_history(text));
    }
}

} // namespace camphorpoint
