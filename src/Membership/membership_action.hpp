#pragma once

#include "Core/ids.hpp"
#include "Membership/probe_message.hpp"
#include "Telemetry/log_event.hpp"

#include <string>
#include <variant>

namespace camphorpoint {

/// Asks the caller to send a datagram to a node's peer address.
struct send_probe {
    node_id to;
    std::string address;
    probe_message message;
};

/// Any action that membership asks its caller to perform.
using membership_action = std::variant<send_probe, log_event>;

} // namespace camphorpoint
