#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"

#include <cstdint>

namespace camphorpoint {

/// How a registry update received from another node relates to this node's
/// position in the registry's log.
enum class registry_update_fit : std::uint8_t {
    /// The update continues from this node's position; its records are to be
    /// applied.
    applies,
    /// The update contains nothing new.
    nothing_new,
    /// Records before the update were missed; this node polls at once.
    gap,
    /// The update is from a later epoch of the store than this node has polled
    /// in.
    later_epoch
};

/// Decides when this node polls the replica registry. Each node waits for an
/// interval of its own random length. The first node to poll broadcasts what it
/// read, and all other nodes restart their intervals. So a few calls per second
/// are enough for any number of nodes, and no node has to be elected: when the
/// polling node stops, is cut off or has its calls refused, the interval of
/// another one ends a little later.
///
/// Guards against a leaving replica that one node misses while it relies on
/// other nodes' updates: each update contains the range of positions that it
/// covers, so a lost update shows as a gap in the next one, and without any
/// update the node polls by itself. After a store rollback the positions refer
/// to other records: each node does a full poll and never continues from a
/// position of an earlier epoch.
class registry_poll_schedule {
public:
    /// @param max_interval a node that receives no updates polls after this
    ///                     time at the latest
    explicit registry_poll_schedule(duration max_interval)
        : max_interval_(max_interval) {}

    /// Records that this node begins a poll. A gap that shows from now on may
    /// lie beyond what the poll reads.
    void poll_started() noexcept { gap_in_poll_ = false; }
    /// Records a successful poll by this node. The position moves back only
    /// after `position_expired`. Guards against a poll that was overtaken by
    /// another node's update: this node would read the same changes again, find
    /// nothing new in them, and broadcast their range without them.
    /// @param end position up to which the poll has read
    void poll_completed(store_position end, instant now);
    /// @param full true when the full registry was requested, false when the
    ///             records from a position on were
    /// @param from position that was requested
    /// @param end position at which the answer ends
    /// @returns false when the store rolled back during the poll, so that the
    ///          answer contains other records than were requested
    bool is_valid_answer(
        bool full, store_position from, store_position end) const noexcept {
        return end.epoch >= epoch_ && (full || end.epoch == from.epoch);
    }
    /// @returns where the range begins that this node's update may claim after
    ///          a poll. Changes before it were reported by other nodes and are
    ///          no longer new here; a node that has missed their updates must
    ///          see a gap.
    /// @param from position from which the poll has read
    /// @param end position at which it has ended
    store_position claimed_from(
        store_position const& from, store_position const& end) const noexcept;
    /// @returns true when this node knows the record at this position, or a
    ///          newer one of the same replica
    bool is_known(store_position const& record) const noexcept {
        return polled_once_ && !expired_ && is_ahead(position_, record);
    }
    /// Processes a registry update by another node, which covers the records
    /// between two positions of one epoch.
    /// @returns whether the records of the update are to be applied
    registry_update_fit
    handle_update(store_position from, store_position to, instant now);
    /// Records that the store's log no longer contains this node's position.
    void position_expired() noexcept {
        full_poll_needed_ = true;
        expired_ = true;
    }
    /// Makes the next poll a full one.
    void require_full_poll() noexcept { full_poll_needed_ = true; }
    /// Records that the store is in a later epoch than this node has polled in.
    /// @param poll_at when this node does its full poll; a different time on
    ///                each node
    void enter_epoch(store_epoch epoch, instant poll_at);

    /// @param random_fraction 0 to 1, drawn again after each poll
    /// @returns when this node polls next
    instant next_poll_time(double random_fraction) const;
    /// @returns true when the next poll has to read the full registry
    bool needs_full_poll() const noexcept {
        return full_poll_needed_ || epoch_outdated();
    }
    /// @returns true when this node knows all records up to its position that
    ///          are still in force, so that the records behind it are all that
    ///          it lacks
    bool can_read_on() const noexcept {
        return polled_once_ && !expired_ && !epoch_outdated();
    }
    /// @returns the position from which the next poll continues
    store_position position() const noexcept { return position_; }

private:
    /// Shortest interval as a fraction of the longest. The wider the range, the
    /// fewer nodes poll before the update of the first one reaches them; the
    /// longer the intervals, the later a leaving replica is noticed.
    static constexpr double min_interval_fraction = 0.7;

    bool epoch_outdated() const noexcept { return epoch_ > position_.epoch; }
    bool gap_open() const noexcept {
        return gap_ && is_ahead(gap_end_, position_);
    }

    duration max_interval_;
    store_position position_;
    store_epoch epoch_{};
    instant epoch_poll_at_;
    bool full_poll_needed_ = true;
    bool expired_ = false;
    bool polled_once_ = false;
    /// Updates before `gap_end_` were missed.
    bool gap_ = false;
    store_position gap_end_;
    /// The gap has shown since the latest poll began.
    bool gap_in_poll_ = false;
    instant last_poll_at_;
};

} // namespace camphorpoint
