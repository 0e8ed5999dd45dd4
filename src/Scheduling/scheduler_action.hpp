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

/// Answer an ask: it may run.
struct reply_grant {
    node_id to;
    grant_issued message;
};

/// Answer an ask: it may not run here, and did not.
struct reply_refusal {
    node_id to;
    grant_refused message;
};

/// Ask the weight store's owner for a load, or repeat the ask.
struct send_load_request {
    load_request message;
};

/// Take the ask back.
struct send_load_cancelled {
    load_cancelled message;
};

/// Tell the weight store's owner that a permission is used up.
struct send_load_result {
    load_result message;
};

/// How long a request waited before its grant, split by cause.
struct observed_wait {
    request_id request;
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    /// Time for which the adapter was resident and the batch was full.
    duration queueing{};
    /// Time for which the adapter was not resident.
    duration load_stall{};
};

/// Why an adapter was ordered in or out, for counters.
struct observed_command {
    engine_order_kind kind = engine_order_kind::load;
    /// True for a load ahead of demand.
    bool prefetch = false;
};

/// What a replica_scheduler asks for.
using scheduler_action = std::variant<
    reply_grant, reply_refusal, engine_order, send_load_request,
    send_load_cancelled, send_load_result, observed_wait, observed_command,
    log_event>;

} // namespace camphorpoint
