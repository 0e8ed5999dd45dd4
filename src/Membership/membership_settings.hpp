#pragma once

#include "Membership/limit_shares.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// Who takes part.
enum class base_set : std::uint8_t {
    /// Whom the platform's list names.
    listed,
    /// Whoever speaks, or is told of by one who knows it. A node's id is its
    /// peer address then. For platforms that list no nodes.
    met
};

/// Times and limits of membership.
struct membership_settings {
    base_set base = base_set::listed;
    /// How often neighbours and one random node are probed.
    std::chrono::milliseconds period{1'000};
    /// How many neighbours in the order of names are probed each period.
    std::size_t neighbours = 2;
    /// How long a direct probe waits before others are asked to probe.
    std::chrono::milliseconds ack_limit{300};
    /// How many others are asked.
    std::size_t helpers = 3;
    /// How long a suspected node has to refute.
    std::chrono::milliseconds suspicion{3'000};
    /// How long a report is believed against the platform's late list.
    std::chrono::milliseconds hold{60'000};
    /// How many updates a probe carries.
    std::size_t updates_per_probe = 6;
    /// Failed direct calls in a row after which an endpoint is suspect here.
    std::size_t endpoint_failures = 3;
    /// How long a suspect endpoint is avoided before it is tried again.
    std::chrono::milliseconds endpoint_retry{5'000};
    /// A dead node that was met still counts among those that share a limit
    /// for so long: it may only be out of reach and go on, and a limit that the
    /// rest shares anew would be overstepped. Then it is forgotten.
    std::chrono::milliseconds dead_shares{60'000};
    /// Parts of each common limit that the platform deals to the nodes; 0 where
    /// it deals none.
    std::size_t dealt_parts = 0;
    share_times shares;
    /// A node whom the platform names is greeted. So many at a time: a hundred
    /// are greeted in a second or two, and no link is filled by it.
    std::size_t greetings_per_tick = 8;
    /// A node that has just begun, or knows an eighth fewer than a peer, asks
    /// for all names again after this: where all nodes begin at once, each
    /// knows all within some seconds.
    std::chrono::milliseconds ask_soon{500};
    /// So often a node that has just begun asks that soon. Nodes that begin
    /// together know of each other by parts, so the first answers lack some.
    std::size_t first_asks = 8;
    /// Otherwise a difference is asked for no more often than this, and so
    /// that names take `ask_bytes_per_s` at most. News travels on the probes;
    /// this mends what was lost of it.
    std::chrono::milliseconds ask_pause{2'000};
    /// A fifth of what a node may spend on control, 5 KB a second.
    std::size_t ask_bytes_per_s = 1'000;
};

} // namespace camphorpoint
