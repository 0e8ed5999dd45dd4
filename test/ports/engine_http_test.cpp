#include "Ports/endpoint_notice_fields.hpp"
#include "Ports/engine_http.hpp"
#include "Ports/json_fields.hpp"
#include "common/standin_main.hpp"
#include "test/ports/loopback.hpp"

#include <doctest/doctest.h>

#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;

namespace {

std::string token(int index, std::string const& model) {
    return "id: " + std::to_string(index) +
           "\ndata: " + R"({"id":"r1","model":")" + model +
           R"(","choices":[{"delta":{"content":"t"}}]})" + "\n\n";
}

std::string last_chunk(int announced) {
    return std::string("data: ") +
           R"({"id":"r1","model":"audit@3","choices":[{"delta":{},)"
           R"("finish_reason":"stop"}],"usage":{"completion_tokens":)" +
           std::to_string(announced) + "}}\n\n";
}

std::string closing(int announced) {
    return last_chunk(announced) + "data: [DONE]\n\n";
}

/// An engine that answers as a test tells it.
struct scripted_engine {
    explicit scripted_engine(loopback& loop)
        : server(
              loop.executor(), {},
              [this](http_exchange& exchange) { return answer(exchange); })
        , pool()
        , port(loop.executor(), pool, std::chrono::milliseconds(5'000))
        , loop_(loop) {
        REQUIRE(server.listen(testing::local(0)).empty());
    }

    asio::awaitable<void> answer(http_exchange& exchange) {
        asked.push_back(exchange.request());
        if (status != 200 || pieces.empty()) {
            http_response response;
            response.status = status;
            response.body = body;
            co_await standins::respond_named(exchange, std::move(response));
            co_return;
        }
        co_await exchange.begin_stream(200, http_fields());
        for (std::string const& piece : pieces) {
            co_await exchange.write_piece(piece);
        }
        if (ends) {
            co_await exchange.end_stream();
        }
    }

    std::string address() const {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    engine_stream_end run(std::uint32_t from = 0) {
        engine_stream_end end;
        loop_.run([&]() -> asio::awaitable<void> {
            engine_request request;
            request.address = address();
            request.id = request_id("r1");
            request.adapter = {adapter_id("audit"), 3};
            request.how_urgent = urgency::high;
            request.body = R"({"model":"audit-note","max_tokens":2})";
            request.from_token = from;
            http_call call(loop_.executor(), &pool);
            engine_sink const sink =
                [this](engine_piece const& piece) -> asio::awaitable<bool> {
                taken.push_back(piece);
                co_return true;
            };
            end = co_await port.run(call, request, sink);
        });
        return end;
    }

    order_result order(instant not_after) {
        order_result result = order_result::lost;
        loop_.run([&]() -> asio::awaitable<void> {
            engine_order order;
            order.kind = engine_order_kind::evict;
            order.adapter = {adapter_id("audit"), 3};
            order.fencing = log_offset{9};
            order.not_after = not_after;
            result = co_await port.order(order, address());
        });
        return result;
    }

    int status = 200;
    std::string body;
    std::vector<std::string> pieces;
    bool ends = true;
    std::vector<http_request> asked;
    std::vector<engine_piece> taken;
    http_server server;
    http_pool pool;
    engine_http port;

private:
    loopback& loop_;
};

} // namespace

TEST_CASE("a request runs on an engine") {
    loopback loop;
    scripted_engine engine(loop);
    std::string const right = "audit@3";

    SUBCASE("a whole answer is completed") {
        engine.pieces = {token(0, right) + token(1, right), closing(2)};
        CHECK(engine.run().how == attempt_result::completed);
        REQUIRE(engine.taken.size() == 3);
        CHECK(engine.taken[1].tokens == 2);
        http_request const& asked = engine.asked.front();
        CHECK(asked.fields.get("X-Request-Id") == "r1");
        CHECK(asked.fields.get("X-Priority") == "high");
        auto const body = parse_json_object(asked.body);
        REQUIRE(body);
        CHECK(json_text(*body, "model") == "audit@3");
        CHECK(json_number(*body, "max_tokens") == 2);
    }

    SUBCASE("a stream is resumed where it was cut") {
        engine.pieces = {token(1, right), closing(2)};
        CHECK(engine.run(1).how == attempt_result::completed);
        CHECK(engine.asked.front().target == "/v1/streams/r1?from=1");
    }

    // The engine's host dies within an answer. Without the check the caller
    // would take the first half for the whole.
    SUBCASE("a stream that breaks off is cut") {
        SUBCASE("without its end") {
            engine.pieces = {token(0, right)};
            engine.ends = false;
        }
        SUBCASE("in good form but too short") {
            engine.pieces = {token(0, right), closing(2)};
        }
        SUBCASE("without its last chunk") {
            engine.pieces = {token(0, right)};
        }
        engine_stream_end const end = engine.run();
        CHECK(end.how == attempt_result::truncated);
        CHECK(end.tokens == 1);
        CHECK(engine.taken.size() == 1);
    }

    // The engine's host dies right behind the last chunk. Taken for cut, the
    // stream is resumed behind its last token, and the caller gets the last
    // chunk twice.
    SUBCASE("an answer is whole with its last chunk") {
        engine.pieces = {token(0, right), token(1, right) + last_chunk(2)};
        SUBCASE("when the connection breaks") {
            engine.ends = false;
        }
        SUBCASE("when the body ends") {}
        SUBCASE("when an event follows that is none of its own") {
            engine.pieces.back() += token(2, right);
        }
        SUBCASE("when bytes follow that are no event") {
            engine.pieces.emplace_back(300'000, 'x');
        }
        CHECK(engine.run().how == attempt_result::completed);
        CHECK(engine.taken.size() == 3);
    }

    // The engine loaded version 4 into the slot while the request waited.
    SUBCASE("an answer of another version is dropped") {
        engine.pieces = {token(0, "audit@4"), closing(1)};
        CHECK(engine.run().how == attempt_result::mismatch);
        CHECK(engine.taken.empty());
    }

    SUBCASE("refusals are told apart from failures") {
        SUBCASE("not loaded") {
            engine.status = 409;
            CHECK(engine.run().how == attempt_result::refused_not_loaded);
        }
        SUBCASE("busy or leaving") {
            engine.status = 503;
            CHECK(engine.run().how == attempt_result::refused_busy);
        }
        SUBCASE("failed after it was taken") {
            engine.status = 500;
            CHECK(engine.run().how == attempt_result::failed);
        }
        SUBCASE("a resumed stream that is not kept any more") {
            engine.status = 404;
            CHECK(engine.run(1).how == attempt_result::truncated);
        }
        SUBCASE("nothing listens") {
            engine.server.close();
            CHECK(engine.run().how == attempt_result::not_sent);
        }
    }
}

TEST_CASE("an engine is given orders") {
    loopback loop;
    scripted_engine engine(loop);
    instant const later = boot_clock::now() + std::chrono::minutes(1);

    SUBCASE("its status says how the order ended") {
        engine.status = 200;
        CHECK(engine.order(later) == order_result::done);
        auto const body = parse_json_object(engine.asked.front().body);
        REQUIRE(body);
        CHECK(json_text(*body, "order") == "evict");
        CHECK(json_number(*body, "fencing") == 9);
        engine.status = 409;
        CHECK(engine.order(later) == order_result::refused_busy);
        engine.status = 412;
        CHECK(engine.order(later) == order_result::refused_fencing);
        engine.status = 500;
        CHECK(engine.order(later) == order_result::failed);
    }

    // A holder is paused past its lease. Its order to evict must not go out:
    // the engine would drop an adapter that the next owner has put to use.
    SUBCASE("nothing is sent when the authority has ended") {
        instant const past = boot_clock::now();
        CHECK(engine.order(past) == order_result::not_sent);
        CHECK(engine.asked.empty());
    }

    SUBCASE("its report is read") {
        auto const report = parse_engine_report(
            R"({"incarnation":2,"running":1,"queued":0,)"
            R"("resident":[{"adapter":"a","version":3}],"loading":[],)"
            R"("in_use":[],"age_ms":40})",
            endpoint_id("e1"));
        REQUIRE(report);
        CHECK(report->resident.size() == 1);
        CHECK(report->age == std::chrono::milliseconds(40));
        CHECK_FALSE(parse_engine_report("[]", endpoint_id("e1")));
    }
}

// Guards against engines and services whose wish for rest, or whose shutdown,
// is not read from their answers.
TEST_CASE("notices in answers of engines and services are decoded") {
    http_fields fields;
    CHECK(read_endpoint_notice(503, fields).rest == duration::zero());
    fields.add("Retry-After", "1.5");
    CHECK(
        read_endpoint_notice(503, fields).rest ==
        std::chrono::milliseconds(1'500));
    CHECK(read_endpoint_notice(200, fields).rest == duration::zero());
    CHECK_FALSE(read_endpoint_notice(200, fields).leaving);
    fields.add("Endpoint-Leaving", "1");
    CHECK(read_endpoint_notice(200, fields).leaving);
}

} // namespace camphorpoint
