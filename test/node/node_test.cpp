#include "Config/config_record.hpp"
#include "Node/node.hpp"
#include "Operator/publish_answer.hpp"
#include "Ports/json_fields.hpp"
#include "Ports/stream_position.hpp"
#include "test/ports/loopback.hpp"
#include "test/ports/request_fate.hpp"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;
using testing::raw_server;

namespace {

/// Decisions that a test makes itself: events are kept, and each brings the
/// actions that the test prepared for its kind.
struct fake_core {
    using reaction =
        std::function<void(node_event const&, std::vector<node_action>&)>;

    void handle(
        node_event const& event, instant /*now*/, wall_time /*wall*/,
        std::vector<node_action>& out) {
        if (!std::holds_alternative<tick>(event)) {
            events.push_back(event);
        }
        if (react) {
            react(event, out);
        }
    }
    node_status status(instant /*now*/) const { return shown; }
    configuration const& in_force() const { return current; }

    template <class Event>
    Event const* last() const {
        for (auto each = events.rbegin(); each != events.rend(); ++each) {
            if (auto const* found = std::get_if<Event>(&*each)) {
                return found;
            }
        }
        return nullptr;
    }

    std::vector<node_event> events;
    reaction react;
    node_status shown;
    configuration current;
};

node_settings test_settings() {
    node_settings settings;
    settings.name = node_id("n1");
    settings.domain = domain_id("graz-a");
    settings.caller_address = testing::local(0);
    settings.operator_address = testing::local(0);
    settings.peer_address = testing::local(0);
    settings.log_address = testing::unused_address();
    settings.instance_list_address = testing::unused_address();
    return settings;
}

/// An engine that streams what a test tells it, and waits in between.
struct stub_engine {
    explicit stub_engine(loopback& loop)
        : server(loop.executor(), {}, [this](http_exchange& exchange) {
            return answer(exchange);
        }) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    asio::awaitable<void> answer(http_exchange& exchange) {
        requests.push_back(exchange.request());
        if (exchange.request().method == "DELETE") {
            http_response response;
            co_await exchange.respond(std::move(response));
            co_return;
        }
        co_await exchange.begin_stream(200, http_fields());
        for (std::string const& piece : pieces) {
            co_await exchange.write_piece(piece);
        }
        co_await exchange.end_stream();
    }

