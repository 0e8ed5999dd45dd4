#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Ownership/control_record.hpp"
#include "Ownership/ownership_settings.hpp"
#include "Ownership/resource_id.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace camphorpoint {

/// Progress of a planned handover.
enum class handover_phase : std::uint8_t {
    /// The service behind the resource has been asked to stop using it.
    stopping,
    /// The service has stopped; the successor has been asked to accept the
    /// state.
    offered,
    /// The release must be appended to the control stream.
    releasing,
    /// The append of the release is in progress, or its answer was lost.
    appending
};

/// One planned handover of a resource to another node.
struct outgoing_handover {
    resource_id resource;
    log_offset fencing;
    node_run successor;
    /// Successors that were offered the state and did not accept it.
    std::set<node_id> tried_successors;
    handover_phase phase = handover_phase::stopping;
    /// When the current phase times out.
    instant deadline;
    /// True during a planned stop of the node: the handover cannot be
    /// cancelled, so at a timeout the resource is released.
    bool draining = false;
    /// True once the service has stopped using the resource.
    bool stopped = false;
    /// True once the successor has accepted the state.
    bool accepted = false;
    /// True when the holder was free to evict adapters as the handover began.
    bool may_evict = false;
    /// Earliest time to append the release again after a failed append.
    instant retry_at{};
};

/// The planned handovers in progress. Each phase has a timeout. When it
/// expires, a handover that serves rebalancing is cancelled and the node keeps
/// the resource; a handover of a planned stop continues with a release without
/// a successor.
class outgoing_handovers {
public:
    explicit outgoing_handovers(ownership_settings const& settings)
        : settings_(settings) {}

    /// Begins a handover.
    void begin(outgoing_handover move, instant now);
    /// Records that the service has stopped using the resource.
    /// @returns the handover if its state should be offered to the successor,
    /// otherwise null
    outgoing_handover const*
    on_stopped(resource_id const& resource, instant now);
    /// Records that a node accepted the state. The answer is ignored unless it
    /// comes from the current successor and names the current claim.
    /// @param fencing fencing number of the claim that the answer names
    void on_accepted(
        resource_id const& resource, node_id const& from, log_offset fencing);
    /// @returns the handovers whose successor has not accepted yet
    std::vector<outgoing_handover> offered() const;
    /// Restarts an offered handover with another successor.
    void redirect(
        resource_id const& resource, node_run const& successor, instant now);
    /// Releases the resource at once and without a successor, because this
    /// node's claim never took effect.
    void release_without_successor(resource_id const& resource);
    /// Drops all handovers, as when the ownership table is restarted.
    void clear() { moves_.clear(); }
    /// Applies the timeouts of the phases.
    /// @returns the resources whose handover is cancelled and which the node
    /// keeps
    std::vector<resource_id> expire(instant now);
    /// Marks all handovers that are ready to be released as being appended.
    /// @returns the releases to append
    std::vector<release> start_releases(instant now);
    /// Records that the append of a release failed and must be repeated.
    /// @param retry_at earliest time of the next append
    void append_failed(resource_id const& resource, instant retry_at);
    /// Ends the handover, because this node no longer owns the resource.
    void finish(resource_id const& resource);
    /// @returns true when a handover of the resource is in progress
    bool is_moving(resource_id const& resource) const;
    /// @returns the number of handovers in progress
    std::size_t size() const noexcept { return moves_.size(); }

private:
    ownership_settings settings_;
    std::map<resource_id, outgoing_handover> moves_;
};

} // namespace camphorpoint
