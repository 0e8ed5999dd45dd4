#pragma once

#include "Scheduling/batch_policy.hpp"
#include "Scheduling/eviction_policy.hpp"

namespace camphorpoint {

/// The policies that a replica_scheduler is built from.
template <class Policy>
concept replica_policy = eviction_policy<typename Policy::eviction> &&
    batch_policy<typename Policy::batch>;

/// The policies of the product.
struct standard_policy {
    using eviction = evict_least_demand;
    using batch = urgent_first;
};

} // namespace camphorpoint
