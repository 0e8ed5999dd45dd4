#include "Config/declaration_reader.hpp"
#include "Load/zipf.hpp"

#include <Camphorpoint/Load>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

namespace camphorpoint {

namespace {

constexpr std::uint64_t prompt = 7;
adapter_ref const wanted{adapter_id("audit"), 3};

std::string chunk(std::string const& model, std::string const& text) {
    return fmt::format(
        R"({{"model":"{}","choices":[{{"delta":{{"content":"{}"}}}}]}})", model,
        text);
}

std::string token(std::uint32_t index) {
    return expected_token(wanted, prompt, index);
}

load_settings short_run() {
    load_settings settings;
    settings.site = *find_deployment("inventarwerk");
    settings.rate = 100;
    settings.length = std::chrono::seconds(20);
    settings.adapters = 300;
    return settings;
}

} // namespace

TEST_CASE("a streamed answer is checked against its request") {
    answer_check check(wanted.id, {3}, prompt, 3);
    REQUIRE(check.take(chunk("audit@3", token(0))) == answer_fault::none);

    SUBCASE("the whole answer is right, however it is cut into chunks") {
        std::string const rest = token(1) + token(2);
        CHECK(
            check.take(chunk("audit@3", rest.substr(0, 5))) ==
            answer_fault::none);
        CHECK(
            check.take(chunk("audit@3", rest.substr(5))) == answer_fault::none);
        CHECK(check.close() == answer_fault::none);
        CHECK(check.tokens() == 3);
    }
    SUBCASE("another adapter's token") {
        CHECK(
            check.take(chunk("licence@3", token(1))) ==
            answer_fault::wrong_adapter);
    }
    SUBCASE("another version's token") {
        CHECK(
            check.take(chunk("audit@4", token(1))) ==
            answer_fault::wrong_version);
    }
    SUBCASE("a token of another caller's answer") {
        std::string const crossed = expected_token(wanted, prompt + 1, 1);
        CHECK(
            check.take(chunk("audit@3", crossed)) == answer_fault::wrong_text);
    }
    SUBCASE("a token that comes twice, or too early") {
        CHECK(
            check.take(chunk("audit@3", token(0))) == answer_fault::wrong_text);
    }
    SUBCASE("an answer that is closed too early") {
        CHECK(check.close() == answer_fault::too_short);
    }
    SUBCASE("an answer that is too long") {
        check.take(chunk("audit@3", token(1) + token(2)));
        CHECK(
            check.take(chunk("audit@3", token(3))) == answer_fault::wrong_text);
    }
    SUBCASE("an event that is no chunk") {
        CHECK(check.take("{}") == answer_fault::malformed);
    }
}

TEST_CASE("a version change in the run shows between answers, never in one") {
    answer_check check(wanted.id, {3, 4}, prompt, 3);
    REQUIRE(check.take(chunk("audit@3", token(0))) == answer_fault::none);
    CHECK(
        check.take(
            chunk("audit@4", expected_token({wanted.id, 4}, prompt, 1))) ==
        answer_fault::wrong_version);
}

TEST_CASE("a plan follows from its seed") {
    load_plan first(short_run());
    load_plan second(short_run());
    std::map<std::string, int> tasks;
    std::uint64_t count = 0;
    while (auto const planned = first.next()) {
        auto const same = second.next();
        REQUIRE(same);
        REQUIRE(same->prompt == planned->prompt);
        REQUIRE(same->wanted == planned->wanted);
        REQUIRE(planned->at < std::chrono::seconds(20));
        // Only keyed requests are repeated: others may run twice.
        REQUIRE((!planned->repeat_after || planned->keyed));
        REQUIRE(planned->keyed == !planned->wanted.idempotent);
        std::string const name = planned->wanted.name.str();
        ++tasks[name.substr(0, name.find("-0"))];
        ++count;
    }
    // 2,000 are expected; four standard deviations are 179.
    CHECK(count > 1'821);
    CHECK(count < 2'179);
    CHECK(tasks["licence-match"] > 480);
    CHECK(tasks["booking"] > 50);
}

TEST_CASE("few adapters are popular") {
    zipf const popularity(1'000, 1.0);
    std::mt19937_64 random(1);
    int top_ten = 0;
    for (int each = 0; each < 10'000; ++each) {
        top_ten += popularity.draw(random) < 10 ? 1 : 0;
    }
    // The first ten of 1,000 have 39% of the weight at exponent 1.
    CHECK(top_ten > 3'700);
    CHECK(top_ten < 4'100);
}

TEST_CASE("written declarations are read as the profiles of the plan") {
    deployment const site = *find_deployment("anthokipos");
    declaration_reader reader;
    for (declaration_file const& each : write_declarations(site, 600, 2)) {
        reader.read(each.name, each.text);
    }
    CHECK(reader.problems().report().empty());
    REQUIRE(reader.profiles().size() == 602);
    profile const expected = make_profile(site, 599, 2);
    auto const found =
        std::ranges::find(reader.profiles(), expected.name, &profile::name);
    REQUIRE(found != reader.profiles().end());
    CHECK(*found == expected);
}

TEST_CASE("what callers were told is held against what endpoints did") {
    request_result result;
    result.number = 5;
    result.task = "booking";
    result.idempotent = false;
    result.to_engine = false;
    result.work = 0xab;
    result.end = seen_end::done;
    std::string const once = R"({"calls":[{"body":"00000000000000ab"}]})";
    record_audit audit;

    SUBCASE("one run of a booking that is told done") {
        REQUIRE(audit.take_service(once));
        audit.check({result});
        CHECK(audit.breaches().empty());
    }
    SUBCASE("a booking that ran on two replicas of the service") {
        REQUIRE(audit.take_service(once));
        REQUIRE(audit.take_service(once));
        audit.check({result});
        CHECK(audit.breaches().size() == 1);
    }
    SUBCASE("told not-run, and it ran") {
        result.end = seen_end::not_run;
        REQUIRE(audit.take_service(once));
        audit.check({result});
        CHECK(audit.breaches().size() == 1);
    }
    SUBCASE("told not-run, but its repeat was told done") {
        result.end = seen_end::not_run;
        result.repeated = true;
        result.repeat_end = seen_end::done;
        REQUIRE(audit.take_service(once));
        audit.check({result});
        CHECK(audit.breaches().empty());
    }
    SUBCASE("told done, and no endpoint ran it") {
        audit.check({result});
        CHECK(audit.breaches().size() == 1);
    }
    SUBCASE("an eviction under a request") {
        REQUIRE(audit.take_engine(
            R"({"runs":[],"evictions_under_request":[{"runs":1}]})"));
        CHECK(audit.breaches().size() == 1);
    }
    SUBCASE("records that cannot be read are no proof") {
        CHECK_FALSE(audit.take_engine("{}"));
        CHECK_FALSE(audit.take_service("{}"));
    }
}

TEST_CASE("a report sums up ends, and probes count apart") {
    load_report report;
    CHECK(report.share_done() == 0);
    request_result result;
    result.task = "scan-lookup";
    result.end = seen_end::done;
    report.add(result);
    result.end = seen_end::not_run;
    report.add(result);
    CHECK(report.share_done() == 0.5);

    SUBCASE("a wrong and a cut answer") {
        result.end = seen_end::wrong;
        report.add(result);
        result.end = seen_end::cut;
        report.add(result);
        CHECK(report.wrong() == 1);
        CHECK(report.cut() == 1);
    }
    SUBCASE("a repeat that is answered with another's answer") {
        result.repeated = true;
        result.repeat_end = seen_end::wrong;
        report.add(result);
        CHECK(report.wrong() == 1);
    }
    SUBCASE("probes") {
        result.probe = true;
        report.add(result);
        CHECK(report.share_done() == 0.5);
        CHECK(report.table().find("probe-node: 1") != std::string::npos);
    }
    SUBCASE("probes that met a stopped node count apart") {
        result.probe = true;
        result.refused_connections = 1;
        report.add(result);
        CHECK(report.table().find("probe-node") == std::string::npos);
        CHECK(report.table().find("probe-refused: 1") != std::string::npos);
    }
}

TEST_CASE("percentiles are nearest ranks") {
    sample_set samples;
    for (int each = 1; each <= 100; ++each) {
        samples.add(std::chrono::microseconds(each));
    }
    CHECK(samples.percentile(0.5).count() == 50);
    CHECK(samples.percentile(0.99).count() == 99);
    CHECK(samples.percentile(1).count() == 100);
    CHECK(sample_set().percentile(0.5).count() == 0);
}

} // namespace camphorpoint
