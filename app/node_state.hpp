#pragma once

#include "Core/ids.hpp"
#include "app/node_client.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// What a node's GET /status says of its configuration.
struct node_state {
    std::string address;
    /// False when the node did not answer; nothing else counts then.
    bool reached = false;
    bool ready = false;
    bool draining = false;
    /// One past the newest applied record.
    log_offset configuration;
    std::string digest;
    /// Why it is not ready, as reason codes.
    std::vector<std::string> not_ready;
    /// The whole answer.
    std::string text;
};

/// Asks one node.
node_state read_state(node_client const& node);
/// @returns the operator addresses of --nodes, or --node when there are none
std::vector<std::string> chosen_nodes();
/// Waits until a record is applied on each node.
/// @param nodes  operator addresses
/// @param offset the record
/// @param limit  how long to wait
/// @returns the addresses of the nodes on which it is not in force yet
std::vector<std::string> wait_in_force(
    std::vector<std::string> const& nodes, log_offset offset,
    std::chrono::milliseconds limit);

} // namespace camphorpoint
