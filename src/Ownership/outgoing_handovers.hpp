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

/// How far a planned move has come.
enum class handover_phase : std::uint8_t {
    /// The service is asked to stop.
    stopping,
    /// It has stopped; the successor is asked to accept the table.
    offered,
    /// The release is to be appended.
    releasing,
    /// The release's append is under way, or its answer was lost.
    appending
};

/// One planned move of a resource to another node.
struct outgoing_handover {
    resource_id resource;
    log_offset fencing;
    node_run successor;
    /// Successors that were offered the table and did not take it.
    std::set<node_id> tried_successors;
    handover_phase phase = handover_phase::stopping;
    /// When the phase is given up.
    instant deadline;
    /// True at a planned stop: there is no way back to holding.
    bool draining = false;
    /// True once the service has stopped.
    bool stopped = false;
    /// True once the successor has accepted.
    bool accepted = false;
    /// True when the holder itself was free to evict.
    bool may_evict = false;
    /// A release that failed is not appended again before.
    instant retry_at{};
};

/// The planned moves under way. Each phase has a limit: past it, a rebalance
/// goes back to holding, and a planned stop releases without a successor.
class outgoing_handovers {
public:
    explicit outgoing_handovers(ownership_settings const& settings)
        : settings_(settings) {}

    /// Begins a move.
    void begin(outgoing_handover move, instant now);
    /// The service has stopped.
    /// @returns the move, when an offer should be sent
    outgoing_handover const*
    on_stopped(resource_id const& resource, instant now);
    /// The successor has accepted.
    void on_accepted(
        resource_id const& resource, node_id const& from, log_offset fencing);
    /// @returns the moves whose successor has not accepted yet
    std::vector<outgoing_handover> offered() const;
    /// Begins an offered move anew, to another successor.
    void redirect(
        resource_id const& resource, node_run const& successor, instant now);
    /// The holder was never in effect: release at once, without a successor.
    void release_without_successor(resource_id const& resource);
    /// Drops all moves, as when the table began anew.
    void clear() { moves_.clear(); }
    /// Lets limits take effect.
    /// @returns the moves that are given up and go back to holding
    std::vector<resource_id> expire(instant now);
    /// @returns the releases to append; they count as under way
    std::vector<release> start_releases(instant now);
    /// An append came to nothing: the release is to be appended again.
    void append_failed(resource_id const& resource, instant retry_at);
    /// The resource is no longer ours.
    void finish(resource_id const& resource);
    /// @returns true when the resource is being moved
    bool is_moving(resource_id const& resource) const;
    /// @returns how many moves are under way
    std::size_t size() const noexcept { return moves_.size(); }

private:
    ownership_settings settings_;
    std::map<resource_id, outgoing_handover> moves_;
};

} // namespace camphorpoint
