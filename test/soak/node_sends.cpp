#include "test/soak/node_sends.hpp"

#include "test/soak/ledger.hpp"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <optional>
#include <string_view>

namespace camphorpoint::soak {

namespace {

/// @returns the text of a field of a log line, empty for none
std::string field_of(std::string const& line, std::string_view name) {
    std::string const start = "\"" + std::string(name) + "\":\"";
    std::size_t const at = line.find(start);
    if (at == std::string::npos) {
        return {};
    }
    std::size_t const first = at + start.size();
    return line.substr(first, line.find('"', first) - first);
}

/// @returns when a line was logged, nothing when it bears no time
std::optional<instant> time_of(std::string const& line) {
    absl::Time when;
    std::string error;
    if (!absl::ParseTime(
            absl::RFC3339_full, field_of(line, "time"), &when, &error)) {
        return std::nullopt;
    }
    auto const ago = absl::ToChronoMilliseconds(absl::Now() - when);
    return boot_clock::now() - ago;
}

} // namespace

void read_sends(std::string const& log, node_sends& sends) {
    constexpr std::string_view sent = R"("name":"request-sent")";
    std::ifstream lines(log);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.find(sent) == std::string::npos) {
            continue;
        }
        if (auto const when = time_of(line)) {
            sends[{field_of(line, "id"), field_of(line, "replica")}].push_back(
                *when);
        }
    }
}

void apply_sends(node_sends const& sends, run_records& records) {
    for (auto& [name, run] : records.runs) {
        std::string const replica = name.substr(0, name.find('.'));
        auto const at = sends.find({run.request, replica});
        if (at == sends.end()) {
            continue;
        }
        // The last send before the run; the times of both are rounded.
        constexpr std::chrono::milliseconds rounding{5};
        instant last = instant::min();
        for (instant const each : at->second) {
            last = each <= run.sent + rounding ? std::max(last, each) : last;
        }
        run.sent = last == instant::min() ? run.sent : std::min(last, run.sent);
    }
}

} // namespace camphorpoint::soak
