#include <Camphorpoint/Telemetry>

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <regex>
#include <string>
#include <vector>

namespace camphorpoint {

namespace {

struct numbered_name {
    std::string number;
    std::string name;
    friend auto
    operator<=>(numbered_name const&, numbered_name const&) = default;
};

std::string read_file(std::string const& name) {
    std::ifstream stream(std::string(CAMPHORPOINT_SOURCE_DIR) + "/" + name);
    return {std::istreambuf_iterator<char>(stream), {}};
}

std::vector<numbered_name>
matches(std::string const& text, std::regex const& row, int number, int name) {
    std::vector<numbered_name> found;
    for (std::sregex_iterator it(text.begin(), text.end(), row), end; it != end;
         ++it) {
        std::string kebab = it->str(name);
        std::ranges::replace(kebab, '_', '-');
        found.push_back({it->str(number), kebab});
    }
    std::ranges::sort(found);
    return found;
}

std::string listed(std::vector<numbered_name> const& all) {
    std::string text;
    for (numbered_name const& each : all) {
        text += each.number + " " + each.name + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("log events are numbered, named and catalogued") {
    auto const declared = matches(
        read_file("src/Telemetry/log_event.hpp"),
        std::regex("\n    ([a-z_]+) = ([0-9]+)"), 2, 1);
    REQUIRE_FALSE(declared.empty());

    SUBCASE("the catalogue lists exactly the events of the code") {
        auto const catalogued = matches(
            read_file("docs/EVENTS.md"),
            std::regex(R"(\n\| ([0-9]+) \| ([a-z-]+) \|)"), 1, 2);
        CHECK(listed(catalogued) == listed(declared));
    }

    SUBCASE("the table of names has exactly the events of the code") {
        std::vector<numbered_name> named;
        for (event_name const& each : event_names()) {
            named.push_back(
                {std::to_string(static_cast<unsigned>(each.code)),
                 std::string(each.name)});
        }
        std::ranges::sort(named);
        CHECK(listed(named) == listed(declared));
    }
}

TEST_CASE("a log line bears time, level, number, name and detail") {
    wall_time const when{std::chrono::milliseconds(1'500)};
    log_event event{event_code::node_started, log_level::info, "node=n1"};
    CHECK(
        format_event(event, when) ==
        "1970-01-01T00:00:01.500Z info 101 node-started node=n1");

    // A caller puts a line break into a profile's name. The operator would see
    // a log line that no node wrote.
    SUBCASE("a line break in the detail doesn't start a second line") {
        event.detail = "profile=x\n1970-01-01 forged";
        CHECK(format_event(event, when).find('\n') == std::string::npos);
    }
}

} // namespace camphorpoint
