#pragma once

#include "Config/profile.hpp"
#include "Core/time.hpp"

#include <concepts>
#include <cstddef>

namespace camphorpoint {

/// An entry node's estimates for one replica and one request.
struct placement_candidate {
    /// Rank in the adapter's rendezvous order; 0 is its preferred replica.
    std::size_t rank = 0;
    /// Expected wait of a request whose adapter is resident; an older report
    /// counts less.
    duration wait{};
    /// Expected time of an adapter load.
    duration load{};
    /// Used fraction of the replica's batch, from 0 to 1; an older report
    /// counts less.
    double batch_utilization = 0;
    /// Estimated probability that the adapter is resident, from 0 to 1.
    double residency = 0;
    /// True when the replica has recently cached the prompt's prefix.
    bool prefix_cached = false;
    /// True when the replica is in this node's failure domain.
    bool same_domain = false;
    /// True when the demand does not need this replica.
    bool spare = false;
};

/// What a request and the demand for its adapter require.
struct placement_demand {
    urgency how_urgent = urgency::normal;
    /// Replicas that should have the adapter resident, by the measured demand.
    std::size_t target_replica_count = 1;
};

/// Policy that computes the cost of a candidate. The candidate with the lowest
/// cost is chosen; of candidates with equal cost, the one with the lowest rank.
template <class Policy>
concept placement_policy = std::default_initializable<Policy> && requires(
    Policy const& policy, placement_candidate const& each,
    placement_demand const& demand) {
    { policy.cost(each, demand) } -> std::convertible_to<duration>;
};

/// Chooses the replica with the least expected wait: one that has the adapter
/// resident, unless its queue takes longer than a load on another replica.
struct least_expected_wait {
    /// Time that a cached prefix saves.
    static constexpr std::chrono::milliseconds prefix_cache_saving{30};
    /// Cost of a replica in another failure domain; small, so that it decides
    /// only between otherwise equal replicas.
    static constexpr std::chrono::microseconds remote_domain_cost{500};
    /// Cost of a replica with a full batch, since subsequent requests would
    /// wait there. The cost grows with the fourth power of the utilization, so
    /// that it is far smaller for a partly used batch.
    static constexpr std::chrono::milliseconds full_batch_cost{400};
    /// Cost per rank in the rendezvous order of an adapter that is not resident
    /// on the replica.
    static constexpr std::chrono::milliseconds rank_cost{20};
    /// Weight of the load time on a replica beyond those that the demand needs.
    /// Such a load uses the weight store and evicts another adapter, so it must
    /// save this many times its duration.
    static constexpr double extra_load_weight = 2.0;
    /// Cost of a spare replica: it is used when the others cost more by this.
    static constexpr std::chrono::milliseconds spare_cost{200};

    duration
    cost(placement_candidate const& each, placement_demand const& demand) const;
};

static_assert(placement_policy<least_expected_wait>);

} // namespace camphorpoint
