#pragma once

<<<<<<< HEAD
#include "Ownership/handover_messages.hpp"
=======
#include "Config/config_messages.hpp"
>>>>>>> main
#include "Scheduling/grant_messages.hpp"

#include <variant>

namespace camphorpoint {

/// All that nodes say to each other over TCP. Each module defines its messages
/// in its own folder; order matters on the wire.
using peer_message = std::variant<
    grant_ask, grant_given, grant_refused, grant_withdrawn, grant_released,
<<<<<<< HEAD
    grant_heartbeat, handover_offer, handover_accepted, holder_stopped>;
=======
    grant_heartbeat, config_ask, config_records, config_state>;
>>>>>>> main

} // namespace camphorpoint
