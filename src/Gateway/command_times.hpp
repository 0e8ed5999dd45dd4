#pragma once

#include "Ports/http_client.hpp"
#include "ReplicaControl/partition_leases.hpp"

#include <chrono>

namespace camphorpoint {

/// Time-out of a command to a replica. A replica answers within a few
/// milliseconds, and a command without an answer is sent again, so a short
/// time-out loses nothing. With 700 ms, replicas that left half of their
/// commands unanswered accepted one command per second, while hundreds of
/// requests waited for loads.
inline constexpr std::chrono::milliseconds command_timeout{200};

/// Time limits of a call that carries a command. They guard against a lease
/// holder that is suspended while it connects to the replica: it resumes after
/// another node has taken over, and its command would be sent under an expired
/// lease, which only replicas that check fencing tokens refuse. The call checks
/// the time again right before its first byte.
/// @param leases the leases under which the command is given
/// @returns the limits; nothing is sent after the lease has expired
inline call_times command_times(partition_leases const& leases) {
    call_times times = short_call_times(command_timeout);
    times.send_before = leases.expires_at();
    return times;
}

} // namespace camphorpoint
