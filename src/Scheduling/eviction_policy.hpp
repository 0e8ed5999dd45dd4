#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <concepts>

namespace camphorpoint {

/// What is known of an adapter that could be evicted. It is never in use and
/// never asked for by a waiting request.
struct eviction_candidate {
    adapter_ref adapter;
    /// Decayed rate of asks, in requests per second.
    double requests_per_second = 0;
    instant last_request;
    /// The ask before the last.
    instant previous_request;
    instant loaded;
    /// True when a newer version of the adapter is resident.
    bool superseded = false;
};

/// Says how much an adapter is worth keeping; the least is evicted.
template <class Policy>
concept eviction_policy = std::default_initializable<Policy> && requires(
    Policy const& policy, eviction_candidate const& each, instant now) {
    { policy.retention_value(each, now) } -> std::convertible_to<double>;
};

/// Keeps what is expected to be asked for soonest: the highest decayed rate.
/// Superseded versions go first.
struct evict_least_demand {
    double retention_value(eviction_candidate const& each, instant) const {
        return each.superseded ? -1.0 : each.requests_per_second;
    }
};

/// Evicts what was asked for longest ago.
struct evict_least_recent {
    double retention_value(eviction_candidate const& each, instant now) const {
        return -std::chrono::duration<double>(now - each.last_request).count();
    }
};

/// Evicts what was asked for twice longest ago, so that an adapter asked for
/// once does not push out one in steady use.
/// Reference: E. J. O'Neil, P. E. O'Neil, G. Weikum, "The LRU-K page
/// replacement algorithm for database disk buffering", SIGMOD 1993.
struct evict_second_least_recent {
    double retention_value(eviction_candidate const& each, instant now) const {
        return -std::chrono::duration<double>(now - each.previous_request)
                    .count();
    }
};

static_assert(eviction_policy<evict_least_demand>);
static_assert(eviction_policy<evict_least_recent>);
static_assert(eviction_policy<evict_second_least_recent>);

} // namespace camphorpoint
