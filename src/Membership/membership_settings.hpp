#pragma once

#include "Membership/quota_shares.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// Who takes part.
enum class member_source : std::uint8_t {
    /// Whom the platform's list names.
    platform_list,
    /// Whoever speaks, or is told of by one who knows it. A node's id is its
    /// peer address then. For platforms that list no nodes.
    gossip
};

/// Times and limits of membership.
struct membership_settings {
    member_source source = member_source::platform_list;
    /// How often neighbours and one random node are probed.
    std::chrono::milliseconds probe_period{1'000};
    /// How many neighbours in the order of names are probed each period.
    std::size_t neighbours = 2;
    /// How long a direct probe waits before others are asked to probe.
    std::chrono::milliseconds ack_timeout{300};
    /// How many others are asked.
    std::size_t indirect_probers = 3;
    /// How long a suspected node has to refute.
    std::chrono::milliseconds suspicion_timeout{3'000};
    /// How long a report is believed against the platform's late list.
    std::chrono::milliseconds leaving_report_lifetime{60'000};
    /// How many updates a probe carries.
    std::size_t updates_per_probe = 6;
    /// Failed direct calls in a row after which an endpoint is suspect here.
    std::size_t endpoint_failure_threshold = 3;
    /// How long a suspect endpoint is avoided before it is tried again.
    std::chrono::milliseconds endpoint_retry_delay{5'000};
    /// A dead node that was met still counts among those that share a limit
    /// for so long: it may only be out of reach and go on, and a limit that the
    /// rest shares anew would be overstepped. Then it is forgotten.
    std::chrono::milliseconds dead_member_retention{60'000};
    /// Parts of each common limit that the platform deals to the nodes; 0 where
    /// it deals none.
    std::size_t quota_unit_count = 0;
    quota_loan_times quota_loans;
    /// A node whom the platform names is greeted. So many at a time: a hundred
    /// are greeted in a second or two, and no link is filled by it.
    std::size_t announcements_per_tick = 8;
    /// A node that has just begun, or knows an eighth fewer than a peer, asks
    /// for all names again after this: where all nodes begin at once, each
    /// knows all within some seconds.
    std::chrono::milliseconds initial_sync_interval{500};
    /// So often a node that has just begun asks that soon. Nodes that begin
    /// together know of each other by parts, so the first answers lack some.
    std::size_t initial_syncs = 8;
    /// Otherwise a difference is asked for no more often than this, and so
    /// that names take `sync_bytes_per_s` at most. News travels on the probes;
    /// this mends what was lost of it.
    std::chrono::milliseconds min_sync_interval{2'000};
    /// A fifth of what a node may spend on control, 5 KB a second.
    std::size_t sync_bytes_per_s = 1'000;
};

} // namespace camphorpoint
