#include "platform/configuration_reader.hpp"
#include "platform/keyed_records.hpp"
#include "platform/order_wire.hpp"
#include "platform/request_wire.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace camphorpoint {

using namespace platform;
using std::chrono::milliseconds;

namespace {

http_request caller_request() {
    http_request request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.body = "body";
    for (auto const& [name, value] :
         {std::pair("X-Request-Id", "q1"), std::pair("X-Model", "m/a3"),
          std::pair("X-Token-Count", "457,952"),
          std::pair("X-Request-Deadline", "11997"), std::pair("X-Hold", "h"),
          std::pair("Kv-From", "x"),
          std::pair("Connection", "keep-alive, X-Mine"),
          std::pair("X-Mine", "1"), std::pair("X-Kept", "2"),
          std::pair("Content-Length", "4")}) {
        request.fields.add(name, value);
    }
    return request;
}

} // namespace

TEST_CASE("a caller's request is decoded") {
    caller_demand const demand = read_demand(caller_request());
    CHECK(demand.id.str() == "q1");
    CHECK(demand.model.str() == "m");
    CHECK(demand.adapter.str() == "m/a3");
    CHECK(demand.prompt_tokens == 457);
    CHECK(demand.most_tokens == 952);
    CHECK(demand.patience == milliseconds(11'997));
    SUBCASE("without an adapter the base model answers") {
        http_request plain;
        plain.fields.add("X-Model", "m");
        CHECK(read_demand(plain).adapter.empty());
        CHECK_FALSE(read_demand(plain).patience);
    }
}

// A caller names a place in another request's memory. Passed on, its answer
// would go on from a stranger's prompt.
TEST_CASE("a replica gets the request without what is not the caller's") {
    send_terms terms;
    terms.replica = endpoint_id("r1");
    terms.remaining = milliseconds(900);
    terms.priority = 2;
    http_request const sent = make_send(caller_request(), terms);
    CHECK(sent.target == "/a/b?c=d");
    CHECK(sent.body == "body");
    CHECK(sent.fields.get("X-Kept") == "2");
    CHECK(sent.fields.get("X-Target-Instance") == "r1");
    CHECK(sent.fields.get("X-Request-Deadline") == "900");
    CHECK(sent.fields.get("X-Request-Priority") == "2");
    for (std::string const name :
         {"X-Hold", "Kv-From", "X-Mine", "Connection", "Content-Length"}) {
        CHECK(sent.fields.get(name).empty());
    }
    SUBCASE("a stream goes on behind the event that the caller has") {
        terms.after_event = 7;
        CHECK(
            make_send(caller_request(), terms).fields.get("Last-Event-Id") ==
            "7");
    }
}

// Guards against events that are repeated or missed behind a position that is
// too large to be read.
TEST_CASE("the last event that a caller has may bear any number") {
    http_request request;
    request.fields.add("Last-Event-Id", "5000000000");
    CHECK(read_demand(request).last_event == 5'000'000'000);
    CHECK_FALSE(read_demand(http_request()).last_event);
}

TEST_CASE("an answer is judged by its header") {
    http_fields good;
    good.add("X-Response-Signature", "s");
    CHECK(judge_answer(200, good) == answer_kind::success);
    CHECK(judge_answer(200, {}) == answer_kind::spoiled);
    CHECK(judge_answer(500, good) == answer_kind::failure);
    CHECK(judge_answer(421, {}) == answer_kind::misdirected);
    SUBCASE("an encoded body is not the replica's") {
        good.add("Content-Encoding", "gzip");
        CHECK(judge_answer(200, good) == answer_kind::spoiled);
    }
    SUBCASE("503 promises nothing unless the replica says so") {
        CHECK(judge_answer(503, {}) == answer_kind::failure);
        http_fields refused;
        refused.add("X-Not-Executed", "1");
        CHECK(judge_answer(503, refused) == answer_kind::not_executed);
    }
}

TEST_CASE("records of keyed topics") {
    std::string bytes(16, '\0');
    bytes += frame_record(std::string("\x01", 1) + "kvalue");
    bytes += frame_record(std::string("\x01", 1) + "g");
    auto const batch = decode_keyed_read(bytes, 5);
    REQUIRE(batch);
    CHECK(batch->next.offset == 7);
    REQUIRE(batch->records.size() == 2);
    CHECK(batch->records[0].key == "k");
    CHECK(batch->records[0].value == "value");
    CHECK_FALSE(batch->records[1].value);

    SUBCASE("a record that is cut is read again") {
        auto const part = decode_keyed_read(
            std::string_view(bytes).substr(0, bytes.size() - 1), 5);
        REQUIRE(part);
        CHECK(part->next.offset == 6);
    }
    SUBCASE("too few bytes are no answer") {
        CHECK_FALSE(decode_keyed_read("abc", 0));
        keyed_batch into;
        CHECK_FALSE(decode_newest_page("{}", into));
        CHECK_FALSE(decode_newest_page("[", into));
    }
}

TEST_CASE("a configuration with faults names all of them") {
    findings problems;
    CHECK_FALSE(read_configuration(
        R"({"version":3,"services":[],"routes":[)"
        R"({"name":"a","type":"odd","hostname":"h","path_prefix":"/x/",)"
        R"("service":"s"},{"name":"b","type":"safe","path_prefix":"x"}]})",
        problems));
    std::string const report = problems.report();
    CHECK(report.find("routes.a.type") != std::string::npos);
    CHECK(report.find("routes.b.path_prefix") != std::string::npos);
    CHECK(report.find("routes.b.hostname") != std::string::npos);
    CHECK(report.find("not declared") != std::string::npos);
    SUBCASE("text that is no JSON is a finding too") {
        findings others;
        CHECK_FALSE(read_configuration("{", others));
        CHECK_FALSE(others.empty());
    }
}

TEST_CASE("what replicas say of themselves") {
    auto const record = read_replica(
        "i-1",
        R"({"service":"s","address":"127.0.0.1:80","state":"draining",)"
        R"("zone":"z","remaining_ms":1500,"slots":4,"models":[{"name":"m",)"
        R"("adapters":["a3@2","a4@1"]}]})");
    REQUIRE(record);
    CHECK(record->leaving);
    CHECK(record->remaining == milliseconds(1'500));
    REQUIRE(record->adapters.size() == 2);
    CHECK(record->adapters[0].id.str() == "m/a3");
    CHECK(record->adapters[0].version == 2);
    CHECK(record->started_at == std::nullopt);
    CHECK_FALSE(read_replica("i-2", R"({"service":"s"})"));

    auto const report = read_report(
        R"({"sequence":9,"busy":true,"models":[],"pending":["m/a5@3"]})");
    REQUIRE(report);
    CHECK(report->sequence == 9);
    CHECK(report->busy);
    REQUIRE(report->pending.size() == 1);
    CHECK(report->pending[0].id.str() == "m/a5");
    CHECK(report->pending[0].version == 3);
}

TEST_CASE("a replica says when it started") {
    incarnation const started(milliseconds(1'767'225'600'123));
    auto const record = read_replica(
        "i-1", R"({"service":"s","address":"127.0.0.1:80","state":"ready",)"
               R"("zone":"z","slots":4,"born":1767225600123})");
    REQUIRE(record);
    CHECK(record->started_at == started);
    auto const report =
        read_report(R"({"sequence":0,"models":[],"born":1767225600123})");
    REQUIRE(report);
    CHECK(report->started_at == started);
}

// Somebody else has written into the list. What such an entry names is no
// replica, and requests sent there would be lost; the other entries hold.
TEST_CASE("an entry by another writer names no replica to use") {
    auto const names_one = [](std::string const& text) {
        return read_replica("i-1", text).has_value();
    };
    std::string const rest = R"(,"zone":"z","slots":4})";
    std::string const good =
        R"({"service":"s","address":"127.0.0.1:80","state":"ready")";
    REQUIRE(names_one(good + rest));

    SUBCASE("a field is missing") {
        CHECK_FALSE(
            names_one(R"({"service":"s","address":"127.0.0.1:80")" + rest));
        CHECK_FALSE(names_one(R"({"service":"s","state":"ready")" + rest));
        CHECK_FALSE(
            names_one(R"({"address":"127.0.0.1:80","state":"ready")" + rest));
        CHECK_FALSE(names_one(good + R"(,"zone":"z"})"));
        CHECK_FALSE(names_one(good + R"(,"slots":4})"));
    }
    SUBCASE("a field is of another type") {
        CHECK_FALSE(names_one(good + R"(,"zone":7,"slots":4})"));
        CHECK_FALSE(names_one(good + R"(,"zone":"z","slots":"4"})"));
        CHECK_FALSE(names_one(good + R"(,"zone":"z","slots":-4})"));
        CHECK_FALSE(names_one(good + R"(,"zone":"z","slots":4,"models":"m"})"));
        CHECK_FALSE(
            names_one(good + R"(,"zone":"z","slots":4,"models":["m"]})"));
        CHECK_FALSE(names_one(
            R"({"service":["s"],"address":"127.0.0.1:80","state":"ready")" +
            rest));
    }
    SUBCASE("a state that is not named") {
        CHECK_FALSE(names_one(
            R"({"service":"s","address":"127.0.0.1:80","state":"resting")" +
            rest));
    }
    SUBCASE("bytes that can't be read") {
        CHECK_FALSE(names_one("\xff\xfe{"));
        CHECK_FALSE(names_one("[]"));
        CHECK_FALSE(names_one(""));
    }
}

TEST_CASE("an order and its answers") {
    replica_command order;
    order.model = model_id("m");
    order.adapter = {adapter_id("m/a3"), 2};
    order.expected_count = 4;
    http_request const sent = make_order(order, endpoint_id("r1"), "n1", 17);
    for (std::string const part :
         {R"("operation":"load")", R"("adapter":"a3")", R"("version":2)",
          R"("expect":4)", R"("fencing_token":17)", R"("holder":"n1")"}) {
        CHECK(sent.body.find(part) != std::string::npos);
    }
    CHECK(read_order_answer(200) == command_result::already_done);
    CHECK(read_order_answer(202) == command_result::accepted);
    CHECK(read_order_answer(409) == command_result::out_of_sequence);
    CHECK(read_order_answer(412) == command_result::fenced);
    CHECK(read_order_answer(421) == command_result::wrong_replica);
    CHECK(read_order_answer(400) == command_result::rejected);
}

} // namespace camphorpoint
