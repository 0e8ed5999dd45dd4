#pragma once

#include "Core/time.hpp"
#include "Limits/rate_schedule.hpp"

#include <cstdint>
#include <deque>

namespace camphorpoint {

/// A node drops a grant that it has not used this long after it asked for it.
/// Guards against a node that was suspended with a grant and sends when the
/// slot has long been granted to another.
inline constexpr duration max_grant_age = std::chrono::milliseconds(80);

/// A request that this many replicas in a row have denied a slot waits before
/// it asks again: the others are likely to be full as well.
inline constexpr unsigned denials_before_wait = 3;

/// Identifies a node's question for a slot. A repeated question gets the grant
/// that it was given before.
struct slot_question {
    std::uint64_t node = 0;
    std::uint64_t number = 0;

    friend bool operator==(slot_question, slot_question) = default;
};

/// Grants the slots of one brittle replica, which falls over when it has to
/// reject too many requests. One node, the replica's controller, keeps it for
/// all nodes, and each request counts from its grant on: nodes that compare
/// reported usage would all send to the same free slot.
///
/// A rejection shows that the replica has less room than was counted. The room
/// is then cut to what it has run, and grows again by single slots; meanwhile
/// only as many requests are on their way at the same time as may be rejected.
/// Reference: D.-M. Chiu, R. Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance in computer networks", Computer Networks
/// and ISDN Systems 17(1), 1989.
class slot_grants {
public:
    /// @param slots          requests that the replica runs at once
    /// @param max_rejections rejections in a second that it bears
    /// @param counted        true when this node has counted the replica's
    ///                       requests for a while; a new controller begins with
    ///                       half of the slots
    slot_grants(
        unsigned slots, unsigned max_rejections, bool counted, instant now);

    /// Changes the number of rejections that the replica bears.
    void set_max_rejections(unsigned max_rejections) noexcept {
        max_rejections_ = max_rejections;
    }
    /// @param running requests of all nodes that are reported to run there
    /// @param budget  how long the request may wait for a slot
    /// @returns the grant, or the time after which a slot should be free
    rate_permit request(
        slot_question question, unsigned running, duration budget, instant now);
    /// Applies a node's report of its running requests.
    /// @param before what it had reported before
    /// @param after  what it reports now
    void
    on_report(std::uint64_t node, unsigned before, unsigned after, instant now);
    /// Applies a rejection by the replica. Repeated reports of one rejection
    /// have no effect.
    /// @param question the question with which the slot was granted
    /// @param running  as for `request`
    /// @returns true when it was not known
    bool on_rejection(slot_question question, unsigned running, instant now);
    /// @returns requests that may be granted or running at the same time
    unsigned room() const noexcept { return room_; }

private:
    struct pending_grant {
        slot_question question;
        instant granted_at;
    };
    struct rejection {
        slot_question question;
        instant at;
    };

    void drop_expired(instant now);
    /// @returns true when a further request could be rejected beside more
    /// others
    ///          than the replica bears
    bool too_many_unproven() const;
    std::size_t bearable_rejections() const;
    void grow(instant now);
    duration growth_interval() const;
    /// @returns how long no slot is granted because of rejections
    duration pause(instant now) const;

    unsigned slots_;
    unsigned max_rejections_;
    /// Requests that may be granted or running at the same time.
    unsigned room_;
    /// No rejection has cut the room.
    bool never_rejected_ = true;
    instant grow_at_;
    /// Grants whose requests have not been reported as running.
    std::deque<pending_grant> pending_;
    /// For each request that has begun lately, when its rejection would be
    /// known.
    std::deque<instant> proven_at_;
    /// Until then the room may be smaller than counted.
    instant cautious_until_;
    /// Rejections within the last second.
    std::deque<rejection> rejections_;
    /// Mean time between two completed requests, and the last of them.
    duration release_interval_;
    instant released_at_;
    /// When a slot should be free for each request that was told to come back.
    instant queue_end_;
};

} // namespace camphorpoint