    static std::string token(std::string const& id, int index) {
        return "id: " + std::to_string(index) + "\ndata: {\"id\":\"" + id +
               R"(","model":"audit@3","choices":[{"delta":{"content":"t)" +
               std::to_string(index) + "\"}}]}\n\n";
    }
    static std::string closing(std::string const& id, int announced) {
        return "data: {\"id\":\"" + id +
               R"(","model":"audit@3","choices":[{"delta":{},)"
               R"("finish_reason":"stop"}],"usage":{"completion_tokens":)" +
               std::to_string(announced) + "}}\n\ndata: [DONE]\n\n";
    }

    std::vector<http_request> requests;
    std::vector<std::string> pieces;
    http_server server;
};

start_attempt attempt_on(stub_engine const& engine, request_id const& id) {
    start_attempt start;
    start.id = id;
    start.attempt = 1;
    start.endpoint = endpoint_id("e1");
    start.address = "127.0.0.1:" + std::to_string(engine.server.port());
    start.adapter = {adapter_id("audit"), 3};
    start.engine_id = request_id("engine-7");
    start.send_before = boot_clock::now() + std::chrono::seconds(30);
    start.deadline = start.send_before;
    return start;
}

finish_request finished(request_id id, outcome how, reason why) {
    finish_request end;
    end.id = std::move(id);
    end.how = how;
    end.why = why;
    return end;
}

struct file_closer {
    void operator()(std::FILE* file) const { std::fclose(file); }
};

/// A node over a fake core, on free ports.
struct test_node {
    explicit test_node(loopback& the_loop)
        : loop(the_loop)
        , quiet(std::tmpfile())
        , log(quiet.get())
        , running(
              the_loop.io(), test_settings(), 1, make_decisions(core), log) {
        findings problems;
        REQUIRE(running.start(problems));
        running.on_stopped([this](bool whole) {
            stopped = true;
            drained = whole;
        });
    }
    test_node(test_node const&) = delete;
    test_node& operator=(test_node const&) = delete;

    /// Sends a request to a port. @returns all that comes back
    std::string
    ask(std::uint16_t port, std::string const& line,
        std::string const& fields = "", std::string const& body = "") {
        std::string answer;
        std::string const text =
            line + " HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n" + fields + "\r\n" + body;
        loop.run([&]() -> asio::awaitable<void> {
            raw_server::socket_type socket =
                co_await testing::connect_to(testing::local(port));
            co_await testing::write_text(socket, text);
            answer = co_await testing::read_until(socket, "");
        });
        return answer;
    }
    std::string ask_caller(
        std::string const& line, std::string const& fields = "",
        std::string const& body = "") {
        return ask(running.driver().caller_port(), line, fields, body);
    }
    std::string ask_operator(
        std::string const& line, std::string const& fields = "",
        std::string const& body = "") {
        return ask(running.driver().operator_port(), line, fields, body);
    }

    loopback& loop;
    // Closed after the node, which logs the ends of its connections.
    std::unique_ptr<std::FILE, file_closer> quiet;
    log_writer log;
    fake_core core;
    node running;
    bool stopped = false;
    bool drained = false;
};

std::string const completions = "POST /v1/chat/completions";

bool has(std::string const& text, std::string const& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a caller gets its answer with its outcome") {
    loopback loop;
    test_node node(loop);
    stub_engine engine(loop);
    engine.pieces = {
        stub_engine::token("engine-7", 0) + stub_engine::token("engine-7", 1),
        stub_engine::closing("engine-7", 2)};
    node.core.react = [&](node_event const& event,
                          std::vector<node_action>& out) {
        if (auto const* request = std::get_if<caller_request>(&event)) {
            start_attempt start = attempt_on(engine, request->id);
            start.return_answer = request->key.has_value();
            out.emplace_back(start);
        }
        if (auto const* rest = std::get_if<caller_resume>(&event)) {
            start_attempt start = attempt_on(engine, rest->id);
            start.from_token = rest->from_token;
            out.emplace_back(start);
        }
        if (auto const* end = std::get_if<attempt_ended>(&event)) {
            bool const whole = end->how == attempt_result::completed;
            out.emplace_back(finished(
                end->id, whole ? outcome::done : outcome::unknown,
                whole ? reason::none : reason::answer_cut));
        }
    };

    SUBCASE("as a stream whose last event is the outcome") {
        std::string const answer = node.ask_caller(
            completions, "", R"({"model":"audit-note","stream":true})");
        CHECK(has(answer, "X-Adapter: audit\r\nX-Adapter-Version: 3"));
        CHECK(has(answer, "t0"));
        CHECK(answer.find("t0") < answer.find("t1"));
        CHECK(answer.find("[DONE]") < answer.find("event: outcome"));
        CHECK(has(answer, R"({"outcome":"done","reason":"none"})"));
        auto const* request = node.core.last<caller_request>();
        REQUIRE(request != nullptr);
        CHECK(request->profile == profile_name("audit-note"));
    }

    SUBCASE("as one object") {
        std::string const answer = node.ask_caller(
            completions, "Idempotency-Key: k1\r\nX-Deadline-Ms: 900\r\n",
            R"({"model":"audit-note","max_tokens":2})");
        CHECK(has(answer, "X-Outcome: done"));
        CHECK(has(answer, R"("content":"t0t1")"));
        auto const* request = node.core.last<caller_request>();
        REQUIRE(request != nullptr);
        CHECK(request->key == idempotency_key("k1"));
        CHECK(request->deadline == std::chrono::milliseconds(900));
        CHECK(request->expected_tokens == 2);
        CHECK(has(node.core.last<attempt_ended>()->answer, "t0t1"));
    }

    // The engine dies within an answer. A stream that ends with [DONE], or
    // simply ends, would pass for a whole one.
    SUBCASE("a cut stream says unknown, and is not done") {
        engine.pieces = {stub_engine::token("engine-7", 0)};
        std::string const answer = node.ask_caller(
            completions, "", R"({"model":"audit-note","stream":true})");
        CHECK(has(answer, R"({"outcome":"unknown","reason":"answer-cut"})"));
        CHECK_FALSE(has(answer, "[DONE]"));
        CHECK(node.core.last<attempt_ended>()->tokens == 1);
    }

    // A phone loses its network in the middle of an answer, and asks another
    // node for the rest. That node knows nothing of the request.
    SUBCASE("a stream goes on by its last event id") {
        engine.pieces = {
            stub_engine::token("engine-7", 1),
            stub_engine::closing("engine-7", 2)};
        std::string const id = write_position(
            {endpoint_id("e1"),
             {adapter_id("audit"), 3},
             request_id("engine-7"),
             1});
        std::string const answer = node.ask_caller(
            "GET /v1/streams/engine-7", "Last-Event-ID: " + id + "\r\n");
        CHECK(has(answer, "t1"));
        CHECK_FALSE(has(answer, "t0"));
        CHECK(has(answer, "\"outcome\":\"done\""));
        CHECK(engine.requests.front().target == "/v1/streams/engine-7?from=1");
        CHECK(node.core.last<caller_resume>()->endpoint == endpoint_id("e1"));
    }

    // An idempotent request is run again after its caller has seen a token.
    // The two runs' words may differ: pieced together they are no answer.
    SUBCASE("a second run never continues a first one's text") {
        int runs = 0;
        engine.pieces = {stub_engine::token("engine-7", 0)};
        auto const once = node.core.react;
        node.core.react =
            [&, once](node_event const& event, std::vector<node_action>& out) {
                auto const* end = std::get_if<attempt_ended>(&event);
                if (end != nullptr && runs++ == 0) {
                    start_attempt again = attempt_on(engine, end->id);
                    again.attempt = 2;
                    out.emplace_back(again);
                } else {
                    once(event, out);
                }
            };
        node.ask_caller(
            completions, "", R"({"model":"audit-note","stream":true})");
        CHECK(node.core.last<attempt_ended>()->how == attempt_result::not_sent);
        CHECK(engine.requests.size() == 1);
    }
}

TEST_CASE("what can't be read did not run") {
    loopback loop;
    test_node node(loop);
    std::string const good = R"({"model":"audit-note"})";
    std::string answer;
    SUBCASE("no JSON") {
        answer = node.ask_caller(completions, "", "{");
    }
    SUBCASE("no object") {
        answer = node.ask_caller(completions, "", "[]");
    }
    SUBCASE("JSON without end") {
        answer = node.ask_caller(completions, "", std::string(50'000, '['));
    }
    SUBCASE("no model") {
        answer = node.ask_caller(completions, "", "{}");
    }
    SUBCASE("no tokens") {
        answer = node.ask_caller(
            completions, "", R"({"model":"a","max_tokens":-1})");
    }
    SUBCASE("a deadline in the past") {
        answer = node.ask_caller(completions, "X-Deadline-Ms: -5\r\n", good);
    }
    SUBCASE("a deadline of a year") {
        answer = node.ask_caller(
            completions, "X-Deadline-Ms: 31536000000\r\n", good);
    }
    SUBCASE("a deadline that is none") {
        answer = node.ask_caller(completions, "X-Deadline-Ms: 1e3\r\n", good);
    }
    SUBCASE("a stream without its position") {
        answer = node.ask_caller("GET /v1/streams/r1");
    }
    SUBCASE("another stream's position") {
        std::string const id = write_position(
            {endpoint_id("e1"), {adapter_id("audit"), 3}, request_id("r2"), 1});
        answer = node.ask_caller(
            "GET /v1/streams/r1", "Last-Event-ID: " + id + "\r\n");
    }
    SUBCASE("a call without its profile") {
        answer = node.ask_caller("POST /v1/calls/");
    }
    SUBCASE("an unknown path") {
        answer = node.ask_caller("GET /x");
    }
    SUBCASE("a wrong method") {
        answer = node.ask_caller("PUT /v1/keys");
    }
    CHECK(has(answer, "HTTP/1.1 4"));
    CHECK(has(answer, "X-Outcome: not-run"));
    CHECK(node.core.last<caller_request>() == nullptr);
    CHECK(node.core.last<caller_resume>() == nullptr);
}

TEST_CASE("a refusal names its reason and when to come back") {
    loopback loop;
    test_node node(loop);
    node.core.react = [](node_event const& event,
                         std::vector<node_action>& out) {
        if (auto const* request = std::get_if<caller_request>(&event)) {
            finish_request end =
                finished(request->id, outcome::not_run, reason::queue_full);
            end.retry_after = std::chrono::milliseconds(1'200);
            out.emplace_back(end);
            out.emplace_back(
                count_reason{count_reason::kind::refusal, reason::queue_full});
        }
    };
    std::string const answer =
        node.ask_caller(completions, "", R"({"model":"a","stream":true})");
    CHECK(has(answer, "HTTP/1.1 503"));
    CHECK(has(answer, "X-Reason: queue-full"));
    CHECK(has(answer, "Retry-After: 2"));
    std::string const text = node.ask_operator("GET /metrics");
    CHECK(has(text, "camphorpoint_refusals_total{reason=\"queue-full\"} 1"));
    CHECK(has(text, "camphorpoint_refusals_total{reason=\"draining\"} 0"));
}

TEST_CASE("a caller that goes away is noticed, and its stream cancelled") {
    // A technician's phone drops off while the answer streams. The engine
    // would spend its batch on tokens that nobody reads; but when the phone
    // comes back through another node, a run that was ended leaves it with a
    // cut answer. The decisions say which of the two it is to be.
    bool keep = false;
    SUBCASE("for good: the engine is told") {
        keep = false;
    }
    SUBCASE("to resume elsewhere: the engine is left to its grace") {
        keep = true;
    }
    loopback loop;
    test_node node(loop);
    stub_engine engine(loop);
    engine.pieces = {stub_engine::token("engine-7", 0)};
    auto hold = std::make_shared<asio::steady_timer>(
        loop.io(), asio::steady_timer::time_point::max());
    http_server slow(
        loop.executor(), {},
        [&, hold](http_exchange& exchange) -> asio::awaitable<void> {
            if (exchange.request().method == "DELETE") {
                co_await engine.answer(exchange);
                co_return;
            }
            co_await exchange.begin_stream(200, http_fields());
            std::string const token = stub_engine::token("engine-7", 0);
            co_await exchange.write_piece(token);
            exchange.on_caller_gone([hold] { hold->cancel(); });
            try {
                co_await hold->async_wait(asio::use_awaitable);
            } catch (std::exception const&) {
                co_return;
            }
        });
    REQUIRE(slow.listen(testing::local(0)).empty());
    node.core.react = [&](node_event const& event,
                          std::vector<node_action>& out) {
        if (auto const* request = std::get_if<caller_request>(&event)) {
            start_attempt start = attempt_on(engine, request->id);
            start.address = "127.0.0.1:" + std::to_string(slow.port());
            out.emplace_back(start);
        }
        if (auto const* gone = std::get_if<caller_disconnected>(&event)) {
            out.emplace_back(cancel_attempt{gone->id, 1, keep});
        }
    };
    loop.run([&]() -> asio::awaitable<void> {
        raw_server::socket_type socket = co_await testing::connect_to(
            testing::local(node.running.driver().caller_port()));
        std::string const body = R"({"model":"a","stream":true})";
        std::string const text = completions + " HTTP/1.1\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" +
                                 body;
        co_await testing::write_text(socket, text);
        co_await testing::read_until(socket, "t0");
    });
    REQUIRE(loop.run_until([&] {
        return node.core.last<attempt_ended>() != nullptr &&
               (keep || !engine.requests.empty());
    }));
    CHECK(node.core.last<attempt_ended>()->how == attempt_result::cancelled);
    if (keep) {
        // A DELETE would have left before these calls were made.
        node.ask_operator("GET /healthz");
        node.ask_operator("GET /healthz");
        CHECK(engine.requests.empty());
        return;
    }
    CHECK(engine.requests.front().method == "DELETE");
    CHECK(engine.requests.front().target == "/v1/streams/engine-7");
}

// Guards against an engine that goes on with a request whose deadline has
// passed: it was silent until then, and nothing tells it to stop.
TEST_CASE("an engine is told when a request's deadline has passed") {
    loopback loop;
    test_node node(loop);
    std::vector<http_request> requests;
    http_server silent(
        loop.executor(), {},
        [&](http_exchange& exchange) -> asio::awaitable<void> {
            requests.push_back(exchange.request());
            if (exchange.request().method == "DELETE") {
                http_response response;
                co_await exchange.respond(std::move(response));
                co_return;
            }
            asio::steady_timer timer(loop.io(), std::chrono::seconds(1));
            co_await timer.async_wait(asio::use_awaitable);
        });
    REQUIRE(silent.listen(testing::local(0)).empty());
    node.core.react = [&](node_event const& event,
                          std::vector<node_action>& out) {
        if (auto const* request = std::get_if<caller_request>(&event)) {
            start_attempt start;
            start.id = request->id;
            start.attempt = 1;
            start.endpoint = endpoint_id("e1");
            start.address = "127.0.0.1:" + std::to_string(silent.port());
            start.adapter = {adapter_id("audit"), 3};
            start.engine_id = request_id("engine-7");
            start.deadline = boot_clock::now() + std::chrono::milliseconds(200);
            start.send_before = start.deadline;
            out.emplace_back(start);
        }
        if (auto const* end = std::get_if<attempt_ended>(&event)) {
            out.emplace_back(
                finished(end->id, outcome::unknown, reason::deadline_passed));
        }
    };
    node.ask_caller(completions, "", R"({"model":"a","stream":true})");
    REQUIRE(node.core.last<attempt_ended>() != nullptr);
    CHECK(node.core.last<attempt_ended>()->how == attempt_result::timed_out);
    // The engine's answer to the first request is still under way.
    auto const until = boot_clock::now() + std::chrono::milliseconds(500);
    loop.run_until(
        [&] { return requests.size() == 2 || boot_clock::now() >= until; });
    REQUIRE(requests.size() == 2);
    CHECK(requests.back().method == "DELETE");
    CHECK(requests.back().target == "/v1/streams/engine-7");
}

// A caller with a key leaves and its run breaks off. A further attempt has
// nobody to bring its answer to; told as not sent, it counts against a replica
// that was not called.
TEST_CASE("an attempt whose caller has left says nothing of its replica") {
    loopback loop;
    test_node node(loop);
    stub_engine engine(loop);
    bool started = false;
    node.core.react = [&](node_event const& event,
                          std::vector<node_action>& out) {
        if (std::holds_alternative<caller_request>(event) && !started) {
            started = true;
            out.emplace_back(attempt_on(engine, request_id("left")));
        }
    };
    loop.run([&]() -> asio::awaitable<void> {
        raw_server::socket_type socket = co_await testing::connect_to(
            testing::local(node.running.driver().caller_port()));
        std::string const body = R"({"model":"a","stream":true})";
        std::string const text = completions + " HTTP/1.1\r\nContent-Length: " +
                                 std::to_string(body.size()) + "\r\n\r\n" +
                                 body;
        co_await testing::write_text(socket, text);
    });
    REQUIRE(loop.run_until(
        [&] { return node.core.last<attempt_ended>() != nullptr; }));
    CHECK(node.core.last<attempt_ended>()->how != attempt_result::not_sent);
    CHECK(engine.requests.empty());
}

TEST_CASE("callers fetch keys and the node's time") {
    loopback loop;
    test_node node(loop);
    std::string const answer = node.ask_caller("GET /v1/keys");
    auto const body =
        parse_json_object(answer.substr(answer.find("\r\n\r\n") + 4));
    REQUIRE(body);
    CHECK(json_text(*body, "key").size() == 36);
    CHECK(json_number(*body, "time_ms").value_or(0) > 0);
}

TEST_CASE("operators see the node and steer it") {
    loopback loop;
    test_node node(loop);

    SUBCASE("readiness comes with its reasons") {
        CHECK(has(node.ask_operator("GET /healthz"), "200 OK"));
        node.core.shown.not_ready = {reason::configuration_stale};
        std::string const answer = node.ask_operator("GET /readyz");
        CHECK(has(answer, "HTTP/1.1 503"));
        CHECK(has(answer, "configuration-stale"));
        node.core.shown.ready = true;
        CHECK(has(node.ask_operator("GET /readyz"), "HTTP/1.1 200"));
    }

    SUBCASE("status shows configuration, ownership, replicas, members") {
        node.core.shown.configuration = log_offset{42};
        node.core.shown.configuration_digest = 0xabc;
        node.core.shown.owned = {{"replica/e1", log_offset{7}, true}};
        node.core.shown.members = {{node_id("n2"), 3, "alive"}};
        std::string const answer = node.ask_operator("GET /status");
        CHECK(has(answer, "\"offset\":42"));
        CHECK(has(answer, "0000000000000abc"));
        CHECK(has(answer, "replica/e1"));
        CHECK(has(answer, "\"n2\""));
    }

    SUBCASE("a change is published and its end reported") {
        bool accepts = true;
        node.core.react = [&](node_event const& event,
                              std::vector<node_action>& out) {
            if (auto const* asked = std::get_if<publish_request>(&event)) {
                publish_ended end;
                end.number = asked->number;
                end.accepted = accepts;
                end.offset = log_offset{5};
                end.problems = {"base revision is not current"};
                out.emplace_back(end);
            }
        };
        profile next;
        next.name = profile_name("audit-note");
        next.model = model_id("base-7b");
        next.adapter = {adapter_id("audit"), 3};
        change const wanted{change_id("c1"), "op", {put_profile{0, next}}};
        std::string const record = encode(config_record(wanted));
        std::string const good = node.ask_operator("POST /changes", "", record);
        CHECK(has(good, "HTTP/1.1 200"));
        CHECK(has(good, "\"offset\":5"));
        accepts = false;
        std::string const bad = node.ask_operator("POST /changes", "", record);
        CHECK(has(bad, "HTTP/1.1 400"));
        CHECK(has(bad, "base revision"));
        node.core.events.clear();
        std::string const broken = node.ask_operator("POST /changes", "", "{");
        CHECK(has(broken, "HTTP/1.1 400"));
        CHECK(node.core.last<publish_request>() == nullptr);
        std::string const other = node.ask_operator("GET /changes/c9");
        auto const answer =
            decode_publish_answer(other.substr(other.find("\r\n\r\n") + 4));
        REQUIRE(answer);
        CHECK_FALSE(answer->known);
        CHECK(has(node.ask_operator("GET /profiles"), "HTTP/1.1 200"));
    }

    SUBCASE("a drain ends the node when its decisions say so") {
        node.core.react = [](node_event const& event,
                             std::vector<node_action>& out) {
            if (std::holds_alternative<drain_started>(event)) {
                out.emplace_back(drain_finished{});
            }
        };
        CHECK(has(node.ask_operator("POST /drain"), "HTTP/1.1 202"));
        CHECK(loop.run_until([&] { return node.stopped; }));
        CHECK(node.drained);
    }
}

// Guards against a planned stop that swallows a request which is being read:
// its caller got neither an answer nor a refusal.
TEST_CASE("a node that stops answers the request that it is reading") {
    loopback loop;
    test_node node(loop);
    node.core.react = [](node_event const& event,
                         std::vector<node_action>& out) {
        if (std::holds_alternative<drain_started>(event)) {
            out.emplace_back(drain_finished{});
        }
        if (auto const* request = std::get_if<caller_request>(&event)) {
            out.emplace_back(
                finished(request->id, outcome::not_run, reason::draining));
        }
    };
    ip_address const address =
        testing::local(node.running.driver().caller_port());
    std::optional<raw_server::socket_type> caller;
    loop.run([&]() -> asio::awaitable<void> {
        caller.emplace(co_await testing::connect_to(address));
    });
    std::string const text =
        "POST /v1/calls/scan HTTP/1.1\r\nContent-Length: 1\r\n\r\nx";
    testing::send_now(*caller, text.substr(0, text.size() / 2));
    asio::steady_timer soon(loop.io(), std::chrono::milliseconds(50));
    soon.async_wait([&](boost::system::error_code) { node.running.drain(); });
    asio::steady_timer later(loop.io(), std::chrono::milliseconds(150));
    later.async_wait([&](boost::system::error_code) {
        testing::send_now(*caller, text.substr(text.size() / 2));
    });
    auto what = testing::request_fate::pending;
    loop.run([&]() -> asio::awaitable<void> {
        what = co_await testing::read_fate(*caller);
    });
    CHECK(what == testing::request_fate::answered);
    caller.reset();
    CHECK(loop.run_until([&] { return node.stopped; }));
    CHECK(node.drained);
}

TEST_CASE("a message to a node that nobody knows is reported at once") {
    loopback loop;
    test_node node(loop);
    node.core.react = [](node_event const& event,
                         std::vector<node_action>& out) {
        if (std::holds_alternative<caller_request>(event)) {
            out.emplace_back(send_peer{node_id("n9"), grant_heartbeat()});
        }
    };
    // The caller still waits when the node is taken down, as it may when
    // drain_limit cuts a stop off.
    std::optional<raw_server::socket_type> caller;
    loop.run([&]() -> asio::awaitable<void> {
        ip_address const address =
            testing::local(node.running.driver().caller_port());
        caller.emplace(co_await testing::connect_to(address));
        std::string const text =
            "POST /v1/calls/scan HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
        co_await testing::write_text(*caller, text);
    });
    REQUIRE(loop.run_until(
        [&] { return node.core.last<peer_unreachable>() != nullptr; }));
    CHECK(node.core.last<peer_unreachable>()->peer == node_id("n9"));
}

} // namespace camphorpoint
