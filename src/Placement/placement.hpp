#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Placement/placement_policy.hpp"
#include "Scheduling/grant_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace camphorpoint {

/// What placement knows of a replica, from the membership.
struct placement_endpoint {
    endpoint_id id;
    model_id model;
    domain_id domain;
    std::uint32_t batch_limit = 16;
    std::uint32_t adapter_slots = 8;
    /// False while it is leaving or suspected: it gets nothing new.
    bool usable = true;

    friend bool
    operator==(placement_endpoint const&, placement_endpoint const&) = default;
};

/// An engine's notice about its prefix cache; late, and with gaps.
struct prefix_cache_event {
    endpoint_id endpoint;
    std::uint64_t prefix_hash = 0;
    /// False when the prefix was dropped.
    bool stored = true;
    /// How old the notice is.
    duration age{};
};

/// What an entry node tells its placement at the start.
struct placement_settings {
    /// This node's failure domain.
    domain_id domain;
    /// Replicas that are looked at for an adapter.
    std::size_t candidates = 6;
    /// Entry nodes that share the callers evenly; scales measured demand.
    std::size_t nodes = 1;
    /// Share of a batch that one adapter may fill before it gets a copy.
    double share_per_copy = 0.5;
    /// After this time half of a reply's word on queues counts no more.
    std::chrono::milliseconds queue_memory{1'000};
    /// After this time half of a reply's word on residency counts no more.
    std::chrono::milliseconds residency_memory{30'000};
    /// A prefix hint is believed this long.
    std::chrono::milliseconds prefix_memory{60'000};
    /// Prefix hints that are kept.
    std::size_t prefix_limit = 20'000;
    /// Assumed until measured.
    std::chrono::milliseconds service_time{2'000};
    std::chrono::milliseconds load_time{400};
};

/// Chooses, at an entry node, the replica that a request is asked for at.
/// @tparam Policy weighs the candidates
template <placement_policy Policy = least_expected_wait>
class placement {
public:
    explicit placement(placement_settings const& settings);

    /// The whole membership; call it only when something changed.
    void set_endpoints(std::vector<placement_endpoint> const& endpoints);
    /// How many entry nodes share the callers.
    void set_nodes(std::size_t nodes);
    /// @param excluded replicas that this request was refused by
    /// @returns the best replica, or nothing when none is usable
    std::optional<endpoint_id> choose(
        adapter_ref const& adapter, model_id const& model, urgency how_urgent,
        std::uint64_t prefix_hash, std::vector<endpoint_id> const& excluded,
        instant now);
    /// What an owner's reply said of its replica and the adapter.
    void on_feedback(
        endpoint_id const& endpoint, adapter_ref const& adapter,
        replica_feedback const& feedback, instant now);
    void on_cache_event(prefix_cache_event const& event, instant now);
    /// A caller asked for the adapter; once for each request, not each attempt.
    void on_demand(adapter_ref const& adapter, instant now);
    /// How long a request ran, from sending to its end.
    void on_served(duration took);

private:
    placement_settings settings_;
};

} // namespace camphorpoint
