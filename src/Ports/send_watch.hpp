#pragma once

#include "Core/time.hpp"

#include <chrono>

namespace camphorpoint::internal {

/// Bounds how long a connection may be silent: the kernel ends it when data
/// stays unacknowledged for this long, or when the probes of an idle connection
/// stay unanswered. A sound host may be out of reach for a second or so, in
/// which two probes are lost.
inline constexpr std::chrono::milliseconds silence_limit{2'200};

/// Sets the kernel's limits of a connection's silence.
/// @param handle the socket
void bound_silence(int handle) noexcept;

/// Watches the sending of data. Guards against a connection that the kernel
/// ends although the peer's host is alive: TCP_USER_TIMEOUT also ends one whose
/// peer keeps its receive window closed, as a process does that stands still
/// before it has read a long request. While the host answers the kernel's
/// window probes, the limit is extended until the next one.
class send_watch {
public:
    /// How often to check.
    static constexpr std::chrono::milliseconds period{250};

    explicit send_watch(instant now) noexcept
        : stalled_since_(now)
        , checked_at_(now) {}
    /// Checks a connection, each time the same. A check that comes late takes
    /// note of all that was acknowledged since the one before.
    /// @param handle its socket, which is open
    /// @returns false when all data has been acknowledged
    bool check(int handle, instant now) noexcept;

private:
    instant stalled_since_;
    instant checked_at_;
    int unacknowledged_ = 0;
};

} // namespace camphorpoint::internal
