#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"

#include <cstdint>

namespace camphorpoint {

/// What another node's word of its reading of the list means for this node.
enum class registry_update_fit : std::uint8_t {
    /// It goes on where this node stands: its records are to be applied.
    applies,
    /// Nothing in it is new.
    nothing_new,
    /// Records before it were missed: this node reads them itself, at once.
    gap,
    /// It is of a later era of the store than this node has read in.
    later_epoch
};

/// Whose turn it is to read the list of replicas. Each node waits for a pause
/// of its own length; the first that reads tells all what it read, and the
/// others' pauses begin anew. So some calls a second do for any number of
/// nodes, and nobody has to be chosen: when the reader is gone, cut off or
/// turned away, the next one's pause ends a little later.
///
/// Guards against a leaving that one node misses while it relies on others:
/// a word names the places that it covers, a lost one shows as a gap in the
/// next, and without any word the node reads for itself. When the store has
/// come back from an older copy, places mean something else: each node reads
/// the list whole, and nothing from a place of the era before.
class registry_poll_schedule {
public:
    /// @param longest a node that hears nothing reads after this
    explicit registry_poll_schedule(duration max_interval)
        : max_interval_(max_interval) {}

    /// This node has read up to a place.
    void poll_completed(store_position end, instant now);
    /// @param whole what was asked for: all, else what was written from a place
    /// @param from  the place that was asked for
    /// @param next  where the answer ends
    /// @returns false when the store has gone back meanwhile, so that the
    /// answer
    ///          is of other records than those that were asked for
    bool is_valid_answer(
        bool full, store_position from, store_position end) const noexcept {
        return end.epoch >= epoch_ && (full || end.epoch == from.epoch);
    }
    /// Another node has read the records from one place to another of one era.
    registry_update_fit
    handle_update(store_position from, store_position to, instant now);
    /// The place to read from is gone from the store's history.
    void position_expired() noexcept { full_poll_needed_ = true; }
    /// The list is to be read whole at the next turn.
    void require_full_poll() noexcept { full_poll_needed_ = true; }
    /// The store is in a later era than was read in.
    /// @param at when this node reads the list whole, another time on each node
    void enter_epoch(store_epoch epoch, instant poll_at);

    /// @param draw 0 to 1, another one after each reading
    /// @returns when this node reads next
    instant next_poll_time(double random_fraction) const;
    /// @returns true when it reads the list whole then
    bool needs_full_poll() const noexcept {
        return full_poll_needed_ || epoch_outdated();
    }
    /// @returns where it reads on
    store_position position() const noexcept { return position_; }

private:
    /// Pauses are from this part of the longest on. The wider they lie apart,
    /// the fewer nodes read before the first one's word has come; the longer,
    /// the later a leaving is known.
    static constexpr double min_interval_fraction = 0.7;

    bool epoch_outdated() const noexcept { return epoch_ > position_.epoch; }

    duration max_interval_;
    store_position position_;
    store_epoch epoch_{};
    instant epoch_poll_at_;
    bool full_poll_needed_ = true;
    bool polled_once_ = false;
    bool gap_ = false;
    instant last_poll_at_;
};

} // namespace camphorpoint
