#pragma once

#include "Core/ids.hpp"
#include "Membership/probe_message.hpp"
#include "Telemetry/log_event.hpp"

#include <string>
#include <variant>

namespace camphorpoint {

/// Send a datagram to a node's peer address.
struct send_probe {
    node_id to;
    std::string address;
    probe_message message;
};

/// All that membership can ask for or tell.
using membership_action = std::variant<send_probe, log_event>;

} // namespace camphorpoint
