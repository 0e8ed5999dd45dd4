#pragma once

#include "Core/time.hpp"
#include "Delivery/shutdown_schedule.hpp"

#include <algorithm>
#include <chrono>
#include <optional>

namespace camphorpoint {

/// What a node has received of one attempt of a request.
struct attempt_progress {
    /// The head of its answer has arrived.
    bool begun = false;
    /// Nothing more will come.
    bool ended = false;
    /// Since when the head of the answer, or data of its body, are awaited;
    /// nothing while the node does not read.
    std::optional<instant> waiting_since;
    /// When an attempt of this node that was sent to the replica earlier last
    /// received data: this one may wait behind it.
    std::optional<instant> earlier_heard_at;
    /// Another attempt has stalled at the replica, which has sent nothing
    /// since.
    bool replica_stalled = false;
};

/// What bounds the attempts of a request.
struct request_bounds {
    /// When the request ends at the latest.
    instant deadline;
    /// Its latency objective.
    std::chrono::milliseconds objective{0};
    /// Nearly all answers of its service begin within this time; nothing while
    /// that is not known.
    std::optional<duration> usual_head;
    shutdown_schedule shutdown;
};

/// Another replica is sought for a stream that may be resumed after this time
/// without data. Callers accept shorter pauses, and abandon a stream later.
inline constexpr std::chrono::milliseconds stream_idle_timeout{1'500};
/// Lower bound of the time for which a silent replica is waited for before the
/// head of its answer: below, requests of brief routes would be sent again for
/// any delay of a connection.
inline constexpr std::chrono::milliseconds min_head_timeout{400};

/// @returns the time without any sign of a replica after which it may be taken
///          for one that stands still; nothing while the service is not known
inline std::optional<duration> shortest_silence(request_bounds const& bounds) {
    return bounds.usual_head ? std::optional(std::max<duration>(
                                   *bounds.usual_head, min_head_timeout))
                             : std::nullopt;
}

/// Decides when another replica is sought for a request that may run again. A
/// replica that writes answers to earlier requests has not come to this one
/// yet; one that writes nothing, or answers to later requests only, for longer
/// than usual and for the latency objective stands still, is out of reach or
/// has lost this request. Where another attempt has shown this, and in a
/// shutdown at the end of the time in which the request may be sent again, the
/// usual time is enough.
/// @returns when the attempt stalls unless something arrives before; nothing
///          while it can't stall
inline std::optional<instant>
stalls_at(attempt_progress const& attempt, request_bounds const& bounds) {
    if (!attempt.waiting_since) {
        return std::nullopt;
    }
    if (attempt.begun) {
        return *attempt.waiting_since + stream_idle_timeout;
    }
    auto const shortest = shortest_silence(bounds);
    if (!shortest) {
        return std::nullopt;
    }
    instant const silent_since = std::max(
        *attempt.waiting_since, attempt.earlier_heard_at.value_or(instant{}));
    instant const earliest = silent_since + *shortest;
    if (attempt.replica_stalled) {
        return earliest;
    }
    duration const objective = std::min(bounds.objective, stream_idle_timeout);
    instant const last = bounds.shutdown.resends_until(bounds.deadline);
    return std::max(earliest, std::min(silent_since + objective, last));
}

/// Decides at the head of a later attempt whether that one may go on with the
/// request. An earlier attempt that has begun may go on, and a shutdown may cut
/// the later one, which its replica has begun late.
/// @param earlier the attempt that has stalled
/// @returns true when the later attempt has the time that it needs, or the
///          earlier one is no alternative
inline bool leaves_time_to_replace(
    attempt_progress const& earlier, request_bounds const& bounds,
    instant now) {
    return !earlier.begun || earlier.ended ||
           bounds.shutdown.may_begin(bounds.deadline, now);
}

} // namespace camphorpoint
