#pragma once

#include "Core/ids.hpp"

#include <chrono>
#include <cstddef>

namespace camphorpoint {

/// What an entry node tells its placement at the start.
struct placement_settings {
    /// This node's failure domain.
    domain_id domain;
    /// Replicas that are looked at for an adapter.
    std::size_t max_candidates = 12;
    /// Entry nodes that share the callers evenly; scales measured demand.
    std::size_t nodes = 1;
    /// Share of a batch that one adapter may fill before it gets a copy.
    double replication_batch_fraction = 0.5;
    /// Replicas are left spare while the demand fills the others' batches less
    /// than this; 0 uses all. Spare replicas' slots lie idle, so that fuller
    /// steps are paid for with more loads.
    double target_batch_utilization = 0;
    /// After this time half of a reply's word on queues counts no more.
    std::chrono::milliseconds queue_half_life{5'000};
    /// After this time half of a reply's word on residency counts no more.
    std::chrono::milliseconds residency_half_life{30'000};
    /// A prefix hint is believed this long.
    std::chrono::milliseconds prefix_hint_lifetime{60'000};
    /// Prefix hints that are kept.
    std::size_t max_prefix_hints = 20'000;
    /// Assumed until measured.
    std::chrono::milliseconds service_time{2'000};
    std::chrono::milliseconds load_time{400};
};

} // namespace camphorpoint
