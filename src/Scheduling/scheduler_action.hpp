#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Loading/load_messages.hpp"
#include "Records/engine_order.hpp"
#include "Scheduling/grant_messages.hpp"
#include "Telemetry/log_event.hpp"

#include <cstdint>
#include <variant>

namespace camphorpoint {

/// Sends a grant to an entry node.
struct reply_grant {
    node_id to;
    grant_issued message;
};

/// Sends a refusal to an entry node. The request has not run here.
struct reply_refusal {
    node_id to;
    grant_refused message;
};

/// Sends a load request, or repeats it, to the owner of the weight store.
struct send_load_request {
    load_request message;
};

/// Cancels a load request at the owner of the weight store.
struct send_load_cancelled {
    load_cancelled message;
};

/// Reports to the owner of the weight store the result of a permitted load, or
/// that the permission is returned unused.
struct send_load_result {
    load_result message;
};

/// The time that a request waited for its grant, by cause.
struct observed_wait {
    request_id request;
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    /// Time during which the adapter was resident and the batch was full.
    duration queueing{};
    /// Time during which the adapter was not resident.
    duration load_stall{};
};

/// A load or evict command that was sent, for counters.
struct observed_command {
    engine_order_kind kind = engine_order_kind::load;
    /// True for a load that no queued request waits for.
    bool prefetch = false;
};

/// An action that a replica_scheduler requests from its environment.
using scheduler_action = std::variant<
    reply_grant, reply_refusal, engine_order, send_load_request,
    send_load_cancelled, send_load_result, observed_wait, observed_command,
    log_event>;

} // namespace camphorpoint
