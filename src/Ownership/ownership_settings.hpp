#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// Times and limits of ownership. All nodes must run with the same values:
/// a claimer's wait is computed from the lease that the old holder keeps.
struct ownership_settings {
    /// How long a holder may give orders after the start of its last read that
    /// reached the log's head.
    std::chrono::milliseconds lease{5'000};
    /// How long a holder may still grant batch slots for resident adapters
    /// after that read, so that residents are served through a log outage. A
    /// successor that took over without a handover evicts nothing for as long.
    std::chrono::milliseconds grant_lease{300'000};
    /// True when all engines refuse to evict an adapter that a running request
    /// uses. Then no such wait is needed, and entry nodes may send without a
    /// grant while a log outage keeps a dead owner from being replaced.
    bool engines_refuse_busy_evictions = false;
    /// How much two nodes' monotonic clocks may differ in rate, in millionths.
    std::uint32_t clock_rate_error{1'000};
    /// The longest time for which an order or a granted request can still be
    /// under way after its sender's authority has ended.
    std::chrono::milliseconds command_transit{1'000};
    /// How far the log's reads may lag behind its head.
    std::chrono::milliseconds read_lag{500};
    /// How often the control stream is read.
    std::chrono::milliseconds poll{500};
    /// How long the log keeps a record. Claims are renewed well before.
    std::chrono::milliseconds retention{3'600'000};
    /// How much later each further node in the ranking claims what the nodes
    /// before it left ownerless.
    std::chrono::milliseconds rank_delay{3'000};
    /// A node whose record was read this recently is alive, whatever the
    /// probes say.
    std::chrono::milliseconds log_liveness_window{15'000};
    /// How long an append may stay without an answer before it counts as lost.
    std::chrono::milliseconds append_limit{5'000};
    /// Shortest time between two planned moves of this node's resources.
    std::chrono::milliseconds rebalance{10'000};
    /// How long a holder has to stop before a handover is given up.
    std::chrono::milliseconds stop_limit{10'000};
    /// How long a successor has to accept a table.
    std::chrono::milliseconds accept_limit{2'000};

    /// @returns how long a claimer waits, by its own clock, from when it
    /// learned that its claim stands in the log
    duration claim_wait() const noexcept;
    /// @returns how long after the same instant it evicts nothing
    duration evict_wait() const noexcept;
};

} // namespace camphorpoint
