#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// Owner of a replica to owner of a weight store: requests permission to load
/// an adapter. The message is repeated while the load is needed, so that a new
/// owner of the store learns of the load request, and so that the store's owner
/// can drop the load requests of replicas that no longer repeat them.
struct load_request {
    endpoint_id replica;
    adapter_ref adapter;
    /// Most urgent class of the waiting requests.
    urgency how_urgent = urgency::normal;
    /// Number of waiting requests; 0 for a prefetch.
    std::uint32_t waiting = 0;
    std::chrono::milliseconds oldest_wait{};
    /// Demand that the replica expects for the adapter, in requests per second.
    double expected_demand = 0;

    /// @returns true if no request waits for the adapter yet
    bool is_prefetch() const noexcept { return waiting == 0; }

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner of the weight store to owner of the replica: the load may start.
struct load_allowed {
    endpoint_id replica;
    adapter_ref adapter;
    /// Number of the permission, unique within one ownership of the store.
    std::uint64_t permission = 0;
    /// The load must start within this time after receipt of the message.
    std::chrono::milliseconds valid_for{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner of the weight store to owner of the replica: the load is not permitted
/// now.
struct load_denied {
    endpoint_id replica;
    adapter_ref adapter;
    std::chrono::milliseconds retry_after{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner of the replica to owner of the weight store: the result of a permitted
/// load, which releases the permission.
struct load_result {
    endpoint_id replica;
    adapter_ref adapter;
    std::uint64_t permission = 0;
    /// False if the permission is returned unused.
    bool started = true;
    bool ok = false;
    /// Time from the load command to its result.
    std::chrono::milliseconds took{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Owner of the replica to owner of the weight store: the load is no longer
/// needed.
struct load_cancelled {
    endpoint_id replica;
    adapter_ref adapter;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, adapter);
    }
};

template <class Archive>
void load_request::serialize(Archive& archive) {
    auto wait = oldest_wait.count();
    archive(replica, adapter, how_urgent, waiting, wait, expected_demand);
    oldest_wait = std::chrono::milliseconds(wait);
}

template <class Archive>
void load_allowed::serialize(Archive& archive) {
    auto valid = valid_for.count();
    archive(replica, adapter, permission, valid);
    valid_for = std::chrono::milliseconds(valid);
}

template <class Archive>
void load_denied::serialize(Archive& archive) {
    auto after = retry_after.count();
    archive(replica, adapter, after);
    retry_after = std::chrono::milliseconds(after);
}

template <class Archive>
void load_result::serialize(Archive& archive) {
    auto time = took.count();
    archive(replica, adapter, permission, started, ok, time);
    took = std::chrono::milliseconds(time);
}

} // namespace camphorpoint
