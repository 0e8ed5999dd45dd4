#include "Placement/placement_policy.hpp"

namespace camphorpoint {

duration least_expected_wait::cost(
    placement_candidate const& each, placement_demand const& demand) const {
    // Copies that the demand calls for cost a plain load; more than that push
    // out other adapters for nothing.
    bool const called_for = each.rank < demand.target_replica_count;
    double const weight = called_for ? 1.0 : load_weight;
    double const missing = weight * (1.0 - each.residency);
    auto const load = duration(static_cast<duration::rep>(
        missing * static_cast<double>(each.load.count())));
    // All nodes must send a cold adapter to the same replica, so that its rank
    // counts for more than the distance.
    auto const order = static_cast<std::int64_t>(each.rank) * rank_cost;
    duration cost = each.wait + load;
    cost += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(order) * (1.0 - each.residency));
    double const squared = each.batch_utilization * each.batch_utilization;
    cost += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(full_batch_cost) * squared * squared);
    if (each.prefix_cached) {
        cost -= prefix_saving;
    }
    if (each.spare) {
        cost += spare_cost;
    }
    if (!each.same_domain) {
        cost += distance;
    }
    return cost;
}

} // namespace camphorpoint
