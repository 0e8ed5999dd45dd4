#pragma once

#include "Keys/key_messages.hpp"
#include "Scheduling/grant_messages.hpp"

#include <variant>

namespace camphorpoint {

/// All that nodes say to each other over TCP. Each module defines its messages
/// in its own folder; order matters on the wire.
using peer_message = std::variant<
    grant_ask, grant_given, grant_refused, grant_withdrawn, grant_released,
    grant_heartbeat, key_ask, key_reply, key_finished, key_noted, key_heartbeat,
    key_handover>;

} // namespace camphorpoint
