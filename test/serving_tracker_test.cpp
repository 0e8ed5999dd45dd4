#include "Serving/request_tracker.hpp"
#include "test/support/scripted_environment.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

using test::milliseconds;

struct tracker_fixture {
    test::scripted_environment environment;
    request_tracker<test::scripted_environment> tracker{{}, environment};
    instant now{};
    request_id id{"r"};

    explicit tracker_fixture(bool idempotent = true) {
        environment.what.idempotent = idempotent;
        environment.what.adapter = {adapter_id("audit"), 3};
    }
    void post(bool with_key = false) {
        caller_request request;
        request.id = id;
        request.deadline = milliseconds(1'000);
        if (with_key) {
            request.key = idempotency_key("k");
        }
        tracker.on_request(request, now);
    }
    void advance(int time) { tracker.on_tick(now += milliseconds(time)); }
    void grant(char const* replica = "e1", std::uint32_t attempt = 1) {
        grant_issued given;
        given.request = id;
        given.attempt = attempt;
        given.replica = endpoint_id(replica);
        given.send_within = milliseconds(500);
        tracker.on_grant(node_id("owner"), given, now);
    }
    void grant_key() {
        key_decision settled;
        settled.request = id;
        settled.verdict = key_verdict::run;
        tracker.on_key_decision(settled, now);
    }
    void run() {
        post();
        grant();
    }
    void tokens(std::uint32_t count, std::uint32_t attempt = 1) {
        tracker.on_progress({id, attempt, count}, now);
    }
    void end(attempt_result how, std::uint32_t attempt = 1) {
        attempt_ended ended;
        ended.id = id;
        ended.attempt = attempt;
        ended.how = how;
        tracker.on_attempt_ended(ended, now);
    }
    /// @returns the one final answer; fails when there is not exactly one
    finish_request final_answer() const {
        auto const all = environment.all<finish_request>();
        REQUIRE(all.size() == 1);
        return all.front();
    }
    std::size_t starts() const {
        return environment.all<start_attempt>().size();
    }
    bool unfinished() const {
        return environment.all<finish_request>().empty();
    }
};

} // namespace

TEST_CASE("a request runs under a grant") {
    tracker_fixture fixture;
    fixture.post();

    SUBCASE("the owner is asked, and nothing is sent before its grant") {
        CHECK(fixture.environment.sent_count<grant_request>() == 1);
        CHECK(fixture.starts() == 0);
        fixture.grant();
        auto const start = fixture.environment.all<start_attempt>().at(0);
        CHECK(start.adapter == adapter_ref{adapter_id("audit"), 3});
        CHECK(start.send_before == instant{} + milliseconds(500));
        fixture.end(attempt_result::completed);
        CHECK(fixture.final_answer().how == outcome::done);
        CHECK(fixture.environment.sent_count<grant_released>() == 1);
        CHECK(fixture.tracker.size() == 0);
    }

    SUBCASE(
        "a new version comes into force while it queues: it keeps its own") {
        fixture.environment.what.adapter.version = 4;
        fixture.environment.configuration = log_offset{8};
        fixture.grant();
        CHECK(
            fixture.environment.all<start_attempt>().at(0).adapter.version ==
            3);
    }
}

