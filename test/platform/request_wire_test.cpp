#include "Ports/endpoint_notice_fields.hpp"
#include "platform/configuration_reader.hpp"
#include "platform/keyed_records.hpp"
#include "platform/order_wire.hpp"
#include "platform/request_wire.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

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

// Guards against work and memory that grow with the parts that a caller names.
TEST_CASE("the shared parts of a prompt are decoded") {
    auto const parts_of = [](std::string const& list) {
        http_request request;
        request.fields.add("X-Prompt-Prefix", list);
        return read_demand(request).shared_parts;
    };
    using names = std::vector<std::string>;
    SUBCASE("the last part belongs to the request alone") {
        CHECK(
            parts_of("5c1e07a2:800,91bd3f06:410,e4402b7d:250") ==
            names{"5c1e07a2", "91bd3f06"});
        CHECK(parts_of("e4402b7d:250").empty());
        CHECK(read_demand(http_request()).shared_parts.empty());
    }
    SUBCASE("spelling does not matter") {
        CHECK(parts_of(" 5C1E07A2:800 , e4:2") == names{"5c1e07a2"});
        CHECK(parts_of(",:4,a,b:1") == names{"a"});
    }
    SUBCASE("a long list is cut") {
        std::string list;
        for (int each = 0; each < 300; ++each) {
            list += "a" + std::to_string(each) + ":1,";
        }
        CHECK(parts_of(list).size() == max_prompt_parts);
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

// Guards against a stream that goes on as if its first request were unknown.
TEST_CASE("a caller that resumes a stream names its first request") {
    http_request request;
    request.fields.add("Resumes", "first");
    SUBCASE("with the last event that it has") {
        request.fields.add("Last-Event-Id", "3");
        CHECK(read_demand(request).resumes == request_id("first"));
    }
    SUBCASE("which means nothing without that event") {
        CHECK(read_demand(request).resumes.empty());
    }
}

TEST_CASE("an answer is judged by its header") {
    http_fields good;
    good.add("X-Response-Signature", "s");
    CHECK(judge_answer(200, good, true) == answer_kind::success);
    CHECK(judge_answer(200, {}, true) == answer_kind::spoiled);
    CHECK(judge_answer(500, good, true) == answer_kind::failure);
    SUBCASE("an encoded body is not the replica's") {
        good.add("Content-Encoding", "gzip");
        CHECK(judge_answer(200, good, true) == answer_kind::spoiled);
    }
    SUBCASE("a status promises nothing unless the replica states it") {
        http_fields refused;
        refused.add("X-Not-Executed", "1");
        for (int const status : {408, 421, 429, 503}) {
            CHECK(judge_answer(status, {}, true) == answer_kind::unstated);
            CHECK(
                judge_answer(status, refused, false) == answer_kind::unstated);
        }
        CHECK(judge_answer(421, refused, true) == answer_kind::misdirected);
        CHECK(judge_answer(503, refused, true) == answer_kind::not_executed);
        CHECK(judge_answer(429, refused, true) == answer_kind::not_executed);
        CHECK(judge_answer(400, refused, true) == answer_kind::not_executed);
        CHECK(judge_answer(408, refused, true) == answer_kind::unstated);
        refused.add("X-Response-Signature", "s");
        for (int const status : {200, 204, 302, 404, 500, 504}) {
            CHECK(judge_answer(status, refused, true) == answer_kind::spoiled);
        }
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
        CHECK(sent.body.text().find(part) != std::string::npos);
    }
    CHECK(read_order_answer(200) == command_result::already_done);
    CHECK(read_order_answer(202) == command_result::accepted);
    CHECK(read_order_answer(409) == command_result::out_of_sequence);
    CHECK(read_order_answer(412) == command_result::fenced);
    CHECK(read_order_answer(421) == command_result::wrong_replica);
    CHECK(read_order_answer(400) == command_result::rejected);
}

TEST_CASE("a caller identifies itself by one API key") {
    http_request request;
    auto const with = [&](std::string value) {
        request.fields.add("Authorization", std::move(value));
        return read_demand(request);
    };
    SUBCASE("in the form of RFC 6750") {
        caller_demand const demand = with("Bearer k1");
        CHECK(demand.credentials == credentials_kind::api_key);
        CHECK(demand.api_key == "k1");
    }
    SUBCASE("with the scheme in any case and blanks around the key") {
        CHECK(with("bEaReR   k1 \t").api_key == "k1");
    }
    SUBCASE("with bytes above 127 or ten thousand of them") {
        CHECK(with("Bearer \xc3\xa4").api_key == "\xc3\xa4");
        http_request longer;
        longer.fields.add(
            "authorization", "Bearer " + std::string(10'000, 'k'));
        CHECK(read_demand(longer).api_key.size() == 10'000);
    }
    SUBCASE("or not at all") {
        CHECK(read_demand(request).credentials == credentials_kind::absent);
    }
    SUBCASE("another scheme, no key or two of them are malformed") {
        for (std::string const& value :
             {"Basic k1", "Bearer", "Bearer  ", "k1", "Bearer k1 k2", ""}) {
            CAPTURE(value);
            http_request other;
            other.fields.add("Authorization", value);
            CHECK(
                read_demand(other).credentials == credentials_kind::malformed);
        }
    }
    SUBCASE("two fields are malformed, also when they are equal") {
        with("Bearer k1");
        caller_demand const demand = with("Bearer k1");
        CHECK(demand.credentials == credentials_kind::malformed);
        CHECK(demand.api_key.empty());
    }
}

TEST_CASE("the tokens of a request are the sum of both counts") {
    auto const total = [](std::string const& count) {
        http_request request;
        request.fields.add("X-Token-Count", count);
        return read_demand(request).total_tokens;
    };
    CHECK(total("1460,80") == 1'540);
    CHECK(total("1460, 80") == 1'540);
    CHECK(total("4294967295,4294967295") == 8'589'934'590);
    for (std::string const& text :
         {"", "1460", ",", "-1,5", "5,-1", "a,b", "99999999999,5", "1,2,3"}) {
        CAPTURE(text);
        CHECK_FALSE(total(text));
    }
}

// Guards against a caller that names a team by itself, and against a key that
// leaves the system.
TEST_CASE("a replica gets the team from the system only") {
    http_request request;
    request.fields.add("Authorization", "Bearer k1");
    request.fields.add("x-tenant", "forged");
    request.fields.add("X-TENANT", "forged");
    request.fields.add("Connection", "close");
    request.fields.add("Connection", "X-Tenant, X-Mine");
    request.fields.add("X-Mine", "1");
    send_terms terms;
    std::size_t teams = 0;
    SUBCASE("when API keys are in force") {
        terms.authenticated = true;
        terms.team = team_id("a");
        http_request const sent = make_send(request, terms);
        CHECK(sent.fields.get("X-Tenant") == "a");
        CHECK(sent.fields.get("Authorization").empty());
        CHECK(sent.fields.get("X-Mine").empty());
        for (http_field const& each : sent.fields.all()) {
            teams += each.name == "X-Tenant" || each.value == "forged" ? 1 : 0;
        }
        CHECK(teams == 1);
    }
    SUBCASE("an anonymous caller has none") {
        terms.authenticated = true;
        CHECK(make_send(request, terms).fields.get("X-Tenant").empty());
    }
    SUBCASE("without API keys the credentials are the replica's") {
        http_request const sent = make_send(request, terms);
        CHECK(sent.fields.get("Authorization") == "Bearer k1");
        CHECK(sent.fields.get("X-Tenant").empty());
    }
}

TEST_CASE("teams of a configuration") {
    findings problems;
    auto const read = [&](std::string const& teams) {
        return read_configuration(
            R"({"version":3,"routes":[],"services":[],"tenants":)" + teams +
                "}",
            problems);
    };
    SUBCASE("are read with keys, urgency and cap") {
        auto const found =
            read(R"([{"name":"a","api_keys":["k1","k2"],"priority":1,)"
                 R"("unit":"tokens","plain_tokens":200,"rate_per_s":431620,)"
                 R"("burst":431620}])");
        REQUIRE(found);
        REQUIRE(found->teams);
        REQUIRE(found->teams->size() == 1);
        team_definition const& team = found->teams->front();
        CHECK(team.name.str() == "a");
        CHECK(team.api_keys.size() == 2);
        CHECK(team.priority == 1U);
        CHECK(team.cap.unit == usage_unit::tokens);
        CHECK(team.cap.per_second == 431'620);
        CHECK(team.cap.burst == 431'620);
        CHECK(team.cap.default_tokens == 200);
    }
    SUBCASE("an empty list denies all, a missing one nobody") {
        CHECK(read("[]")->teams);
        CHECK_FALSE(read("null")->teams);
    }
    SUBCASE("a team without keys, cap or urgency is valid") {
        auto const found = read(R"([{"name":"a","api_keys":[]}])");
        REQUIRE(found);
        CHECK_FALSE(found->teams->front().cap.limited());
        CHECK_FALSE(found->teams->front().priority);
    }
    SUBCASE("an empty key belongs to nobody") {
        auto const found = read(R"([{"name":"a","api_keys":["", 5]}])");
        CHECK(found->teams->front().api_keys.empty());
    }
    SUBCASE("what can't be applied is a finding") {
        for (std::string const& team :
             {R"({"name":"","api_keys":["k"]})",
              R"({"name":"a","rate_per_s":-1})", R"({"name":"a","burst":-5})",
              R"({"name":"a","unit":"bytes"})", R"("a")"}) {
            CAPTURE(team);
            problems = findings();
            CHECK_FALSE(read("[" + std::string(team) + "]"));
            CHECK_FALSE(problems.all().empty());
        }
        CHECK_FALSE(read("{}"));
    }
    SUBCASE("a huge cap is one") {
        CHECK(read(R"([{"name":"a","rate_per_s":1e300}])"));
    }
}

// Some replicas state their load, and how slow their machine is at the moment.
// Guards against figures that no replica can mean: a negative or huge one would
// have the replica avoided, or preferred, by every node.
TEST_CASE("the load that an answer states is decoded") {
    auto const load_of = [](std::string const& text) {
        http_fields fields;
        fields.add("X-Server-Load", text);
        return read_load(fields);
    };
    CHECK_FALSE(read_load({}).named);
    auto const whole = load_of("3, 1,8,250");
    REQUIRE(whole.figures);
    CHECK(whole.figures->running == 3);
    CHECK(whole.figures->waiting == 1);
    CHECK(whole.figures->slots == 8);
    CHECK(whole.figures->slowdown == 2.5);
    auto const without_slowdown = load_of("3,0,8");
    REQUIRE(without_slowdown.figures);
    CHECK_FALSE(without_slowdown.figures->slowdown);
    for (std::string const text :
         {"3,0", "3", "3,,8,100", "3,0,8,", ",3,0,8", "3,0,8,100,1",
          "-1,0,8,100", "3,0,8,-100", "3,0,8,0", "3,0,8,nan", "3,0,8,1e9",
          "3,0,8,10001", "99999999999999999999,0,8,100", "a,b,c", " "}) {
        CAPTURE(text);
        CHECK(load_of(text).named);
        CHECK_FALSE(load_of(text).figures);
    }
}

// Guards against a rest that no node keeps since its text is unusual, and
// against one that lasts forever.
TEST_CASE("the rest that a replica asks for is decoded") {
    auto const rest_of = [](int status, std::vector<std::string> const& texts) {
        http_fields fields;
        for (std::string const& each : texts) {
            fields.add("Retry-After", each);
        }
        return read_retry_after(status, fields);
    };
    CHECK(rest_of(503, {"3"}) == milliseconds(3'000));
    CHECK(rest_of(503, {" 0.25 "}) == milliseconds(250));
    CHECK(rest_of(503, {"0"}) == milliseconds(0));
    CHECK(rest_of(503, {"1", "4", "2"}) == milliseconds(4'000));
    CHECK(rest_of(503, {"-1"}) == milliseconds(0));
    CHECK(rest_of(503, {"Fri, 04 Dec 2026 05:00:00 GMT"}) == milliseconds(0));
    CHECK(rest_of(503, {"nan"}) == milliseconds(0));
    CHECK(rest_of(503, {"1e300"}) == std::chrono::hours(24));
    CHECK(rest_of(429, {"3"}) == milliseconds(0));
    CHECK(rest_of(503, {}) == milliseconds(0));
}

} // namespace camphorpoint
