#include "Serving/request_tracker.hpp"
#include "test/support/scripted_environment.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

using test::milliseconds;

struct one_request {
    test::scripted_environment around;
    request_tracker<test::scripted_environment> tracker{{}, around};
    instant now{};
    request_id id{"r"};

    explicit one_request(bool idempotent = true) {
        around.what.idempotent = idempotent;
        around.what.adapter = {adapter_id("audit"), 3};
    }
    void post(bool with_key = false) {
        caller_request asked;
        asked.id = id;
        asked.deadline = milliseconds(1'000);
        if (with_key) {
            asked.key = idempotency_key("k");
        }
        tracker.on_request(asked, now);
    }
    void pass(int time) { tracker.on_tick(now += milliseconds(time)); }
    void grant(char const* replica = "e1", std::uint32_t attempt = 1) {
        grant_issued given;
        given.request = id;
        given.attempt = attempt;
        given.replica = endpoint_id(replica);
        given.send_within = milliseconds(500);
        tracker.on_grant(node_id("owner"), given, now);
    }
    void leave() {
        key_decision settled;
        settled.request = id;
        settled.verdict = key_verdict::run;
        tracker.on_key_settled(settled, now);
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
    finish_request last() const {
        auto const all = around.all<finish_request>();
        REQUIRE(all.size() == 1);
        return all.front();
    }
    std::size_t starts() const { return around.all<start_attempt>().size(); }
    bool open() const { return around.all<finish_request>().empty(); }
};

} // namespace

TEST_CASE("a request runs under a grant") {
    one_request one;
    one.post();

    SUBCASE("the owner is asked, and nothing is sent before its grant") {
        CHECK(one.around.sent_count<grant_request>() == 1);
        CHECK(one.starts() == 0);
        one.grant();
        auto const start = one.around.all<start_attempt>().at(0);
        CHECK(start.adapter == adapter_ref{adapter_id("audit"), 3});
        CHECK(start.send_before == instant{} + milliseconds(500));
        one.end(attempt_result::completed);
        CHECK(one.last().how == outcome::done);
        CHECK(one.around.sent_count<grant_released>() == 1);
        CHECK(one.tracker.size() == 0);
    }

    SUBCASE(
        "a new version comes into force while it queues: it keeps its own") {
        one.around.what.adapter.version = 4;
        one.around.configuration = log_offset{8};
        one.grant();
        CHECK(one.around.all<start_attempt>().at(0).adapter.version == 3);
    }
}

// What one would see: a caller is told "not run", and the booking stands in
// the books. The deadline passes just as the grant arrives; were the two
// decided in different places, each could win.
TEST_CASE("a request times out as it is dispatched") {
    one_request one;
    one.post();

    SUBCASE(
        "the timeout comes first: the grant starts nothing, and goes back") {
        one.pass(1'000);
        CHECK(one.last().how == outcome::not_run);
        CHECK(one.last().retry_after.count() > 0);
        std::size_t const before = one.around.sent_count<grant_cancelled>();
        one.grant();
        CHECK(one.starts() == 0);
        CHECK(one.around.sent_count<grant_cancelled>() == before + 1);
    }

    SUBCASE("the grant comes first: the timeout says unknown, and cancels") {
        one.grant();
        one.pass(1'000);
        CHECK(one.last().how == outcome::unknown);
        CHECK(one.around.all<cancel_attempt>().size() == 1);
        CHECK(one.around.sent_count<grant_released>() == 0);
        one.end(attempt_result::cancelled);
        CHECK(one.around.sent_count<grant_released>() == 1);
    }

    SUBCASE("time in the owner's queue does not count against a grant") {
        one.pass(900);
        grant_issued given;
        given.request = one.id;
        given.attempt = 1;
        given.replica = endpoint_id("e1");
        given.queued = milliseconds(890);
        given.send_within = milliseconds(50);
        one.tracker.on_grant(node_id("owner"), given, one.now);
        auto const start = one.around.all<start_attempt>().at(0);
        CHECK(start.send_before == instant{} + milliseconds(940));
    }

    SUBCASE("a grant that comes twice starts one run, and is kept") {
        one.grant();
        one.grant();
        CHECK(one.starts() == 1);
        CHECK(one.around.sent_count<grant_cancelled>() == 0);
    }

    SUBCASE(
        "a grant that took too long to arrive has lapsed and starts nothing") {
        one.pass(500);
        one.grant();
        CHECK(one.starts() == 0);
        CHECK(one.around.sent_count<grant_cancelled>() == 1);
        CHECK(one.around.sent_count<grant_request>() == 2);
    }
}

// What one would see: a caller gets an answer to a question it has given up
// on, or that belongs to an earlier attempt. The end of an old attempt comes
// late, after the request timed out or went on elsewhere.
TEST_CASE("ends that come late are counted and dropped") {
    one_request one;
    one.run();

    SUBCASE("after the request was given up") {
        one.pass(1'000);
        one.end(attempt_result::completed);
        CHECK(one.last().how == outcome::unknown);
        CHECK(one.around.dropped(reason::late_answer) == 1);
        one.end(attempt_result::completed);
        CHECK(one.around.dropped(reason::late_answer) == 2);
    }

    SUBCASE("after the request went on to another attempt") {
        one.end(attempt_result::not_sent);
        one.grant("e2", 2);
        one.end(attempt_result::completed, 1);
        CHECK(one.open());
        CHECK(one.around.dropped(reason::late_answer) == 1);
        one.end(attempt_result::completed, 2);
        CHECK(one.last().how == outcome::done);
    }
}

// What one would see: a booking stands twice in the inventory. Its connection
// broke after the bytes had left, so that nobody knows whether it ran.
TEST_CASE("a non-idempotent request runs at most once") {
    one_request one(false);
    one.run();

    SUBCASE("an attempt that may have run ends it as unknown") {
        for (auto const how :
             {attempt_result::truncated, attempt_result::failed,
              attempt_result::mismatch, attempt_result::timed_out}) {
            CAPTURE(static_cast<int>(how));
            one_request each(false);
            each.run();
            each.end(how);
            CHECK(each.starts() == 1);
            CHECK(each.last().how == outcome::unknown);
        }
    }
    SUBCASE("an attempt that never ran goes to another replica") {
        one.end(attempt_result::not_sent);
        one.grant("e2", 2);
        CHECK(one.starts() == 2);
        one.end(attempt_result::truncated, 2);
        CHECK(one.last().how == outcome::unknown);
    }
    SUBCASE("a stream that is cut resumes on its engine: no second run") {
        one.tokens(5);
        one.end(attempt_result::truncated);
        CHECK(one.open());
        one.pass(50);
        auto const again = one.around.all<start_attempt>().at(1);
        CHECK(again.from_token == 5);
        CHECK(again.endpoint == endpoint_id("e1"));
        CHECK(again.engine_id == one.id);
        CHECK(one.around.sent_count<grant_released>() == 0);
        one.end(attempt_result::completed, 2);
        CHECK(one.last().how == outcome::done);
    }
    SUBCASE("a stream that can't be resumed ends as unknown") {
        one.tokens(5);
        one.end(attempt_result::truncated);
        one.pass(50);
        for (std::uint32_t attempt = 2; attempt <= 4; ++attempt) {
            one.end(attempt_result::not_sent, attempt);
            one.pass(200);
        }
        CHECK(one.last().how == outcome::unknown);
        CHECK(one.last().why == reason::endpoint_unreachable);
        CHECK(one.around.sent_count<grant_request>() == 1);
    }
}

TEST_CASE("an idempotent request is repeated within its budget") {
    one_request one;
    one.run();

    SUBCASE("not loaded: nothing ran, the owner learns it and is asked again") {
        one.end(attempt_result::refused_not_loaded);
        CHECK(one.open());
        CHECK(one.around.sent_count<grant_released>() == 1);
        CHECK(one.around.sent_count<grant_request>() == 2);
    }
    SUBCASE(
        "an answer of another version is not handed on; it runs elsewhere") {
        one.end(attempt_result::mismatch);
        CHECK(one.open());
        one.grant("e2", 2);
        CHECK(one.around.all<start_attempt>().at(1).endpoint.str() == "e2");
        CHECK(one.around.all<start_attempt>().at(1).from_token == 0);
    }
    SUBCASE("with an empty budget it ends as unknown, at once") {
        one.around.retry_allowed = false;
        one.end(attempt_result::failed);
        CHECK(one.last().how == outcome::unknown);
        CHECK(one.last().why == reason::retry_budget_empty);
    }
    SUBCASE("not once tokens have reached the caller") {
        one.tokens(1);
        one.end(attempt_result::failed);
        CHECK(one.last().how == outcome::unknown);
    }
    SUBCASE("a repeat that finds no replica is unknown, never 'not run'") {
        one.end(attempt_result::failed);
        one.around.endpoints.clear();
        grant_refused refused;
        refused.request = one.id;
        refused.attempt = 2;
        refused.replica = endpoint_id("e2");
        refused.why = reason::queue_full;
        one.tracker.on_refusal(node_id("owner"), refused, one.now);
        CHECK(one.last().how == outcome::unknown);
        CHECK(one.last().why == reason::queue_full);
    }
}

TEST_CASE("owners that cannot be reached") {
    one_request one;

    SUBCASE("a waiting request goes to the next replica") {
        one.post();
        one.tracker.on_owner_lost(endpoint_id("e1"), one.now);
        CHECK(one.around.sent_count<grant_request>() == 2);
        one.grant("e2", 2);
        CHECK(one.starts() == 1);
    }
    SUBCASE("a running one goes on") {
        one.run();
        one.tracker.on_owner_lost(endpoint_id("e1"), one.now);
        CHECK(one.around.all<cancel_attempt>().empty());
        one.end(attempt_result::completed);
        CHECK(one.last().how == outcome::done);
    }
    SUBCASE("with none left the caller is told at once when to come back") {
        one.around.owner_reachable = false;
        one.post();
        CHECK(one.last().how == outcome::not_run);
        CHECK(one.last().why == reason::owner_unreachable);
        CHECK(one.last().retry_after.count() > 0);
    }
}

TEST_CASE("a caller goes away") {
    one_request one;

    SUBCASE("while it queues: the ask is taken back, nothing ran") {
        one.post();
        one.tracker.on_caller_disconnected(one.id, one.now);
        CHECK(one.around.sent_count<grant_cancelled>() == 1);
        CHECK(one.last().how == outcome::not_run);
    }
    SUBCASE("before its first token: the run is cancelled on the engine") {
        one.run();
        one.tracker.on_caller_disconnected(one.id, one.now);
        REQUIRE(one.around.all<cancel_attempt>().size() == 1);
        CHECK_FALSE(one.around.all<cancel_attempt>().front().keep_for_resume);
    }
    // A caller on a poor network loses its connection in mid-stream and resumes
    // through another node. The first node cancelled the run at the engine as
    // soon as the connection broke, so the resume found nothing: cut.
    SUBCASE("in mid-stream: the run is left to the engine's grace") {
        one.run();
        one.tokens(3);
        one.tracker.on_caller_disconnected(one.id, one.now);
        REQUIRE(one.around.all<cancel_attempt>().size() == 1);
        CHECK(one.around.all<cancel_attempt>().front().keep_for_resume);
        one.end(attempt_result::cancelled);
        CHECK(one.around.sent_count<grant_released>() == 1);
    }
    SUBCASE("a stream past its deadline is cancelled on the engine") {
        one.run();
        one.tokens(3);
        one.pass(1'000);
        REQUIRE(one.around.all<cancel_attempt>().size() == 1);
        CHECK_FALSE(one.around.all<cancel_attempt>().front().keep_for_resume);
    }
    SUBCASE("with a key: it runs on, and its answer is kept for the repeat") {
        one.post(true);
        one.leave();
        one.grant();
        one.tracker.on_caller_disconnected(one.id, one.now);
        CHECK(one.around.all<cancel_attempt>().empty());
        one.end(attempt_result::completed);
        CHECK(one.around.ended_key_outcomes == std::vector{outcome::done});
    }
    // Its caller has left with what an answer is brought by. A further attempt
    // would run nothing, and the key would stay taken until the deadline.
    SUBCASE("with a key: a run that ends without an answer is the last") {
        one.post(true);
        one.leave();
        one.grant();
        auto how = outcome::unknown;
        auto end = attempt_result::failed;
        SUBCASE("failed") {}
        SUBCASE("cut") {
            end = attempt_result::truncated;
            one.tokens(3);
        }
        SUBCASE("refused") {
            end = attempt_result::refused_busy;
            how = outcome::not_run;
        }
        one.tracker.on_caller_disconnected(one.id, one.now);
        one.end(end);
        one.pass(500);
        CHECK(one.starts() == 1);
        CHECK(one.around.sent_count<grant_request>() == 1);
        CHECK(one.around.ended_key_outcomes == std::vector{how});
    }
    SUBCASE("with a key, between two runs: no other begins") {
        one.post(true);
        one.leave();
        one.grant();
        SUBCASE("while it queues again") {
            one.end(attempt_result::failed);
        }
        SUBCASE("while it waits to resume") {
            one.tokens(3);
            one.end(attempt_result::truncated);
        }
        one.tracker.on_caller_disconnected(one.id, one.now);
        one.grant("e2", 2);
        one.pass(500);
        CHECK(one.starts() == 1);
        CHECK(one.around.ended_key_outcomes == std::vector{outcome::unknown});
        CHECK(one.tracker.size() == 0);
    }
}

TEST_CASE("a request with a key waits for leave") {
    one_request one(false);
    one.post(true);
    CHECK(one.around.key_request_count == 1);
    CHECK(one.around.sent_messages.empty());

    SUBCASE("a repeat gets the kept answer and runs nothing") {
        key_decision kept;
        kept.request = one.id;
        kept.verdict = key_verdict::answer;
        kept.answer = "booked";
        one.tracker.on_key_settled(kept, one.now);
        CHECK(one.last().how == outcome::done);
        CHECK(one.last().kept_answer == "booked");
        CHECK(one.around.sent_messages.empty());
        CHECK(one.around.ended_key_outcomes.empty());
    }
    SUBCASE("leave that comes after the deadline starts nothing") {
        one.pass(1'000);
        CHECK(one.last().how == outcome::not_run);
        CHECK(one.around.key_cancellation_count == 1);
        one.leave();
        CHECK(one.around.sent_messages.empty());
    }
    SUBCASE("leave that goes unused is given back as not run") {
        one.around.endpoints.clear();
        one.leave();
        CHECK(one.last().how == outcome::not_run);
        CHECK(one.around.ended_key_outcomes == std::vector{outcome::not_run});
    }
}

TEST_CASE("a cut stream resumes through another node") {
    one_request one;
    caller_resume asked;
    asked.id = one.id;
    asked.original = request_id("original");
    asked.endpoint = endpoint_id("e1");
    asked.from_token = 9;

    SUBCASE("the engine is asked for the rest, without a second run") {
        one.tracker.on_resume(asked, one.now);
        auto const start = one.around.all<start_attempt>().at(0);
        CHECK(start.from_token == 9);
        CHECK(start.engine_id == request_id("original"));
        CHECK(one.tracker.grants_in_use().size() == 1);
        one.end(attempt_result::completed);
        CHECK(one.last().how == outcome::done);
    }
    SUBCASE("of an endpoint that is gone: unknown, since it had run") {
        asked.endpoint = endpoint_id("gone");
        one.tracker.on_resume(asked, one.now);
        CHECK(one.last().how == outcome::unknown);
    }
}

} // namespace camphorpoint
