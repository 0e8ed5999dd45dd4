#pragma once

#include "Config/config_messages.hpp"
#include "Delivery/quarantine_messages.hpp"
#include "Keys/key_messages.hpp"
#include "Loading/load_messages.hpp"
#include "Ownership/handover_messages.hpp"
#include "Scheduling/grant_messages.hpp"

#include <variant>

namespace camphorpoint {

/// All messages that nodes send each other over TCP. Each module defines its
/// messages in its own folder. The order of the alternatives is part of the
/// wire format.
using peer_message = std::variant<
    grant_request, grant_issued, grant_refused, grant_cancelled, grant_released,
    grant_heartbeat, handover_offer, handover_accepted, holder_stopped,
    config_ask, config_records, config_state, key_permission_request, key_reply,
    key_completion, key_completion_ack, key_heartbeat, key_handover,
    load_request, load_allowed, load_denied, load_result, load_cancelled,
    replica_crash_message, request_success_message, quarantine_message,
    quarantine_sync_request, part_crash_message, part_inquiry_message,
    part_output_message>;

} // namespace camphorpoint
