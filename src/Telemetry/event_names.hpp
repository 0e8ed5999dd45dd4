#pragma once

#include "Telemetry/log_event.hpp"

#include <span>
#include <string_view>

namespace camphorpoint {

/// A kind of log event and its name.
struct event_name {
    event_code code;
    std::string_view name;
};

/// @returns every kind of log event, in the order of their numbers
std::span<event_name const> event_names() noexcept;
/// @returns the name of the event, such as node-started; unnamed when the table
/// lacks it
std::string_view to_string(event_code code) noexcept;
/// @returns debug, info, warning or error
std::string_view to_string(log_level level) noexcept;

} // namespace camphorpoint
