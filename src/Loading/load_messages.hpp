#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <chrono>
#include <cstdint>

namespace camphorpoint {

/// Replica's owner to weight store's owner: this replica wants an adapter.
/// Sent again while the want lasts, so that a store's new owner learns of it
/// and one whose replica fell silent is forgotten.
struct load_request {
    endpoint_id replica;
    adapter_ref adapter;
    /// The most urgent class that waits.
    urgency how_urgent = urgency::normal;
    /// Requests that wait; 0 for a load ahead of demand.
    std::uint32_t waiting = 0;
    std::chrono::milliseconds oldest_wait{};
    /// Requests a second that the replica expects for the adapter.
    double expected_demand = 0;

    /// @returns true when nobody waits yet
    bool is_prefetch() const noexcept { return waiting == 0; }

    template <class Archive>
    void serialize(Archive& archive);
};

/// Weight store's owner to replica's owner: the load may start.
struct load_allowed {
    endpoint_id replica;
    adapter_ref adapter;
    /// The permission's number, unique within one ownership of the store.
    std::uint64_t permission = 0;
    /// The load must have started within this time of the receipt.
    std::chrono::milliseconds valid_for{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Weight store's owner to replica's owner: not now.
struct load_denied {
    endpoint_id replica;
    adapter_ref adapter;
    std::chrono::milliseconds retry_after{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Replica's owner to weight store's owner: a permission is used up.
struct load_result {
    endpoint_id replica;
    adapter_ref adapter;
    std::uint64_t permission = 0;
    /// False when the permission went back unused.
    bool started = true;
    bool ok = false;
    /// From the order to its answer.
    std::chrono::milliseconds took{};

    template <class Archive>
    void serialize(Archive& archive);
};

/// Replica's owner to weight store's owner: the want is gone.
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
