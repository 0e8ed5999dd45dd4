#include "Ports/engine_stream.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

stream_event
event(std::string id, std::string const& request, std::string const& model) {
    return {
        std::move(id), "",
        R"({"id":")" + request + R"(","model":")" + model +
            R"(","choices":[{"delta":{"content":"a"},"finish_reason":null}]})"};
}

stream_event last(int announced) {
    return {
        "2", "",
        R"({"id":"r1","model":"audit@3","choices":[{"delta":{},)"
        R"("finish_reason":"stop"}],"usage":{"completion_tokens":)" +
            std::to_string(announced) + "}}"};
}

} // namespace

TEST_CASE("an engine's stream is checked event by event") {
    engine_stream stream(request_id("r1"), {adapter_id("audit"), 3}, 0);
    REQUIRE(stream.take(event("0", "r1", "audit@3")) == stream_verdict::token);

    SUBCASE("a whole answer is as long as announced") {
        CHECK(
            stream.take(event("1", "r1", "audit@3")) == stream_verdict::token);
        CHECK(stream.take(last(2)) == stream_verdict::last);
        CHECK(stream.take({"", "", "[DONE]"}) == stream_verdict::finished);
        CHECK(stream.next_token() == 2);
    }

    // Two answers cross in an engine, or a late one comes on a connection that
    // is used again: a caller would read another caller's text.
    SUBCASE("another request's answer is not handed on") {
        CHECK(
            stream.take(event("1", "r2", "audit@3")) ==
            stream_verdict::mismatch);
    }

    // The engine swaps the adapter while the request waits in its queue.
    SUBCASE("another adapter's or version's answer is not handed on") {
        CHECK(
            stream.take(event("1", "r1", "audit@4")) ==
            stream_verdict::mismatch);
        CHECK(
            stream.take(event("1", "r1", "label@3")) ==
            stream_verdict::mismatch);
    }

    // The engine ends a stream early but in good form: the caller would take
    // half an audit note for the whole.
    SUBCASE("an answer that is not whole is cut") {
        SUBCASE("shorter than announced") {
            CHECK(stream.take(last(2)) == stream_verdict::cut);
        }
        SUBCASE("a token is missing") {
            CHECK(
                stream.take(event("2", "r1", "audit@3")) ==
                stream_verdict::cut);
        }
        SUBCASE("a token comes twice") {
            CHECK(
                stream.take(event("0", "r1", "audit@3")) ==
                stream_verdict::cut);
        }
        SUBCASE("it ends without its last chunk") {
            CHECK(stream.take({"", "", "[DONE]"}) == stream_verdict::cut);
        }
        SUBCASE("an event is no JSON") {
            CHECK(stream.take({"1", "", "{"}) == stream_verdict::cut);
        }
    }

    SUBCASE("a resumed stream goes on at its token") {
        engine_stream rest(request_id("r1"), {adapter_id("audit"), 3}, 1);
        CHECK(rest.take(event("1", "r1", "audit@3")) == stream_verdict::token);
        CHECK(rest.take(last(2)) == stream_verdict::last);
    }
}

} // namespace camphorpoint
