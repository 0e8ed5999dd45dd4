#include "Load/expected_text.hpp"
#include "engine/completion_form.hpp"
#include "engine/model_engine.hpp"

#include <doctest/doctest.h>

namespace standins {

namespace {

using camphorpoint::adapter_id;
using camphorpoint::adapter_ref;
using camphorpoint::instant;
using camphorpoint::urgency;
using std::chrono::milliseconds;

adapter_ref const audit{adapter_id("audit"), 3};
adapter_ref const licence{adapter_id("licence"), 1};

void make_resident(model_engine& engine, adapter_ref const& adapter) {
    REQUIRE(engine.begin_load(adapter, 1) == order_verdict::accepted);
    REQUIRE(engine.load_ended(adapter, true, engine.incarnation(), instant()));
}

run_order request_for(
    adapter_ref const& adapter, std::string name,
    urgency priority = urgency::normal) {
    run_order order;
    order.request = std::move(name);
    order.adapter = adapter;
    order.priority = priority;
    order.tokens = 2;
    return order;
}

} // namespace

TEST_CASE("an engine stand-in runs what is resident") {
    engine_settings settings;
    settings.batch_limit = 1;
    settings.waiting_limit = 2;
    settings.adapter_slots = 1;
    model_engine engine(settings);
    instant now{};

    SUBCASE("a request whose adapter is not loaded does not run") {
        auto const refused = engine.submit(request_for(audit, "a"), now);
        CHECK(refused.verdict == submit_verdict::not_loaded);
        CHECK(
            engine.records().describe().find("\"runs\":[]") !=
            std::string::npos);
    }

    SUBCASE("with the adapter loaded") {
        make_resident(engine, audit);
        auto const first = engine.submit(request_for(audit, "a"), now);
        REQUIRE(first.verdict == submit_verdict::taken);
        CHECK(first.run->state == run_state::running);

        SUBCASE("each step makes one token, and the last ends the run") {
            engine.step(now);
            CHECK(first.run->produced == 1);
            engine.step(now);
            CHECK(first.run->state == run_state::finished);
        }

        SUBCASE("the most urgent of those that wait joins first") {
            auto const late = engine.submit(
                request_for(audit, "b", urgency::background), now);
            auto const urgent =
                engine.submit(request_for(audit, "c", urgency::immediate), now);
            engine.step(now);
            engine.step(now);
            CHECK(urgent.run->state == run_state::running);
            CHECK(late.run->state == run_state::waiting);
        }

        SUBCASE("a full queue refuses") {
            engine.submit(request_for(audit, "b"), now);
            engine.submit(request_for(audit, "c"), now);
            auto const over = engine.submit(request_for(audit, "d"), now);
            CHECK(over.verdict == submit_verdict::busy);
        }

        SUBCASE("its stream is found again until it is forgotten") {
            engine.step(now);
            engine.step(now);
            CHECK(engine.batch().find("a") == first.run);
            engine.batch().forget_old(now + settings.kept_streams * 2);
            CHECK(engine.batch().find("a") == nullptr);
        }

        SUBCASE("nobody reads it for the whole grace time: it is given up") {
            engine.step(now + settings.unread_grace + milliseconds(1));
            CHECK(first.run->state == run_state::cancelled);
        }

        SUBCASE("a cold start ends it and empties the slots") {
            engine.restart(now);
            CHECK(first.run->state == run_state::cancelled);
            CHECK(engine.incarnation() == 2);
            auto const after = engine.submit(request_for(audit, "b"), now);
            CHECK(after.verdict == submit_verdict::not_loaded);
        }
    }
}

TEST_CASE("an engine stand-in takes orders") {
    engine_settings settings;
    settings.adapter_slots = 1;
    instant const now{};

    SUBCASE("slots are few, and a load needs a free one") {
        model_engine engine(settings);
        make_resident(engine, audit);
        CHECK(engine.begin_load(licence, 1) == order_verdict::no_slot);
        CHECK(engine.evict(audit, 1, now) == order_verdict::accepted);
        CHECK(engine.begin_load(licence, 1) == order_verdict::accepted);
    }

    SUBCASE("an adapter in use") {
        SUBCASE("stays, as engines promise") {
            model_engine engine(settings);
            make_resident(engine, audit);
            engine.submit(request_for(audit, "a"), now);
            CHECK(engine.evict(audit, 1, now) == order_verdict::in_use);
        }
        SUBCASE("goes where that is allowed, and it is recorded") {
            settings.evicts_under_use = true;
            model_engine engine(settings);
            make_resident(engine, audit);
            auto const run = engine.submit(request_for(audit, "a"), now).run;
            CHECK(engine.evict(audit, 1, now) == order_verdict::accepted);
            CHECK(run->state == run_state::cancelled);
            CHECK(
                engine.records().describe().find(
                    "\"evictions_under_request\":[]") == std::string::npos);
        }
    }

    SUBCASE("an older owner's fencing number") {
        SUBCASE("is refused by an engine that checks") {
            settings.checks_fencing = true;
            model_engine engine(settings);
            REQUIRE(engine.begin_load(audit, 7) == order_verdict::accepted);
            CHECK(engine.evict(audit, 6, now) == order_verdict::old_fencing);
        }
        SUBCASE("is taken by one that does not") {
            model_engine engine(settings);
            make_resident(engine, audit);
            CHECK(engine.evict(audit, 0, now) == order_verdict::accepted);
        }
    }

    SUBCASE("a load that began before a cold start changes nothing after it") {
        model_engine engine(settings);
        REQUIRE(engine.begin_load(audit, 1) == order_verdict::accepted);
        engine.restart(now);
        CHECK_FALSE(engine.load_ended(audit, true, 1, now));
        CHECK(
            engine.submit(request_for(audit, "a"), now).verdict ==
            submit_verdict::not_loaded);
    }
}

TEST_CASE("load reports lag behind the engine") {
    load_reports reports(milliseconds(100));
    engine_snapshot idle;
    engine_snapshot busy;
    busy.at = instant(milliseconds(50));
    busy.running = 4;
    reports.add(idle);
    reports.add(busy);
    CHECK(reports.read(instant(milliseconds(149))).running == 0);
    CHECK(reports.read(instant(milliseconds(150))).running == 4);
}

TEST_CASE("an answer's tokens tell whose they are") {
    camphorpoint::http_request request;
    request.fields.add("X-Request-Id", "r-1");
    request.body = R"({"model":"audit@3","max_tokens":4,
        "messages":[{"role":"user","content":"rack 7"}]})";
    auto const order = read_completion(request, 16);
    REQUIRE(order);
    CHECK(order->adapter == audit);
    CHECK(order->tokens == 4);

    camphorpoint::prompt_digest digest;
    digest.add("user", "rack 7");
    CHECK(order->prompt == digest.value());
    auto const token = [&](adapter_ref const& adapter, std::uint32_t index) {
        return camphorpoint::expected_token(adapter, digest.value(), index);
    };
    engine_run run;
    run.order = *order;
    CHECK(token_event(run, 1).find(token(audit, 1)) != std::string::npos);
    CHECK(token(audit, 1) != token(audit, 2));
    CHECK(token(audit, 1) != token({audit.id, 4}, 1));
    CHECK(token(audit, 1) != token(licence, 1));

    SUBCASE("a model without a version is refused") {
        request.body = R"({"model":"audit"})";
        CHECK_FALSE(read_completion(request, 16));
    }
}

} // namespace standins
