#include "platform/configuration_reader.hpp"
#include "platform/json_access.hpp"
#include "platform/keyed_records.hpp"
#include "platform/quarantine_record.hpp"
#include "platform/software_record.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace camphorpoint {

using namespace platform;
using std::chrono::milliseconds;

namespace {

/// @returns a replica's entry in which one field has another value
std::string entry_with(std::string const& field, std::string const& value) {
    std::vector<std::pair<std::string, std::string>> const fields{
        {"service", R"("llm")"},
        {"address", R"("127.0.0.1:8080")"},
        {"zone", R"("z")"},
        {"version", R"("v1")"},
        {"slots", "8"},
        {"state", R"("ready")"},
        {"remaining_ms", "5000"},
        {"sequence", "3"},
        {"born", "1700000000000"},
        {"models", R"([{"name":"m"}])"}};
    std::string text;
    for (auto const& [name, usual] : fields) {
        text += fmt::format(
            "{}\"{}\":{}", text.empty() ? "{" : ",", name,
            name == field ? value : usual);
    }
    return text + "}";
}

std::string nested(std::size_t levels) {
    return std::string(levels, '[') + std::string(levels, ']');
}

/// @returns a page of the newest records
std::string page_of(std::string const& items) {
    return fmt::format(R"({{"items":[{}],"more_pages":true,"end":9}})", items);
}

constexpr char const* sound_item = R"({"key":"r9","value":"e30="})";

} // namespace

