#pragma once

#include "Config/profile.hpp"
#include "Core/time.hpp"

#include <concepts>
#include <cstddef>

namespace camphorpoint {

/// What an entry node believes of a replica for one request.
struct placement_candidate {
    /// Place in the adapter's rendezvous order; 0 is its home.
    std::size_t rank = 0;
    /// Expected wait of a request whose adapter is resident, aged.
    duration wait{};
    /// Expected wait for a load.
    duration load{};
    /// How full its batch is, from 0 to 1, aged.
    double batch_utilization = 0;
    /// How sure it is that the adapter is resident, from 0 to 1.
    double residency = 0;
    /// True when the prompt's prefix was cached there of late.
    bool prefix_cached = false;
    /// True when the replica is in this node's failure domain.
    bool same_domain = false;
    /// True when the other replicas suffice for the demand.
    bool spare = false;
};

/// What is asked for.
struct placement_demand {
    urgency how_urgent = urgency::normal;
    /// Copies that the measured demand needs.
    std::size_t target_replica_count = 1;
};

/// Says what a candidate costs; the cheapest is chosen, the earlier rank wins
/// a tie.
template <class Policy>
concept placement_policy = std::default_initializable<Policy> && requires(
    Policy const& policy, placement_candidate const& each,
    placement_demand const& demand) {
    { policy.cost(each, demand) } -> std::convertible_to<duration>;
};

/// The least expected wait: where the adapter is resident unless its queue is
/// longer than a load elsewhere would take.
struct least_expected_wait {
    /// What a cached prefix saves.
    static constexpr std::chrono::milliseconds prefix_cache_saving{30};
    /// Breaks ties in favour of the near replica.
    static constexpr std::chrono::microseconds remote_domain_cost{500};
    /// What a full batch costs: requests that come next would wait. Less full
    /// batches cost far less, by the fourth power.
    static constexpr std::chrono::milliseconds full_batch_cost{400};
    /// Each place further down the order of an adapter that is not resident.
    static constexpr std::chrono::milliseconds rank_cost{20};
    /// A load elsewhere costs the store a load and some other adapter its
    /// slot, so it must be worth this many times its time.
    static constexpr double extra_load_weight = 2.0;
    /// A spare replica is used when the others cost this much more.
    static constexpr std::chrono::milliseconds spare_cost{200};

    duration
    cost(placement_candidate const& each, placement_demand const& demand) const;
};

static_assert(placement_policy<least_expected_wait>);

} // namespace camphorpoint
