#pragma once

#include "Core/decayed_rate.hpp"
#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace camphorpoint {

/// How much of a service's work each adapter is, measured by the prompt tokens
/// of this node's own requests. The balancer spreads callers over nodes by a
/// hash, so one node's sample stands for all.
class adapter_demand {
public:
    /// A request for the adapter has come.
    void add(adapter_id const& adapter, unsigned prompt_tokens, instant now);
    /// @returns how many replicas should hold the adapter
    /// @param replicas how many there are
    std::size_t target_replica_count(
        adapter_id const& adapter, std::size_t replicas, instant now) const;
    /// @returns true when the adapter is asked for often enough that a further
    ///          copy of it would take work off its replicas
    bool warrants_replication(
        adapter_id const& adapter, std::size_t replicas, instant now) const;

private:
    /// A shift of demand shows within seconds, and a burst of a few requests
    /// does not yet make copies.
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
