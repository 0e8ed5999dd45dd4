#pragma once

#include "Core/time.hpp"

#include <optional>
#include <vector>

namespace camphorpoint {

/// Decides whether a registry entry that has disappeared may have expired in an
/// outage of the store. Such an entry is written again soon after the outage,
/// whereas the replica of an entry that was removed on purpose is leaving.
///
/// Guards against a node that takes one failed call of its own for an outage
/// and keeps replicas that leave. An entry expires after three heartbeats of
/// silence, so only an outage of about two heartbeats can cause it, and a poll
/// of another node that was answered shows that the store was reachable. When
/// a node's own link has delayed its answers and the messages of its peers, the
/// peers tell it afterwards that their polls were answered all along.
class registry_outage_tracker {
public:
    /// @returns the shortest outage of the store in which an entry can expire.
    ///          An answer counts as recent for as long.
    /// @param heartbeat interval at which a replica writes its entry
    static constexpr duration min_outage_of(duration heartbeat) noexcept {
        // The entry may be one heartbeat old when the outage begins; half a
        // heartbeat is left for the delay of the last answers.
        return heartbeat + heartbeat / 2;
    }

    /// @param heartbeat interval at which a replica writes its entry
    explicit registry_outage_tracker(duration heartbeat) noexcept;

    /// Records that the store has answered a poll of the registry, by this node
    /// or, as shown by its update, by another one.
    void note_answer(instant now);
    /// Records that a poll of the registry by this node has failed.
    void note_failure() noexcept;
    /// Records that the store was restored from an older snapshot. Entries that
    /// are missing there are written again as after an outage.
    void note_rollback(instant now);

    /// Applies a peer's report that polls of the registry were answered without
    /// an outage for a time before now.
    /// @returns true when this shows that an outage that this node has
    ///          suspected was none
    bool note_answered_at_peer(duration answered_for, instant now);

    /// @returns for how long before now polls were answered without an outage;
    ///          zero when the latest answer is too old
    duration answered_for(instant now) const noexcept;
    /// @returns true when an entry that is missing now may have expired in an
    ///          outage
    bool may_have_expired(instant now) const noexcept;
    /// @returns when the entries that expired in the last outage have been
    ///          written again
    instant settled_from() const noexcept;

private:
    struct suspected_outage {
        /// The latest answer before it; not set when there was none, or when
        /// the store has rolled back.
        std::optional<instant> began;
        /// When the entries that expired in it have been written again.
        instant settled_from;
    };

    duration min_outage_;
    std::optional<instant> last_answer_;
    bool failed_before_first_answer_ = false;
    /// Start of the time in which polls were answered without an outage.
    instant answered_since_;
    /// Outages whose entries may still be missing, the latest last.
    std::vector<suspected_outage> unsettled_;
};

} // namespace camphorpoint
