#include "Placement/placement_policy.hpp"

namespace camphorpoint {

duration least_expected_wait::cost(
    placement_candidate const& each, placement_demand const& demand) const {
    // A load on one of the replicas that the demand calls for costs the load
    // time only. A load on a further replica costs more, because it would evict
    // other adapters without need.
    bool const within_demand = each.rank < demand.target_replica_count;
    double const weight = within_demand ? 1.0 : extra_load_weight;
    double const load_factor = weight * (1.0 - each.residency);
    auto const load = duration(static_cast<duration::rep>(
        load_factor * static_cast<double>(each.load.count())));
    // All nodes must send requests for an adapter that is not resident to the
    // same replica. Therefore the rank costs more than a replica in another
    // failure domain.
    auto const rank_penalty = static_cast<std::int64_t>(each.rank) * rank_cost;
    duration cost = each.wait + load;
    cost += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(rank_penalty) * (1.0 - each.residency));
    double const squared = each.batch_utilization * each.batch_utilization;
    cost += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(full_batch_cost) * squared * squared);
    if (each.prefix_cached) {
        cost -= prefix_cache_saving;
    }
    if (each.spare) {
        cost += spare_cost;
    }
    if (!each.same_domain) {
        cost += remote_domain_cost;
    }
    return cost;
}

} // namespace camphorpoint
