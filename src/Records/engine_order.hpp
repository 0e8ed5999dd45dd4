#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <vector>

namespace camphorpoint {

/// What an engine is told to do.
enum class engine_order_kind : std::uint8_t { load, evict };

/// An order to an engine. It bears the fencing number of the owner that gives
/// it: the log offset of the owner's claim.
struct engine_order {
    /// Chosen by the node, unique within its run.
    std::uint64_t number = 0;
    endpoint_id replica;
    engine_order_kind kind = engine_order_kind::load;
    adapter_ref adapter;
    log_offset fencing;
    /// The owner's authority ends here: past it the order must not be sent, and
    /// a connection that still carries it is closed.
    instant not_after;
};

/// How an order ended.
enum class order_result : std::uint8_t {
    done,
    /// The engine tried and failed, as when a load fails.
    failed,
    /// A newer owner's fencing number was seen: this node no longer owns.
    refused_fencing,
    /// The adapter was in use (evict) or no slot was free (load).
    refused_busy,
    /// Nothing was sent.
    not_sent,
    /// It may have taken effect.
    lost
};

/// What an engine publishes about itself; it lags behind the truth.
struct engine_report {
    endpoint_id replica;
    /// Grows by one with each restart of the engine.
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<adapter_ref> resident;
    std::vector<adapter_ref> loading;
    /// Adapters that a running request uses.
    std::vector<adapter_ref> in_use;
    /// How old the figures are at most when the node receives them.
    duration age{};
};

} // namespace camphorpoint
