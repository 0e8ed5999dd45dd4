#include <Camphorpoint/Settings>

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <fstream>
#include <iterator>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

std::string const good_node = R"([node]
name = "n1"
failure_domain = "graz-a"
caller_address = "127.0.0.1:8001"
operator_address = "127.0.0.1:8101"
peer_address = "127.0.0.1:8201"
)";
std::string const good_platform = R"([platform]
log_address = "127.0.0.1:7001"
instance_list_address = "127.0.0.1:7002"
)";

/// @returns the report of all findings
std::string read(std::string const& text, node_settings* result = nullptr) {
    findings problems;
    node_settings const settings = read_node_settings("n.toml", text, problems);
    if (result != nullptr) {
        *result = settings;
    }
    return problems.report();
}

bool has(std::string const& text, std::string const& part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("a node's settings are read") {
    node_settings settings;

    SUBCASE("what is not named has its default") {
        CHECK(read(good_node + good_platform, &settings).empty());
        CHECK(settings.peer_address.port == 8201);
        CHECK(settings.ownership.lease == std::chrono::seconds(5));
    }

    SUBCASE("each section reaches its module") {
        std::string const rest = R"([limits]
most_requests = 7
[ownership]
lease = "9s"
engines_refuse_busy_evictions = true
[configuration]
when_stale = "serve"
[keys]
retention = "2h"
[membership]
period = "2s"
)";
        CHECK(read(good_node + good_platform + rest, &settings).empty());
        CHECK(settings.requests.max_requests == 7);
        CHECK(settings.ownership.lease == std::chrono::seconds(9));
        CHECK(settings.ownership.engines_refuse_busy_evictions);
        CHECK(settings.configuration.when_stale == staleness_policy::serve);
        CHECK(settings.keys.retention == std::chrono::hours(2));
        CHECK(settings.members.probe_period == std::chrono::seconds(2));
    }

    SUBCASE("everything that is wrong is found at once") {
        std::string const report =
            read(good_node + "colour = 1\n" + good_platform + R"([limits]
most_requests = "many"
[ownership]
lease = 5
poll = "1h"
[configuration]
when_stale = "sometimes"
[membership]
period = "5 days"
[shelf]
)");
        CHECK(has(report, "n.toml:7: node.colour: is not a known key"));
        CHECK(has(report, "limits.most_requests: must be a whole number"));
        CHECK(has(report, "ownership.lease: must be a time with its unit"));
        CHECK(has(report, "ownership.poll: must be from 10ms to 60000ms"));
        CHECK(has(report, "configuration.when_stale: must be serve,"));
        CHECK(has(report, "membership.period: must be a time in ms"));
        CHECK(has(report, "shelf: is not a known key"));
    }

    SUBCASE("addresses must not clash") {
        std::string text = good_node + good_platform;
        std::string what;
        SUBCASE("with each other") {
            text.replace(text.find("8201"), 4, "8001");
            what = "node.peer_address: clashes with the caller_address";
        }
        SUBCASE("through all addresses of the host") {
            text.replace(text.find("127.0.0.1:8201"), 14, "0.0.0.0:8101");
            what = "node.peer_address: clashes with the operator_address";
        }
        SUBCASE("with the platform's") {
            text.replace(text.find("7001"), 4, "8001");
            what = "platform.log_address: clashes with the caller_address";
        }
        CHECK(has(read(text), what));
    }

    // A lease that lapses between two reads: the node would own everything and
    // give no order.
    SUBCASE("values that don't go together are found") {
        std::string const report = read(
            good_node + good_platform +
            "[ownership]\nlease = \"500ms\"\npoll = \"400ms\"\n");
        CHECK(has(report, "ownership.lease: must be at least twice"));
    }
}

// Guards against a node that does not start because a time of its settings is
// a fraction.
TEST_CASE("times are decimal numbers with a unit") {
    auto const with_close_wait = [](std::string const& text) {
        return fmt::format(
            "{}{}[limits]\nclose_wait = \"{}\"\n", good_node, good_platform,
            text);
    };
    auto const close_wait = [&](std::string const& text) {
        node_settings settings;
        CHECK(read(with_close_wait(text), &settings) == "");
        return settings.requests.close_timeout;
    };

    SUBCASE("whole numbers and fractions have every unit") {
        CHECK(close_wait("7s") == milliseconds(7'000));
        CHECK(close_wait("7.5s") == milliseconds(7'500));
        CHECK(close_wait("250.0ms") == milliseconds(250));
        CHECK(close_wait("0.25min") == milliseconds(15'000));
        CHECK(close_wait("0.01h") == milliseconds(36'000));
    }
    SUBCASE("they are rounded to a millisecond") {
        CHECK(close_wait("7.4ms") == milliseconds(7));
        CHECK(close_wait("7.5ms") == milliseconds(8));
        CHECK(close_wait("1.0004s") == milliseconds(1'000));
        CHECK(
            close_wait("1.00000000000000000000000000009s") ==
            milliseconds(1'000));
        CHECK(
            close_wait("3.333333333333333333333min") == milliseconds(200'000));
    }
    SUBCASE("nothing else is a time") {
        for (std::string const text :
             {"", "s", ".5s", "5.s", "5", "5.5", "-1s", "+1s", "1e3s", "1,5s",
              "1.5.5s", "5 s", "0x5s", "nans", "infs", "9999999999s"}) {
            INFO(text);
            CHECK(
                has(read(with_close_wait(text)),
                    "limits.close_wait: must be a time in ms"));
        }
    }
}

TEST_CASE("docs/SETTINGS.md lists the settings as the code has them") {
    std::ifstream stream(
        std::string(CAMPHORPOINT_SOURCE_DIR) + "/docs/SETTINGS.md");
    std::string const text(std::istreambuf_iterator<char>(stream), {});
    std::size_t const begin = text.find("\n## [node]");
    REQUIRE(begin != std::string::npos);
    CHECK(text.substr(begin) == settings_reference());
}

} // namespace camphorpoint