// Guards against replicas that are made up from an odd entry: requests sent
// there are lost, and a number that no type holds was read differently on each
// kind of processor.
TEST_CASE("an odd entry of the registry is no replica") {
    REQUIRE(read_replica("r1", entry_with("", "")));
    struct odd_value {
        char const* field;
        std::string value;
    };
    std::vector<odd_value> const all{
        {"address", R"("127.0.0.1:0")"},
        {"address", R"("127.0.0.1:65536")"},
        {"address", R"("127.0.0.1:-1")"},
        {"address", R"("127.0.0.1:99999999999999999999")"},
        {"address", R"("127.0.0.1:80x")"},
        {"address", R"("127.0.0.1")"},
        {"address", R"(":80")"},
        {"address", R"("300.1.2.3:80")"},
        {"address", R"("some host:80")"},
        {"address", "17"},
        {"slots", "0"},
        {"slots", "-1"},
        {"slots", "1e300"},
        {"slots", "-1e300"},
        {"slots", "1e400"},
        {"slots", "4294967296"},
        {"slots", "18446744073709551615"},
        {"slots", R"("8")"},
        {"slots", "null"},
        {"remaining_ms", "1e300"},
        {"remaining_ms", "9223372036854775807"},
        {"remaining_ms", "18446744073709551615"},
        {"remaining_ms", R"("soon")"},
        {"state", "1"},
        {"state", R"("elsewhere")"},
        {"service", "{}"},
        {"zone", "[]"},
        {"service", "\"\xff\xfe\""},
        {"service", "\"" + std::string(100'000, 's') + "\""},
        {"models", "3"},
        {"models", "[1]"},
        {"models", nested(100'000)},
        {"models", nested(20)},
        {"sequence", nested(100'000)},
        {"sequence", "1e9999"},
    };
    for (odd_value const& each : all) {
        CAPTURE(each.field);
        CAPTURE(each.value.substr(0, 40));
        CHECK_FALSE(read_replica("r1", entry_with(each.field, each.value)));
    }
    CHECK_FALSE(read_replica("r1", ""));
    CHECK_FALSE(read_replica("r1", "null"));
    CHECK_FALSE(read_replica("r1", nested(100'000)));
    CHECK_FALSE(read_replica("r1", entry_with("", "").substr(0, 60)));
}

// Guards against numbers that no type holds: the cast was undefined, gave
// another value on each kind of processor, and a time computed from it lay in
// the past.
TEST_CASE("a number that its type does not hold gives the fallback") {
    json_document const document(R"({"huge":1e300,"low":-1e300,"part":2.7,
        "whole":1.8e19,"above":1.9e19,"max":18446744073709551615,
        "negative":-3,"years":1e15,"day":86400000})");
    auto const root = document.root();
    REQUIRE(root);
    for (char const* const each : {"huge", "low", "above", "negative"}) {
        CAPTURE(each);
        CHECK(root->whole<unsigned>(each, 7U) == 7U);
        CHECK(root->whole<std::uint64_t>(each, 7U) == 7U);
    }
    CHECK(root->whole<std::int64_t>("huge", -5) == -5);
    CHECK(root->whole<std::int64_t>("low", -5) == -5);
    CHECK(root->whole<std::int64_t>("max", -5) == -5);
    CHECK(root->whole<unsigned>("part", 7U) == 2U);
    CHECK(
        root->whole<std::uint64_t>("whole", 7U) == 18'000'000'000'000'000'000U);
    CHECK(
        root->whole<std::uint64_t>("max", 7U) ==
        std::numeric_limits<std::uint64_t>::max());
    CHECK(root->time("day", milliseconds(4)) == std::chrono::hours(24));
    for (char const* const each : {"huge", "low", "years", "max"}) {
        CAPTURE(each);
        CHECK(root->time(each, milliseconds(4)) == milliseconds(4));
    }
}

// Guards against a report that ends a controller's work at a replica, and
// against a configuration whose times overflow.
TEST_CASE("odd numbers in reports and configurations give usable values") {
    auto const report = read_report(
        R"({"sequence":1e300,"queued":-4,"active":1e300,"born":1e300,
            "models":[{"name":"m","adapters":["a@99999999999",7,null]}],
            "pending":[{}, "m/a@x"]})");
    REQUIRE(report);
    CHECK(report->sequence == 0);
    CHECK(report->queued == 0);
    CHECK(report->active == 0);
    CHECK_FALSE(report->started_at);
    CHECK_FALSE(read_report(nested(100'000)));
    CHECK_FALSE(read_report("{\"sequence\":\"\xff\"}"));

    findings problems;
    auto const read = read_configuration(
        R"({"version":3,"services":[{"name":"s","max_connections":1e300,
            "engine":{"adapter_slots":-1,"loads_per_s":1,
                      "models":[{"name":"m","load_s":1e300}]}}],
            "routes":[{"name":"r","hostname":"h","path_prefix":"/","type":"safe",
                       "service":"s","timeout_ms":1e300,"attempts":1e300,
                       "target_latency_ms":9223372036854775807}]})",
        problems);
    REQUIRE(read);
    CHECK(read->routes.front().timeout == milliseconds(15'000));
    CHECK(read->routes.front().objective == milliseconds(1'000));
    CHECK(read->routes.front().attempts == 1);
    CHECK(read->services.front().max_connections == 0);
    auto const& models = read->services.front().engine->models;
    CHECK(models.front().load_time == milliseconds(1'000));
    CHECK_FALSE(read_configuration(nested(100'000), problems));
    CHECK_FALSE(read_configuration("{\"version\":1e400}", problems));

    CHECK_FALSE(read_version(R"({"model":"m","adapter":"a","version":1e300})"));
    CHECK_FALSE(read_version(R"({"model":"m","adapter":"a","version":-1})"));
    CHECK_FALSE(read_version(R"({"model":"m","adapter":7,"version":2})"));
}

// Guards against a quarantine that ends in the past, or a version that is made
// up, because a number of the record does not fit.
TEST_CASE("odd records of the nodes' own topics are not read") {
    wall_time const now{milliseconds(1'700'000'000'000)};
    REQUIRE(read_quarantine(
        R"({"content":7,"turn":2,"until":1700000001000})", now));
    for (char const* const each :
         {R"({"content":7,"turn":2,"until":9223372036854775807})",
          R"({"content":7,"turn":2,"until":-9223372036854775808})",
          R"({"content":7,"turn":2,"until":1e300})",
          R"({"content":-7,"turn":2,"until":1700000001000})",
          R"({"content":7,"turn":4294967296,"until":1700000001000})",
          R"({"content":"7","turn":2,"until":1700000001000})", "[]", "",
          "{\"content\":\"\xff\"}"}) {
        CAPTURE(each);
        CHECK_FALSE(read_quarantine(each, now));
    }
    CHECK_FALSE(read_quarantine(nested(100'000), now));
    REQUIRE(read_software_record(R"({"service":"s","version":4,"routes":5})"));
    for (char const* const each :
         {R"({"service":"s","version":1e300})",
          R"({"service":"s","version":-1})", R"({"service":"s","version":"4"})",
          R"({"service":"s","version":4,"routes":-5})", R"({"service":4})", "",
          "7"}) {
        CAPTURE(each);
        CHECK_FALSE(read_software_record(each));
    }
    CHECK_FALSE(read_software_record(nested(100'000)));
}

// Guards against a list that is not followed any more: one odd item made the
// whole page unreadable, and an item whose value can't be decoded was taken for
// a removal.
TEST_CASE("one odd item of a page leaves the others readable") {
    for (std::string const& odd :
         {std::string("7"), std::string("null"), std::string("[]"),
          std::string("{}"), std::string(R"({"key":7,"value":"e30="})"),
          std::string(R"({"key":"odd","value":7})"),
          std::string(R"({"key":"odd","value":"%%%"})"),
          std::string("{\"key\":\"\xff\xfe\",\"value\":7}")}) {
        for (bool const before : {true, false}) {
            CAPTURE(odd);
            CAPTURE(before);
            keyed_batch batch;
            auto const next = decode_newest_page(
                page_of(
                    before ? odd + "," + sound_item : sound_item + ("," + odd)),
                batch);
            REQUIRE(next);
            CHECK_FALSE(next->empty());
            REQUIRE(batch.records.size() == 1);
            CHECK(batch.records.front().key == "r9");
            CHECK(batch.records.front().value == "{}");
            CHECK(batch.unreadable == 1);
            CHECK(batch.next.offset == 9);
        }
    }
    keyed_batch batch;
    CHECK_FALSE(decode_newest_page(
        R"({"items":[],"more_pages":false,"end":1e300})", batch));
    CHECK_FALSE(decode_newest_page(
        R"({"items":[],"more_pages":false,"end":"4"})", batch));
}

// Guards against a key that ends a page and is not a word: the request for the
// next page was malformed, and the rest of the list was never read.
TEST_CASE("a key is encoded in the query of the next page") {
    CHECK(query_encoded("r-1.a_b~Z9") == "r-1.a_b~Z9");
    CHECK(query_encoded("a b&c=d/\r\n%\xff") == "a%20b%26c%3Dd%2F%0D%0A%25%FF");
    CHECK(query_encoded("").empty());
}

} // namespace camphorpoint
