#pragma once

#include "Core/ids.hpp"

#include <chrono>
#include <cstddef>

namespace camphorpoint {

/// Settings of an entry node's placement.
struct placement_settings {
    /// This node's failure domain.
    domain_id domain;
    /// Replicas considered for an adapter.
    std::size_t max_candidates = 12;
    /// Entry nodes that the callers are spread over evenly. The demand measured
    /// on this node is multiplied by it.
    std::size_t nodes = 1;
    /// Fraction of a batch that requests for one adapter may use before the
    /// adapter is loaded on a further replica.
    double replication_batch_fraction = 0.5;
    /// Replicas stay spare while the demand uses less than this fraction of the
    /// other replicas' batches; 0 uses all replicas. Fewer replicas run fuller
    /// steps, but the adapter slots of spare replicas are unused, so that
    /// adapters are loaded more often.
    double target_batch_utilization = 0;
    /// Half-life of the weight of a reported queue.
    std::chrono::milliseconds queue_half_life{5'000};
    /// Half-life of the weight of a reported residency.
    std::chrono::milliseconds residency_half_life{30'000};
    /// How long a prefix hint is valid.
    std::chrono::milliseconds prefix_hint_lifetime{60'000};
    /// Most prefix hints in memory.
    std::size_t max_prefix_hints = 20'000;
    /// Service time of a request that is assumed until it is measured.
    std::chrono::milliseconds service_time{2'000};
    /// Time of an adapter load that is assumed until it is measured.
    std::chrono::milliseconds load_time{400};
};

} // namespace camphorpoint
