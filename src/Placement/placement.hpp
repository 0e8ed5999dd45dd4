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

/// An engine's notification about its prefix cache. Notifications are delayed,
/// and some are lost.
struct prefix_cache_event {
    endpoint_id endpoint;
    std::uint64_t prefix_hash = 0;
    /// True when the prefix was stored, false when it was evicted.
    bool stored = true;
    /// Age of the notification.
    duration age{};
};

/// Chooses, on an entry node, the replica that a request is sent to.
/// @tparam Policy computes the cost of each candidate
template <placement_policy Policy = least_expected_wait>
class placement {
public:
    explicit placement(placement_settings const& settings);

    /// Replaces the full list of replicas. To be called only after a change,
    /// since each call processes the full list.
    void set_endpoints(std::vector<placement_endpoint> const& endpoints);
    /// Sets the number of entry nodes that the callers are spread over.
    void set_nodes(std::size_t nodes);
    /// Chooses a replica for a request.
    /// @param prefix_hash hash of the prompt's prefix; 0 when there is none
    /// @param excluded    replicas that have refused this request
    /// @returns the replica with the lowest cost; empty when none is usable
    std::optional<endpoint_id> choose(
        adapter_ref const& adapter, model_id const& model, urgency how_urgent,
        std::uint64_t prefix_hash, std::vector<endpoint_id> const& excluded,
        instant now);
    /// Processes the feedback in a reply of the replica's owner about the
    /// replica and the adapter.
    void on_feedback(
        endpoint_id const& endpoint, adapter_ref const& adapter,
        replica_feedback const& feedback, instant now);
    void on_cache_event(prefix_cache_event const& event, instant now);
    /// Counts a request for the adapter, once per request and not per attempt.
    void on_demand(adapter_ref const& adapter, instant now);
    /// Records the service time of a request, from sending to completion.
    void on_served(duration service_time);

private:
    /// Whether an adapter was resident on a replica, by the owner's last reply.
    struct residency_hint {
        internal::endpoint_index endpoint = 0;
        bool resident = false;
        instant reported_at;
    };
    /// Candidates, residency hints and demand of one version of an adapter.
    struct adapter_entry {
        std::uint64_t generation = 0;
        std::vector<internal::endpoint_index> candidates;
        std::vector<residency_hint> hints;
        decayed_rate request_rate{std::chrono::seconds(20)};
        instant last_use;
    };

    /// Demand for one base model, and the number of replicas it needs.
    struct model_demand {
        decayed_rate request_rate{std::chrono::seconds(30)};
        std::size_t needed = 0;
        /// When the model was first requested.
        instant first_request_at;
        /// When the measured demand last changed `needed`.
        instant last_change_at;
    };

    adapter_entry& find_or_create_entry(
        adapter_ref const& adapter, model_id const& model, instant now);
    std::size_t
    target_replica_count(adapter_entry const& entry, instant now) const;
    /// @returns how many of the model's usable replicas its demand needs
    std::size_t needed_replicas(model_id const& model, instant now);
    /// @param candidate_index index in the adapter's candidates
    /// @param rank            rank among the candidates that are not spare
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
    /// Mean service time in seconds, over more requests than `service_time_`.
    double mean_service_seconds_;
    double served_count_ = 0;
    /// Rate of requests.
    decayed_rate request_rate_{std::chrono::seconds(30)};
    /// Rate of choices; a request may need several.
    decayed_rate choice_rate_{std::chrono::seconds(30)};
    /// Batch limit of the largest replica.
    double max_batch_limit_ = 1;
    /// Expected time of an adapter load, averaged over all replicas.
    duration load_time_;
    instant last_eviction_at_;
    Policy policy_;
};

} // namespace camphorpoint

#include "Placement/placement_impl.hpp"
