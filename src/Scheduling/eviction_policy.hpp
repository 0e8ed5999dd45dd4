#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <concepts>

namespace camphorpoint {

/// A resident adapter that may be evicted, as seen by an eviction policy. No
/// running request uses it and no queued request waits for it, except when an
/// adapter in use has to be drained to free its slot.
struct eviction_candidate {
    adapter_ref adapter;
    /// Exponentially decayed request rate, in requests per second.
    double requests_per_second = 0;
    instant last_request;
    /// Time of the request before the last one.
    instant previous_request;
    instant loaded;
    /// True if a newer version of the adapter is resident.
    bool superseded = false;
};

/// Rates how valuable it is to keep an adapter resident. The adapter with the
/// lowest value is evicted.
template <class Policy>
concept eviction_policy = std::default_initializable<Policy> && requires(
    Policy const& policy, eviction_candidate const& each, instant now) {
    { policy.retention_value(each, now) } -> std::convertible_to<double>;
};

/// Keeps the adapters that are expected to be requested soonest, those with the
/// highest decayed request rate. Superseded versions are evicted first.
struct evict_least_demand {
    double retention_value(eviction_candidate const& each, instant) const {
        return each.superseded ? -1.0 : each.requests_per_second;
    }
};

/// Evicts the least recently used adapter.
struct evict_least_recent {
    double retention_value(eviction_candidate const& each, instant now) const {
        return -std::chrono::duration<double>(now - each.last_request).count();
    }
};

/// Evicts the adapter whose second to last request is the oldest (LRU-2), so
/// that an adapter that was requested once does not displace one that is
/// requested regularly.
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
