#include "Telemetry/event_names.hpp"

#include <algorithm>
#include <array>

namespace camphorpoint {

namespace {

constexpr std::array names{
    event_name{event_code::node_started, "node-started"},
    event_name{event_code::node_ready, "node-ready"},
    event_name{event_code::node_draining, "node-draining"},
    event_name{event_code::node_stopped, "node-stopped"},
};

} // namespace

std::span<event_name const> event_names() noexcept {
    return names;
}

std::string_view to_string(event_code code) noexcept {
    auto const found = std::ranges::find(names, code, &event_name::code);
    return found == names.end() ? "unnamed" : found->name;
}

std::string_view to_string(log_level level) noexcept {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

} // namespace camphorpoint
