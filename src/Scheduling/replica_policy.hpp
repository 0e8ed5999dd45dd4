#pragma once

#include "Scheduling/batch_policy.hpp"
#include "Scheduling/eviction_policy.hpp"

namespace camphorpoint {

/// A combination of an eviction policy and a batch policy for
/// replica_scheduler.
template <class Policy>
concept replica_policy = eviction_policy<typename Policy::eviction> &&
    batch_policy<typename Policy::batch>;

/// The policies that are used in production.
struct standard_policy {
    using eviction = evict_least_demand;
    using batch = urgent_first;
};

} // namespace camphorpoint
