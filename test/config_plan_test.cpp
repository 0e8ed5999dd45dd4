#include "config_fixtures.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

std::vector<profile_state> states_of(configuration const& current) {
    return current.snapshot().profiles;
}

} // namespace

TEST_CASE("a directory of declarations is compared with what is in force") {
    configuration current;
    fake_log log;
    log.append(make_change(
        "c0", {put("audit", 0, 3), put("label", 0), put("old", 0)}));
    log.append(make_change("c1", {take_out("old", 1)}));
    replay(current, log);
    std::vector<profile> const declared{
        make_profile("audit", 4), make_profile("old", 1),
        make_profile("scan", 1)};

    SUBCASE("the edits bring it in force, a removed profile included") {
        plan const wanted =
            make_plan(states_of(current), declared, undeclared_profiles::keep);
        CHECK(wanted.kept == std::vector{profile_name("label")});
        CHECK(wanted.edits.size() == 3);
        CHECK(
            wanted.diff.find("~ audit (revision 1)\n"
                             "    version: 3 -> 4\n+ old\n") == 0);
        log.append(make_change("c2", wanted.edits));
        replay(current, log);
        CHECK(current.verdict_of(change_id("c2"))->first == verdict::accepted);
        CHECK(make_plan(states_of(current), declared, undeclared_profiles::keep)
                  .edits.empty());
    }

    SUBCASE("undeclared profiles go only when that is asked for") {
        plan const wanted = make_plan(
            states_of(current), declared, undeclared_profiles::remove);
        CHECK(wanted.kept.empty());
        CHECK(wanted.diff.find("- label (revision 1)\n") != std::string::npos);
        log.append(make_change("c2", wanted.edits));
        replay(current, log);
        CHECK(current.find(profile_name("label")) == nullptr);
        CHECK(current.in_force() == 3);
    }

    SUBCASE("a plan of thousands of profiles is cut into changes that fit") {
        std::vector<profile_edit> edits;
        edits.reserve(3'000);
        for (int each = 0; each < 3'000; ++each) {
            edits.push_back(put("profile-" + std::to_string(each), 0));
        }
        std::vector<change> const changes =
            make_changes(edits, change_id("import"), "eva");
        CHECK(changes.size() > 1);
        CHECK(changes.front().id == change_id("import-1"));
        std::size_t total = 0;
        for (change const& each : changes) {
            CHECK(decode(encode(each)));
            total += each.edits.size();
        }
        CHECK(total == edits.size());
    }
}

} // namespace camphorpoint
