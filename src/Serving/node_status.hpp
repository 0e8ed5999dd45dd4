#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// State of a member as this node sees it.
struct member_status {
    node_id id;
    std::uint64_t incarnation = 0;
    /// live, suspect, dead or leaving
    std::string state;
};

/// A resource that this node owns.
struct owned_status {
    /// For instance replica/engine-3 or keys/17.
    std::string resource;
    /// Log offset of the ownership claim, used as its fencing number.
    log_offset fencing;
    /// False when the authority has lapsed; the node then sends no commands.
    bool authority = false;
};

/// A replica that this node schedules.
struct replica_status {
    endpoint_id replica;
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
};

/// Snapshot of a node for its operators.
struct node_status {
    bool ready = false;
    /// Why the node is not ready. Empty when it is ready.
    std::vector<reason> not_ready;
    bool draining = false;
    /// Offset after the newest applied record of the configuration stream.
    log_offset configuration;
    /// Digest of the applied configuration. Equal on all nodes at the same
    /// offset.
    std::uint64_t configuration_digest = 0;
    /// Time since the configuration was last known to be current.
    duration configuration_age{};
    std::size_t profiles = 0;
    /// Number of requests at this entry node that wait or run.
    std::size_t waiting_requests = 0;
    std::size_t running_requests = 0;
    std::vector<owned_status> owned;
    std::vector<replica_status> replicas;
    std::vector<member_status> members;
};

} // namespace camphorpoint
