#pragma once

#include "Core/ids.hpp"
#include "Ownership/control_record.hpp"
#include "Ownership/resource_id.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace camphorpoint {

/// Sent by the holder of a resource to the chosen successor: the holder has
/// stopped using the resource and passes on its state.
struct handover_offer {
    resource_id resource;
    /// Fencing number of the holder's claim.
    log_offset fencing;
    /// Run of the successor process that the offer is meant for. Another run of
    /// the same node ignores the offer.
    std::uint64_t successor_run = 0;
    /// Remaining time during which the holder would not have evicted adapters.
    std::chrono::milliseconds evict_wait_left{};
    /// State of the holder, in an encoding that the service behind the resource
    /// defines.
    std::string table;

    template <class Archive>
    void serialize(Archive& archive) {
        auto left = evict_wait_left.count();
        archive(resource, fencing, successor_run, left, table);
        evict_wait_left = std::chrono::milliseconds(left);
    }
};

/// Answer of the successor: it has stored the state and is ready to own the
/// resource.
struct handover_accepted {
    resource_id resource;
    log_offset fencing;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(resource, fencing);
    }
};

/// Sent by a former holder to the new owner: the former holder has read the new
/// owner's claim and has stopped using the resource.
struct holder_stopped {
    resource_id resource;
    /// Fencing number of the former holder's claim.
    log_offset fencing;
    /// Remaining time during which the former holder would not have evicted
    /// adapters, because of the holders before it.
    std::chrono::milliseconds evict_wait_left{};

    template <class Archive>
    void serialize(Archive& archive) {
        auto left = evict_wait_left.count();
        archive(resource, fencing, left);
        evict_wait_left = std::chrono::milliseconds(left);
    }
};

/// Messages that nodes exchange about ownership.
using ownership_message =
    std::variant<handover_offer, handover_accepted, holder_stopped>;

} // namespace camphorpoint
