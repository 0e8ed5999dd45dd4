#pragma once

#include "Core/time.hpp"
#include "Telemetry/log_event.hpp"

#include <cstdio>
#include <string>

namespace camphorpoint {

/// @param event what happened
/// @param when  the calendar time, written in UTC with milliseconds
/// @returns time, level, number, name and detail in one line without its end
std::string format_event(log_event const& event, wall_time when);

/// Writes log events to a stream, one line each.
class log_writer {
public:
    /// @param to    where lines go; not closed by the writer
    /// @param least events below this level are left out
    explicit log_writer(
        std::FILE* to = stderr, log_level least = log_level::info)
        : to_(to)
        , least_(least) {}

    /// Writes one event.
    void write(log_event const& event, wall_time when);

private:
    std::FILE* to_;
    log_level least_;
};

} // namespace camphorpoint
