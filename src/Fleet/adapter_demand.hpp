#pragma once

#include "Core/decayed_rate.hpp"
#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace camphorpoint {

/// Measures each adapter's fraction of a service's demand by the prompt tokens
/// of this node's own requests. The balancer spreads callers over the nodes by
/// a hash, so the sample of one node represents all nodes.
class adapter_demand {
public:
    /// Records a request for the adapter.
    /// @param prompt_tokens length of the prompt; 0 when it is unknown
    void add(adapter_id const& adapter, unsigned prompt_tokens, instant now);
    /// @returns the number of replicas on which the adapter should be resident,
    ///          between 1 and `replicas`
    /// @param replicas number of replicas of the service
    std::size_t target_replica_count(
        adapter_id const& adapter, std::size_t replicas, instant now) const;
    /// @returns true when the adapter is requested often enough that a further
    ///          replica with it would take load off its current replicas
    bool warrants_replication(
        adapter_id const& adapter, std::size_t replicas, instant now) const;

private:
    /// Short enough that a shift of demand shows within seconds, long enough
    /// that a burst of a few requests does not yet add replicas.
    static constexpr duration half_life = std::chrono::seconds(4);

    double desired_replicas(
        adapter_id const& adapter, std::size_t replicas, instant now) const;
    void drop_idle(instant now);

    struct demand_rates {
        decayed_rate tokens{half_life};
        decayed_rate requests{half_life};
    };

    std::unordered_map<adapter_id, demand_rates> rates_;
    decayed_rate total_{half_life};
    instant last_expiry_;
};

} // namespace camphorpoint
