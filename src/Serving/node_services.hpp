#pragma once

#include "Config/change_publisher.hpp"
#include "Config/checkpoint_writer.hpp"
#include "Config/config_follower.hpp"
#include "Delivery/request_quarantine.hpp"
#include "Keys/entry_key_tracker.hpp"
#include "Keys/key_owner.hpp"
#include "Limits/fixed_limit.hpp"
#include "Limits/retry_budget.hpp"
#include "Limits/service_router.hpp"
#include "Loading/store_budget.hpp"
#include "Membership/membership.hpp"
#include "Ownership/ownership_manager.hpp"
#include "Placement/placement.hpp"
#include "Scheduling/replica_scheduler.hpp"
#include "Serving/serving_settings.hpp"

#include <map>
#include <memory>

namespace camphorpoint {

/// The limits of the replicas of one plain service.
using plain_service = service_router<fixed_limit>;

/// All decision services of one node. They do not refer to each other; the
/// routers pass on what one requests from another.
struct node_services {
    explicit node_services(serving_settings const& settings);

    membership members;
    ownership_manager ownership;
    config_follower follower;
    change_publisher publisher;
    checkpoint_writer checkpoints;
    key_owner key_shards;
    entry_key_tracker keys;
    placement<> endpoint_selector;
    retry_budget retries;
    /// Requests that crash the endpoints which run them.
    request_quarantine quarantine;
    /// Load budget of the weight store, in use while this node owns the store.
    store_budget cluster_budget;
    /// This node's part of the load budget, in use while the store's owner is
    /// unreachable.
    store_budget local_budget;
    /// Schedulers of the replicas that this node owns.
    std::map<endpoint_id, std::unique_ptr<replica_scheduler<>>> replicas;
    std::map<model_id, plain_service> plain_services;

    /// @returns true when the node is a known member that is not dead
    bool reachable(node_id const& node) const;
    /// @returns the owner of the resource when it is reachable, otherwise empty
    node_id reachable_owner(resource_id const& resource) const;
};

} // namespace camphorpoint
