#include "config_fixtures.hpp"

#include <doctest/doctest.h>

#include <optional>

namespace camphorpoint {

namespace {

/// A publisher, its node's configuration, and the log behind both.
struct desk {
    fake_log log;
    configuration current;
    change_publisher publisher{publisher_settings{}};
    instant now{std::chrono::hours(1)};
    std::vector<std::string> appends;
    std::uint64_t last_append = 0;
    std::optional<publish_report> report;

    void perform(std::vector<publish_action> const& actions) {
        for (publish_action const& each : actions) {
            if (auto const* append = std::get_if<publish_append>(&each)) {
                appends.push_back(append->data);
                last_append = append->append;
            } else {
                report = std::get<publish_report>(each);
            }
        }
    }
    void publish(change const& value) {
        perform(publisher.publish(7, value, current, now));
    }
    void ended(append_result how, log_offset offset = {}) {
        perform(publisher.on_append_ended(last_append, how, offset, now));
    }
    void stands() { ended(append_result::appended, append_last()); }
    log_offset append_last() { return log.append_text(appends.back()); }
    void pass(std::chrono::milliseconds time) {
        now += time;
        perform(publisher.on_progress(current, now));
    }
    void read_on() {
        replay(current, log);
        pass(std::chrono::milliseconds(0));
    }
};

} // namespace

TEST_CASE("an operator publishes a change") {
    desk here;
    here.publish(make_change("c1", {put("scan", 0)}));
    REQUIRE(here.appends.size() == 1);

    SUBCASE("accepted only when replay accepted it") {
        here.stands();
        here.pass(std::chrono::seconds(1));
        CHECK_FALSE(here.report);
        here.read_on();
        REQUIRE(here.report);
        CHECK(here.report->how == publish_end::accepted);
        CHECK(here.report->offset == log_offset{0});
        CHECK(here.report->number == 7);
    }

    SUBCASE("a conflict names each profile with the revision that stands") {
        here.log.append(make_change("other", {put("scan", 0, 5)}));
        here.stands();
        here.read_on();
        REQUIRE(here.report);
        CHECK(here.report->how == publish_end::conflict);
        CHECK(
            here.report->conflicts ==
            std::vector<profile_conflict>{{profile_name("scan"), 0, 1}});
    }

    SUBCASE("what cannot have reached the log is sent again, same id") {
        here.ended(append_result::not_sent);
        here.pass(std::chrono::milliseconds(500));
        REQUIRE(here.appends.size() == 2);
        CHECK(here.appends[0] == here.appends[1]);
        here.stands();
        here.read_on();
        CHECK(here.report->how == publish_end::accepted);
    }

    SUBCASE("and given up as not published after a while") {
        for (int round = 0; round < 20 && !here.report; ++round) {
            here.ended(append_result::not_sent);
            here.pass(std::chrono::milliseconds(500));
        }
        REQUIRE(here.report);
        CHECK(here.report->how == publish_end::not_published);
    }

    SUBCASE("an invalid change is never appended; all reasons are named") {
        here.publish(make_change("", {put("a", 0, 0)}));
        CHECK(here.appends.size() == 1);
        CHECK(here.report->how == publish_end::invalid);
        CHECK(here.report->problems.size() == 2);
        here.publish(make_change("\xff", {put("a", 0)}));
        CHECK(here.report->problems.size() == 1);
    }

    SUBCASE("an id used again answers for the change that has it") {
        here.stands();
        here.read_on();
        here.publish(make_change("c1", {put("scan", 0)}));
        CHECK(here.report->how == publish_end::accepted);
        here.publish(make_change("c1", {put("scan", 1, 8)}));
        CHECK(here.report->how == publish_end::invalid);
        CHECK(here.appends.size() == 1);
    }
}

// An operator runs apply and the connection to the log breaks before the
// answer: the change may stand or not. "Accepted" may be said only when it
// stands, "not published" only when it never will, and it must never stand
// twice.
TEST_CASE("an append's answer is lost") {
    desk here;
    here.publish(make_change("c1", {put("scan", 0)}));

    SUBCASE("the record stands: reading on finds it") {
        here.append_last();
        here.ended(append_result::lost);
        here.pass(std::chrono::seconds(1));
        CHECK_FALSE(here.report);
        here.read_on();
        CHECK(here.report->how == publish_end::accepted);
        CHECK(here.appends.size() == 1);
    }

    SUBCASE("it does not stand") {
        here.ended(append_result::lost);
        here.pass(std::chrono::seconds(2));
        REQUIRE(here.appends.size() == 2);
        CHECK(
            std::get<change_withdrawal>(decode(here.appends[1]).value()).id ==
            change_id("c1"));

        SUBCASE("a withdrawal settles that it never will") {
            here.stands();
            here.read_on();
            CHECK(here.report->how == publish_end::not_published);
            // The lost record arrives after all, too late.
            here.log.append_text(here.appends[0]);
            here.read_on();
            CHECK(here.current.find(profile_name("scan")) == nullptr);
        }

        SUBCASE("the record overtakes its withdrawal: it is accepted") {
            here.log.append_text(here.appends[0]);
            here.stands();
            here.read_on();
            CHECK(here.report->how == publish_end::accepted);
            CHECK(here.current.find(profile_name("scan")) != nullptr);
        }

        SUBCASE("the withdrawal's answer is lost too: it is sent again") {
            here.ended(append_result::lost);
            here.pass(std::chrono::milliseconds(500));
            REQUIRE(here.appends.size() == 3);
            CHECK(here.appends[1] == here.appends[2]);
        }

        SUBCASE("the log stays away: unknown, to be asked for by its id") {
            here.ended(append_result::not_sent);
            here.pass(std::chrono::seconds(17));
            CHECK_FALSE(here.report);
            here.pass(std::chrono::seconds(1));
            REQUIRE(here.report);
            CHECK(here.report->how == publish_end::unknown);
            CHECK(here.report->id == change_id("c1"));
            CHECK_FALSE(here.publisher.busy());
            // Later the record shows, and its id answers.
            here.log.append_text(here.appends[0]);
            here.read_on();
            CHECK(
                here.current.verdict_of(change_id("c1"))->first ==
                verdict::accepted);
        }
    }
}

} // namespace camphorpoint
