#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Ownership/handover_messages.hpp"
#include "Ownership/resource_id.hpp"
#include "Records/log_record.hpp"
#include "Telemetry/log_event.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace camphorpoint {

/// Read the control stream.
struct control_read {
    log_offset from;
};

/// Append to the control stream; answer with owner::on_append_ended.
struct control_append {
    std::uint64_t append = 0;
    std::string data;
};

/// Send a message to a peer; it goes to the peer's owner::on_message.
struct send_ownership_message {
    node_id to;
    ownership_message message;
};

/// This node now decides for the resource. What runs on it is unknown, but for
/// what the table says.
struct ownership_gained {
    resource_id resource;
    log_offset fencing;
    /// When the takeover took effect: idempotency keys first sent before it
    /// may have run under the former owner.
    instant since;
    /// Nothing may be evicted before.
    instant evict_from;
    /// True when the former holder stopped before this node began.
    bool planned = false;
    /// True when nobody ever owned the resource, so that nothing can run.
    bool first = false;
    /// The former holder's table; empty when none was handed over.
    std::string table;
    /// The claim that was in force before; absent when the log shows none.
    std::optional<log_offset> previous;
};

/// This node no longer decides for the resource: drop its queue and table. The
/// asks in it did not run and may be refused with owner_unreachable.
struct ownership_lost {
    resource_id resource;
    log_offset fencing;
    /// Who owns now; empty when nobody does.
    node_id new_owner;
};

/// Stop granting and ordering for the resource; once the last order has ended,
/// answer with owner::handover_ready and the table.
struct handover_requested {
    resource_id resource;
    node_id successor;
};

/// The planned move came to nothing; go on granting.
struct handover_aborted {
    resource_id resource;
};

/// All that ownership can ask for or tell.
using ownership_action = std::variant<
    control_read, control_append, send_ownership_message, ownership_gained,
    ownership_lost, handover_requested, handover_aborted, log_event>;

} // namespace camphorpoint
