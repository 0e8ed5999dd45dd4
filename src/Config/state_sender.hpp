#pragma once

#include "Config/config_messages.hpp"
#include "Core/ids.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace camphorpoint {

/// One part that is due to be sent.
struct due_part {
    node_id to;
    config_state message;
};

/// Sends whole states to peers, one part for each peer and tick, so that a
/// transfer neither fills a connection nor holds up the event loop.
class state_sender {
public:
    /// How many peers are served at once; each holds a copy of the state.
    static constexpr std::size_t most_transfers = 2;

    /// Begins a transfer, in place of an earlier one to the same peer.
    /// @returns false when too many are under way
    bool begin(
        node_id const& to, std::uint64_t number,
        configuration_state const& state);
    /// @returns the parts to send now
    std::vector<due_part> take_due();

private:
    struct outgoing {
        node_id to;
        std::uint64_t number = 0;
        std::deque<state_part> parts;
    };
    std::vector<outgoing> transfers_;
};

} // namespace camphorpoint
