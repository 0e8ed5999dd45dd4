#include "Telemetry/log_writer.hpp"

#include "Telemetry/event_names.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint {

std::string format_event(log_event const& event, wall_time when) {
    auto const second = std::chrono::floor<std::chrono::seconds>(when);
    std::string detail = event.detail;
    // A detail may quote what a caller sent: without this a line break in it
    // would forge a second log line.
    std::ranges::replace_if(
        detail, [](unsigned char each) { return each < ' '; }, ' ');
    return fmt::format(
        "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}{}{}",
        fmt::gmtime(std::chrono::system_clock::to_time_t(second)),
        (when - second).count(), to_string(event.level),
        static_cast<unsigned>(event.code), to_string(event.code),
        detail.empty() ? "" : " ", detail);
}

void log_writer::write(log_event const& event, wall_time when) {
    if (event.level >= least_) {
        fmt::print(to_, "{}\n", format_event(event, when));
    }
}

} // namespace camphorpoint
