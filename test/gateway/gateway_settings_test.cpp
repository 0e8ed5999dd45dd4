#include "Gateway/gateway_settings.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <string>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The figures that the platform fills in.
struct figures {
    std::string stop_limit = "8";
    std::string drain = "1000";
    std::string heartbeat = "500";
    std::string ratio = "0.2";
    std::string slack = "10";
    std::string window = "10";
    std::string fences_checked = "true";
};

std::string text_of(figures const& from) {
    return fmt::format(
        R"([gateway]
name = "n1"
failure_domain = "z"
caller_address = "127.0.0.1:8001"
readiness_address = "127.0.0.1:8002"
peer_address = "127.0.0.1:8003"
metrics_address = "127.0.0.1:8004"
stop_limit = "{}s"
[store]
address = "127.0.0.1:8005"
leaving_serves = "{}ms"
replica_heartbeat = "{}ms"
[second_sends]
ratio = "{}"
slack = "{}"
window = "{}s"
[leases]
lease = "2s"
fences_checked = {}
)",
        from.stop_limit, from.drain, from.heartbeat, from.ratio, from.slack,
        from.window, from.fences_checked);
}

struct settings_and_report {
    gateway_settings settings;
    std::string report;
};

settings_and_report read(figures const& from) {
    findings problems;
    auto settings = read_gateway_settings("n.toml", text_of(from), problems);
    return {std::move(settings), problems.report()};
}

} // namespace

// Guards against a node that does not start, or takes other figures, since a
// figure that its platform fills in is a fraction.
TEST_CASE("the figures of the platform may be fractions") {
    figures from;
    SUBCASE("whole numbers") {
        auto const [settings, report] = read(from);
        CHECK(report == "");
        CHECK(settings.stop_limit == seconds(8));
        CHECK(settings.resends.window == seconds(10));
    }
    SUBCASE("fractions") {
        from = {"7.5", "999.9", "433.3", "0.25", "10.5", "7.5", "false"};
        auto const [settings, report] = read(from);
        CHECK(report == "");
        CHECK(settings.stop_limit == milliseconds(7'500));
        CHECK(settings.registry_poll_interval == milliseconds(333));
        CHECK(settings.replica_heartbeat == milliseconds(433));
        CHECK(settings.resends.slack == 10.5);
        // A shorter window would allow the slack more often.
        CHECK(settings.resends.window == seconds(8));
    }
    SUBCASE("a ratio that is not a number is found") {
        from.ratio = "nan";
        CHECK(read(from).report.find("second_sends.ratio") < std::string::npos);
    }
}

// Guards against nodes of which none starts again because of a figure.
TEST_CASE("a figure that can't be read is replaced by its default") {
    figures from;
    findings problems;
    findings replaced;
    SUBCASE("where the default is safe") {
        from = {"soon", "-1", "1e9", "much", "true", "99999999999", "true"};
        gateway_settings const settings =
            read_gateway_settings("n.toml", text_of(from), problems, replaced);
        CHECK(problems.empty());
        CHECK(replaced.all().size() == 6);
        gateway_settings const defaults;
        CHECK(settings.stop_limit == defaults.stop_limit);
        CHECK(settings.resends.ratio == defaults.resends.ratio);
        CHECK(settings.resends.window == defaults.resends.window);
    }
    SUBCASE("where it is a key that no version knows") {
        read_gateway_settings(
            "n.toml", text_of(from) + "[more]\nkey = 1\n", problems, replaced);
        CHECK(problems.empty());
        CHECK(replaced.all().size() == 1);
    }
    SUBCASE("but not where nodes must agree") {
        from.fences_checked = "7";
        read_gateway_settings("n.toml", text_of(from), problems, replaced);
        CHECK_FALSE(problems.empty());
    }
    SUBCASE("but not where there is no default") {
        read_gateway_settings("n.toml", "[gateway]\n", problems, replaced);
        CHECK_FALSE(problems.empty());
    }
    SUBCASE("but not in a file that is no TOML") {
        read_gateway_settings(
            "n.toml", text_of(from) + "[", problems, replaced);
        CHECK_FALSE(problems.empty());
    }
}

} // namespace camphorpoint
