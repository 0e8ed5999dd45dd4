#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// How a member looks from this node.
struct member_status {
    node_id id;
    std::uint64_t incarnation = 0;
    /// live, suspect, dead or leaving
    std::string state;
};

/// A resource that this node decides for.
struct owned_status {
    /// Such as replica/engine-3 or keys/17.
    std::string resource;
    /// The claim's offset: its fencing number.
    log_offset fencing;
    /// False when the authority has lapsed and no order is given.
    bool authority = false;
};

/// A replica that this node schedules.
struct replica_status {
    endpoint_id replica;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
};

/// What a node shows its operators; a copy, taken at one moment.
struct node_status {
    bool ready = false;
    /// Why the node is not ready; empty when it is.
    std::vector<reason> not_ready;
    bool draining = false;
    /// One past the newest applied record of the configuration stream.
    log_offset configuration;
    /// Digest of the applied configuration: equal on all nodes at one offset.
    std::uint64_t configuration_digest = 0;
    /// How long ago the configuration was known to be current.
    duration configuration_age{};
    std::size_t profiles = 0;
    /// Requests at this entry node, by stage.
    std::size_t waiting_requests = 0;
    std::size_t running_requests = 0;
    std::vector<owned_status> owned;
    std::vector<replica_status> replicas;
    std::vector<member_status> members;
};

} // namespace camphorpoint
