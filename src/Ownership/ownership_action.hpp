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

/// Requests a read of the control stream.
struct control_read {
    log_offset from;
};

/// Requests an append to the control stream. The result is reported with
/// ownership_manager::on_append_ended.
struct control_append {
    std::uint64_t append = 0;
    std::string data;
};

/// Requests that a message be sent to a peer, which passes it to
/// ownership_manager::on_message.
struct send_ownership_message {
    node_id to;
    ownership_message message;
};

/// This node now owns the resource. Which requests and adapters are active on
/// the resource is unknown, except for what the table contains.
struct ownership_gained {
    resource_id resource;
    log_offset fencing;
    /// When ownership took effect. Idempotency keys that were first sent before
    /// this time may have been executed under the former owner.
    instant since;
    /// Earliest time at which the node may evict adapters.
    instant evict_from;
    /// True when the former holder stopped before this node's ownership began.
    bool planned = false;
    /// True when the resource never had an owner, so that no request can be
    /// active on it.
    bool first = false;
    /// State of the former holder; empty when none was handed over.
    std::string table;
    /// Fencing number of the previous claim; absent when the log shows none.
    std::optional<log_offset> previous;
};

/// This node no longer owns the resource. The service must discard the queue
/// and state of the resource. Requests in the queue were not executed and may
/// be rejected with owner_unreachable.
struct ownership_lost {
    resource_id resource;
    log_offset fencing;
    /// The present owner; empty when there is none.
    node_id new_owner;
};

/// Requests that the service stop granting slots and sending commands for the
/// resource. Once the last command has completed, the service answers with
/// ownership_manager::handover_ready and its state.
struct handover_requested {
    resource_id resource;
    node_id successor;
};

/// The planned handover was cancelled; the service continues to grant slots.
struct handover_aborted {
    resource_id resource;
};

/// Actions and notifications of the ownership manager.
using ownership_action = std::variant<
    control_read, control_append, send_ownership_message, ownership_gained,
    ownership_lost, handover_requested, handover_aborted, log_event>;

} // namespace camphorpoint
