#pragma once

#include "Core/decayed_rate.hpp"
#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Placement/endpoint_table.hpp"
#include "Placement/placement_endpoint.hpp"
#include "Placement/placement_policy.hpp"
#include "Placement/placement_settings.hpp"
#include "Placement/prefix_hints.hpp"
#include "Scheduling/grant_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// An engine's notice about its prefix cache; late, and with gaps.
struct prefix_cache_event {
    endpoint_id endpoint;
    std::uint64_t prefix_hash = 0;
    /// False when the prefix was dropped.
    bool stored = true;
    /// How old the notice is.
    duration age{};
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
    void on_served(duration service_time);

private:
    /// What a reply said of an adapter's residency on a replica.
    struct residency_hint {
        internal::endpoint_index endpoint = 0;
        bool resident = false;
        instant reported_at;
    };
    /// Hints and demand of one adapter in one version.
    struct adapter_entry {
        std::uint64_t generation = 0;
        std::vector<internal::endpoint_index> candidates;
        std::vector<residency_hint> hints;
        decayed_rate request_rate{std::chrono::seconds(20)};
        instant last_use;
    };

    /// Demand of one base model, and what was made of it last.
    struct model_demand {
        decayed_rate request_rate{std::chrono::seconds(30)};
        std::size_t needed = 0;
        /// When it was first asked for.
        instant first_request_at;
        /// When fewer replicas were needed last.
        instant last_change_at;
    };

    adapter_entry& find_or_create_entry(
        adapter_ref const& adapter, model_id const& model, instant now);
    std::size_t
    target_replica_count(adapter_entry const& entry, instant now) const;
    /// Replicas that the model's demand fills, of those that are usable.
    std::size_t needed_replicas(model_id const& model, instant now);
    /// @param at   place in the adapter's candidates
    /// @param rank place among those that are not spare
    placement_candidate make_candidate(
        adapter_entry const& entry, std::size_t candidate_index,
        std::size_t rank, endpoint_id const* prefix_replica, instant now) const;
    double
    batch_utilization(internal::known_endpoint const& each, instant now) const;
    duration
    decayed_wait(internal::known_endpoint const& each, instant now) const;
    double residency(
        adapter_entry const& entry, std::size_t candidate_index,
        std::size_t rank, instant now) const;
    void evict_idle_adapters(instant now);

    placement_settings settings_;
    internal::endpoint_table endpoints_;
    internal::prefix_hints prefixes_;
    std::unordered_map<adapter_ref, adapter_entry> adapters_;
    std::map<model_id, model_demand> model_demands_;
    duration service_time_;
    /// In seconds, over many requests.
    double mean_service_seconds_;
    double served_count_ = 0;
    /// Requests, and choices made for them.
    decayed_rate request_rate_{std::chrono::seconds(30)};
    decayed_rate choice_rate_{std::chrono::seconds(30)};
    /// Of the largest replica.
    double max_batch_limit_ = 1;
    /// Wait for a load, by the replies of all replicas.
    duration load_time_;
    instant last_eviction_at_;
    Policy policy_;
};

} // namespace camphorpoint

#include "Placement/placement_impl.hpp"
