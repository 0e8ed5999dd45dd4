#pragma once

#include "Gateway/gateway_state.hpp"
#include "Ports/http_message.hpp"
#include "ReplicaControl/replica_command.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace camphorpoint {

/// How an order to a replica ended.
struct order_outcome {
    command_result answer = command_result::no_answer;
    /// The answer announces the replica's shutdown.
    bool leaving = false;
};

/// Sends an order, within the leases' time. An answer without an id that came
/// on a kept connection, and that tells of another controller or another
/// replica, may be an earlier order's: the order is then sent once more on a
/// connection of its own. Its expected sequence keeps it from running twice.
/// @param state   must outlive the call
/// @param id      the replica, whose reachability is recorded
/// @param to      its address
/// @param request the order
/// @param token   the fencing number in it, without which this node sends no
///                order again
/// @returns the result that the last answer states
boost::asio::awaitable<order_outcome> send_order(
    gateway_state& state, endpoint_id id, ip_address to, http_request request,
    std::uint64_t token);

} // namespace camphorpoint