// What one would see: a caller is told "not run", and the booking stands in
// the books. The deadline passes just as the grant arrives; were the two
// decided in different places, each could win.
TEST_CASE("a request times out as it is dispatched") {
    tracker_fixture fixture;
    fixture.post();

    SUBCASE(
        "the timeout comes first: the grant starts nothing, and goes back") {
        fixture.advance(1'000);
        CHECK(fixture.final_answer().how == outcome::not_run);
        CHECK(fixture.final_answer().retry_after.count() > 0);
        std::size_t const before =
            fixture.environment.sent_count<grant_cancelled>();
        fixture.grant();
        CHECK(fixture.starts() == 0);
        CHECK(fixture.environment.sent_count<grant_cancelled>() == before + 1);
    }

    SUBCASE("the grant comes first: the timeout says unknown, and cancels") {
        fixture.grant();
        fixture.advance(1'000);
        CHECK(fixture.final_answer().how == outcome::unknown);
        CHECK(fixture.environment.all<cancel_attempt>().size() == 1);
        CHECK(fixture.environment.sent_count<grant_released>() == 0);
        fixture.end(attempt_result::cancelled);
        CHECK(fixture.environment.sent_count<grant_released>() == 1);
    }

    SUBCASE("time in the owner's queue does not count against a grant") {
        fixture.advance(900);
        grant_issued given;
        given.request = fixture.id;
        given.attempt = 1;
        given.replica = endpoint_id("e1");
        given.queued = milliseconds(890);
        given.send_within = milliseconds(50);
        fixture.tracker.on_grant(node_id("owner"), given, fixture.now);
        auto const start = fixture.environment.all<start_attempt>().at(0);
        CHECK(start.send_before == instant{} + milliseconds(940));
    }

    SUBCASE("a grant that comes twice starts one run, and is kept") {
        fixture.grant();
        fixture.grant();
        CHECK(fixture.starts() == 1);
        CHECK(fixture.environment.sent_count<grant_cancelled>() == 0);
    }

    SUBCASE(
        "a grant that took too long to arrive has lapsed and starts nothing") {
        fixture.advance(500);
        fixture.grant();
        CHECK(fixture.starts() == 0);
        CHECK(fixture.environment.sent_count<grant_cancelled>() == 1);
        CHECK(fixture.environment.sent_count<grant_request>() == 2);
    }
}

// What one would see: a caller gets an answer to a question it has given up
// on, or that belongs to an earlier attempt. The end of an old attempt comes
// late, after the request timed out or went on elsewhere.
TEST_CASE("ends that come late are counted and dropped") {
    tracker_fixture fixture;
    fixture.run();

    SUBCASE("after the request was given up") {
        fixture.advance(1'000);
        fixture.end(attempt_result::completed);
        CHECK(fixture.final_answer().how == outcome::unknown);
        CHECK(fixture.environment.dropped(reason::late_answer) == 1);
        fixture.end(attempt_result::completed);
        CHECK(fixture.environment.dropped(reason::late_answer) == 2);
    }

    SUBCASE("after the request went on to another attempt") {
        fixture.end(attempt_result::not_sent);
        fixture.grant("e2", 2);
        fixture.end(attempt_result::completed, 1);
        CHECK(fixture.unfinished());
        CHECK(fixture.environment.dropped(reason::late_answer) == 1);
        fixture.end(attempt_result::completed, 2);
        CHECK(fixture.final_answer().how == outcome::done);
    }
}

// What one would see: a booking stands twice in the inventory. Its connection
// broke after the bytes had left, so that nobody knows whether it ran.
TEST_CASE("a non-idempotent request runs at most once") {
    tracker_fixture fixture(false);
    fixture.run();

    SUBCASE("an attempt that may have run ends it as unknown") {
        for (auto const how :
             {attempt_result::truncated, attempt_result::failed,
              attempt_result::mismatch, attempt_result::timed_out}) {
            CAPTURE(static_cast<int>(how));
            tracker_fixture each(false);
            each.run();
            each.end(how);
            CHECK(each.starts() == 1);
            CHECK(each.final_answer().how == outcome::unknown);
        }
    }
    SUBCASE("an attempt that never ran goes to another replica") {
        fixture.end(attempt_result::not_sent);
        fixture.grant("e2", 2);
        CHECK(fixture.starts() == 2);
        fixture.end(attempt_result::truncated, 2);
        CHECK(fixture.final_answer().how == outcome::unknown);
    }
    SUBCASE("a stream that is cut resumes on its engine: no second run") {
        fixture.tokens(5);
        fixture.end(attempt_result::truncated);
        CHECK(fixture.unfinished());
        fixture.advance(50);
        auto const again = fixture.environment.all<start_attempt>().at(1);
        CHECK(again.from_token == 5);
        CHECK(again.endpoint == endpoint_id("e1"));
        CHECK(again.engine_id == fixture.id);
        CHECK(fixture.environment.sent_count<grant_released>() == 0);
        fixture.end(attempt_result::completed, 2);
        CHECK(fixture.final_answer().how == outcome::done);
    }
    SUBCASE("a stream that can't be resumed ends as unknown") {
        fixture.tokens(5);
        fixture.end(attempt_result::truncated);
        fixture.advance(50);
        for (std::uint32_t attempt = 2; attempt <= 4; ++attempt) {
            fixture.end(attempt_result::not_sent, attempt);
            fixture.advance(200);
        }
        CHECK(fixture.final_answer().how == outcome::unknown);
        CHECK(fixture.final_answer().why == reason::endpoint_unreachable);
        CHECK(fixture.environment.sent_count<grant_request>() == 1);
    }
}

TEST_CASE("an idempotent request is repeated within its budget") {
    tracker_fixture fixture;
    fixture.run();

    SUBCASE("not loaded: nothing ran, the owner learns it and is asked again") {
        fixture.end(attempt_result::refused_not_loaded);
        CHECK(fixture.unfinished());
        CHECK(fixture.environment.sent_count<grant_released>() == 1);
        CHECK(fixture.environment.sent_count<grant_request>() == 2);
    }
    SUBCASE(
        "an answer of another version is not handed on; it runs elsewhere") {
        fixture.end(attempt_result::mismatch);
        CHECK(fixture.unfinished());
        fixture.grant("e2", 2);
        CHECK(
            fixture.environment.all<start_attempt>().at(1).endpoint.str() ==
            "e2");
        CHECK(fixture.environment.all<start_attempt>().at(1).from_token == 0);
    }
    SUBCASE("with an empty budget it ends as unknown, at once") {
        fixture.environment.retry_allowed = false;
        fixture.end(attempt_result::failed);
        CHECK(fixture.final_answer().how == outcome::unknown);
        CHECK(fixture.final_answer().why == reason::retry_budget_empty);
    }
    SUBCASE("not once tokens have reached the caller") {
        fixture.tokens(1);
        fixture.end(attempt_result::failed);
        CHECK(fixture.final_answer().how == outcome::unknown);
    }
    SUBCASE("a repeat that finds no replica is unknown, never 'not run'") {
        fixture.end(attempt_result::failed);
        fixture.environment.endpoints.clear();
        grant_refused refused;
        refused.request = fixture.id;
        refused.attempt = 2;
        refused.replica = endpoint_id("e2");
        refused.why = reason::queue_full;
        fixture.tracker.on_refusal(node_id("owner"), refused, fixture.now);
        CHECK(fixture.final_answer().how == outcome::unknown);
        CHECK(fixture.final_answer().why == reason::queue_full);
    }
}

TEST_CASE("owners that cannot be reached") {
    tracker_fixture fixture;

    SUBCASE("a waiting request goes to the next replica") {
        fixture.post();
        fixture.tracker.on_owner_unreachable(endpoint_id("e1"), fixture.now);
        CHECK(fixture.environment.sent_count<grant_request>() == 2);
        fixture.grant("e2", 2);
        CHECK(fixture.starts() == 1);
    }
    SUBCASE("a running one goes on") {
        fixture.run();
        fixture.tracker.on_owner_unreachable(endpoint_id("e1"), fixture.now);
        CHECK(fixture.environment.all<cancel_attempt>().empty());
        fixture.end(attempt_result::completed);
        CHECK(fixture.final_answer().how == outcome::done);
    }
    SUBCASE("with none left the caller is told at once when to come back") {
        fixture.environment.owner_reachable = false;
        fixture.post();
        CHECK(fixture.final_answer().how == outcome::not_run);
        CHECK(fixture.final_answer().why == reason::owner_unreachable);
        CHECK(fixture.final_answer().retry_after.count() > 0);
    }
}

TEST_CASE("a caller goes away") {
    tracker_fixture fixture;

    SUBCASE("while it queues: the ask is taken back, nothing ran") {
        fixture.post();
        fixture.tracker.on_caller_disconnected(fixture.id, fixture.now);
        CHECK(fixture.environment.sent_count<grant_cancelled>() == 1);
        CHECK(fixture.final_answer().how == outcome::not_run);
    }
    SUBCASE("before its first token: the run is cancelled on the engine") {
        fixture.run();
        fixture.tracker.on_caller_disconnected(fixture.id, fixture.now);
        REQUIRE(fixture.environment.all<cancel_attempt>().size() == 1);
        CHECK_FALSE(
            fixture.environment.all<cancel_attempt>().front().keep_for_resume);
    }
    // A caller on a poor network loses its connection in mid-stream and resumes
    // through another node. The first node cancelled the run at the engine as
    // soon as the connection broke, so the resume found nothing: cut.
    SUBCASE("in mid-stream: the run is left to the engine's grace") {
        fixture.run();
        fixture.tokens(3);
        fixture.tracker.on_caller_disconnected(fixture.id, fixture.now);
        REQUIRE(fixture.environment.all<cancel_attempt>().size() == 1);
        CHECK(
            fixture.environment.all<cancel_attempt>().front().keep_for_resume);
        fixture.end(attempt_result::cancelled);
        CHECK(fixture.environment.sent_count<grant_released>() == 1);
    }
    SUBCASE("a stream past its deadline is cancelled on the engine") {
        fixture.run();
        fixture.tokens(3);
        fixture.advance(1'000);
        REQUIRE(fixture.environment.all<cancel_attempt>().size() == 1);
        CHECK_FALSE(
            fixture.environment.all<cancel_attempt>().front().keep_for_resume);
    }
    SUBCASE("with a key: it runs on, and its answer is kept for the repeat") {
        fixture.post(true);
        fixture.grant_key();
        fixture.grant();
        fixture.tracker.on_caller_disconnected(fixture.id, fixture.now);
        CHECK(fixture.environment.all<cancel_attempt>().empty());
        fixture.end(attempt_result::completed);
        CHECK(
            fixture.environment.ended_key_outcomes ==
            std::vector{outcome::done});
    }
    // Its caller has left with what an answer is brought by. A further attempt
    // would run nothing, and the key would stay taken until the deadline.
    SUBCASE("with a key: a run that ends without an answer is the last") {
        fixture.post(true);
        fixture.grant_key();
        fixture.grant();
        auto how = outcome::unknown;
        auto end = attempt_result::failed;
        SUBCASE("failed") {}
        SUBCASE("cut") {
            end = attempt_result::truncated;
            fixture.tokens(3);
        }
        SUBCASE("refused") {
            end = attempt_result::refused_busy;
            how = outcome::not_run;
        }
        fixture.tracker.on_caller_disconnected(fixture.id, fixture.now);
        fixture.end(end);
        fixture.advance(500);
        CHECK(fixture.starts() == 1);
        CHECK(fixture.environment.sent_count<grant_request>() == 1);
        CHECK(fixture.environment.ended_key_outcomes == std::vector{how});
    }
    SUBCASE("with a key, between two runs: no other begins") {
        fixture.post(true);
        fixture.grant_key();
        fixture.grant();
        SUBCASE("while it queues again") {
            fixture.end(attempt_result::failed);
        }
        SUBCASE("while it waits to resume") {
            fixture.tokens(3);
            fixture.end(attempt_result::truncated);
        }
        fixture.tracker.on_caller_disconnected(fixture.id, fixture.now);
        fixture.grant("e2", 2);
        fixture.advance(500);
        CHECK(fixture.starts() == 1);
        CHECK(
            fixture.environment.ended_key_outcomes ==
            std::vector{outcome::unknown});
        CHECK(fixture.tracker.size() == 0);
    }
}

TEST_CASE("a request with a key waits for leave") {
    tracker_fixture fixture(false);
    fixture.post(true);
    CHECK(fixture.environment.key_request_count == 1);
    CHECK(fixture.environment.sent_messages.empty());

    SUBCASE("a repeat gets the kept answer and runs nothing") {
        key_decision kept;
        kept.request = fixture.id;
        kept.verdict = key_verdict::answer;
        kept.answer = "booked";
        fixture.tracker.on_key_decision(kept, fixture.now);
        CHECK(fixture.final_answer().how == outcome::done);
        CHECK(fixture.final_answer().kept_answer == "booked");
        CHECK(fixture.environment.sent_messages.empty());
        CHECK(fixture.environment.ended_key_outcomes.empty());
    }
    SUBCASE("leave that comes after the deadline starts nothing") {
        fixture.advance(1'000);
        CHECK(fixture.final_answer().how == outcome::not_run);
        CHECK(fixture.environment.key_cancellation_count == 1);
        fixture.grant_key();
        CHECK(fixture.environment.sent_messages.empty());
    }
    SUBCASE("leave that goes unused is given back as not run") {
        fixture.environment.endpoints.clear();
        fixture.grant_key();
        CHECK(fixture.final_answer().how == outcome::not_run);
        CHECK(
            fixture.environment.ended_key_outcomes ==
            std::vector{outcome::not_run});
    }
}

TEST_CASE("a cut stream resumes through another node") {
    tracker_fixture fixture;
    caller_resume request;
    request.id = fixture.id;
    request.original = request_id("original");
    request.endpoint = endpoint_id("e1");
    request.from_token = 9;

    SUBCASE("the engine is asked for the rest, without a second run") {
        fixture.tracker.on_resume(request, fixture.now);
        auto const start = fixture.environment.all<start_attempt>().at(0);
        CHECK(start.from_token == 9);
        CHECK(start.engine_id == request_id("original"));
        CHECK(fixture.tracker.grants_in_use().size() == 1);
        fixture.end(attempt_result::completed);
        CHECK(fixture.final_answer().how == outcome::done);
    }
    SUBCASE("of an endpoint that is gone: unknown, since it had run") {
        request.endpoint = endpoint_id("gone");
        fixture.tracker.on_resume(request, fixture.now);
        CHECK(fixture.final_answer().how == outcome::unknown);
    }
}

} // namespace camphorpoint
