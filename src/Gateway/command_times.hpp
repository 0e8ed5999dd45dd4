#pragma once

#include "Ports/http_client.hpp"
#include "ReplicaControl/partition_leases.hpp"

#include <chrono>

namespace camphorpoint {

/// A replica answers an order within a few milliseconds. One without answer is
/// given again, so nothing is lost by a short wait. With 700 ms replicas that
/// leave half of their orders unanswered took one a second, while hundreds of
/// requests waited for loads.
inline constexpr std::chrono::milliseconds command_timeout{200};

/// Times of the call that carries an order.
/// Guards against a holder that is suspended while it connects to the replica:
/// it wakes after another has taken over, and its order would leave on a lapsed
/// lease, which only replicas that check fencing numbers refuse. The call looks
/// at the time again right before its first byte.
/// @param leases by which the order is given
/// @returns the times; nothing is sent after the lease has ended
inline call_times command_times(partition_leases const& leases) {
    call_times times;
    times.each_step = command_timeout;
    times.send_before = leases.expires_at();
    return times;
}

} // namespace camphorpoint
