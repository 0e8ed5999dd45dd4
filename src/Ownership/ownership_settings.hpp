#pragma once

#include "Core/time.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// Timing of ownership. All nodes must run with the same values, because a node
/// that claims a resource computes its wait from the lease that the old holder
/// uses.
struct ownership_settings {
    /// How long a holder may send commands after the start of its last read
    /// that reached the head of the log.
    std::chrono::milliseconds lease{5'000};
    /// How long after that read a holder may grant batch slots for resident
    /// adapters, so that requests for resident adapters are served through an
    /// outage of the log. A successor that took over without a handover evicts
    /// no adapter for the same time.
    std::chrono::milliseconds grant_lease{300'000};
    /// True when all engines refuse to evict an adapter that a running request
    /// uses. A new owner then need not wait out grant_lease before it evicts,
    /// and entry nodes may send requests without a grant while an outage of the
    /// log prevents the replacement of a failed owner.
    bool engines_refuse_busy_evictions = false;
    /// Largest difference in rate between the monotonic clocks of two nodes, in
    /// parts per million.
    std::uint32_t clock_rate_error{1'000};
    /// Longest time for which a command or a granted request can still be in
    /// transit after the authority of its sender has ended.
    std::chrono::milliseconds command_transit{1'000};
    /// Largest time by which reads of the log may lag behind its head.
    std::chrono::milliseconds read_lag{500};
    /// Interval between reads of the control stream.
    std::chrono::milliseconds poll{500};
    /// How long the log retains a record. Claims are renewed well before.
    std::chrono::milliseconds retention{3'600'000};
    /// Additional delay per rank before a node claims a resource without an
    /// owner: the node that ranks first claims at once, each further node this
    /// much later than the one before it.
    std::chrono::milliseconds rank_delay{3'000};
    /// A node counts as alive for this long after one of its records was read
    /// from the log, even if the membership probes report it as failed.
    std::chrono::milliseconds log_liveness_window{15'000};
    /// How long an append may remain unanswered before it counts as lost.
    std::chrono::milliseconds append_limit{5'000};
    /// Minimum interval between two handovers that this node starts for
    /// rebalancing.
    std::chrono::milliseconds rebalance{10'000};
    /// How long the service of a holder may take to stop before the handover is
    /// abandoned.
    std::chrono::milliseconds stop_limit{10'000};
    /// How long a successor may take to accept the state.
    std::chrono::milliseconds accept_limit{2'000};

    /// @returns how long a node that claimed a resource waits before it acts,
    /// on its own clock, from the time when it learned that its claim is in the
    /// log
    duration claim_wait() const noexcept;
    /// @returns how long after the same time the node evicts no adapter
    duration evict_wait() const noexcept;
};

} // namespace camphorpoint
