#pragma once

#include "Core/ids.hpp"
#include "Ownership/control_record.hpp"
#include "Ownership/resource_id.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace camphorpoint {

/// Holder to successor: I have stopped; here is what I know.
struct handover_offer {
    resource_id resource;
    /// The holder's claim.
    log_offset fencing;
    /// The run of the successor that is meant.
    std::uint64_t successor_run = 0;
    /// How long the holder itself would still evict nothing.
    std::chrono::milliseconds evict_wait_left{};
    /// The holder's table, in the owning service's own encoding.
    std::string table;

    template <class Archive>
    void serialize(Archive& archive) {
        auto left = evict_wait_left.count();
        archive(resource, fencing, successor_run, left, table);
        evict_wait_left = std::chrono::milliseconds(left);
    }
};

/// Successor to holder: I have the table and will take over.
struct handover_accepted {
    resource_id resource;
    log_offset fencing;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(resource, fencing);
    }
};

/// Former holder to its successor: I have read your claim and stopped.
struct holder_stopped {
    resource_id resource;
    /// The claim under which the former holder held.
    log_offset fencing;
    /// How long the former holder itself would still evict nothing, because of
    /// those who held before it.
    std::chrono::milliseconds evict_wait_left{};

    template <class Archive>
    void serialize(Archive& archive) {
        auto left = evict_wait_left.count();
        archive(resource, fencing, left);
        evict_wait_left = std::chrono::milliseconds(left);
    }
};

/// What nodes say to each other about ownership.
using ownership_message =
    std::variant<handover_offer, handover_accepted, holder_stopped>;

} // namespace camphorpoint
