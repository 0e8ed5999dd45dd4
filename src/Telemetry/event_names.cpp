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
    event_name{event_code::ownership_gained, "ownership-gained"},
    event_name{event_code::ownership_lost, "ownership-lost"},
    event_name{event_code::authority_lapsed, "authority-lapsed"},
    event_name{event_code::authority_regained, "authority-regained"},
    event_name{event_code::claim_appended, "claim-appended"},
    event_name{event_code::control_record_broken, "control-record-broken"},
    event_name{event_code::control_log_trimmed, "control-log-trimmed"},
    event_name{event_code::handover_given_up, "handover-given-up"},
    event_name{event_code::node_suspected, "node-suspected"},
    event_name{event_code::node_declared_dead, "node-declared-dead"},
    event_name{event_code::node_returned, "node-returned"},
    event_name{event_code::node_leaving, "node-leaving"},
    event_name{event_code::endpoint_leaving, "endpoint-leaving"},
    event_name{event_code::suspicion_refuted, "suspicion-refuted"},
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
