#pragma once

#include "Membership/quota_shares.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// Where this node learns which nodes are members.
enum class member_source : std::uint8_t {
    /// The members are the nodes in the platform's instance list.
    platform_list,
    /// A node becomes a member when it sends a message, when the platform or a
    /// gossiped update names it, or when it appears in another node's member
    /// list. Its id is its peer address. For platforms whose instance list has
    /// no nodes.
    gossip
};

/// Settings of membership: intervals, timeouts and limits.
struct membership_settings {
    member_source source = member_source::platform_list;
    /// Interval between probe rounds. A round probes the neighbours and one
    /// random node.
    std::chrono::milliseconds probe_period{1'000};
    /// Number of neighbours that each round probes: the nodes that follow this
    /// node in the order of ids.
    std::size_t neighbours = 2;
    /// Time without an ack to a direct probe after which other nodes are asked
    /// for indirect probes.
    std::chrono::milliseconds ack_timeout{300};
    /// Number of nodes that are asked for an indirect probe.
    std::size_t indirect_probers = 3;
    /// Time that a suspected node has to refute the suspicion.
    std::chrono::milliseconds suspicion_timeout{3'000};
    /// How long a report that an endpoint is leaving overrides the platform's
    /// instance list, which lags behind.
    std::chrono::milliseconds leaving_report_lifetime{60'000};
    /// Maximum number of updates that a probe carries.
    std::size_t updates_per_probe = 6;
    /// Consecutive failed calls after which this node treats an endpoint as
    /// suspect.
    std::size_t endpoint_failure_threshold = 3;
    /// A call that reaches its deadline counts as failed only when the endpoint
    /// has been silent for this long, over all its calls. A healthy endpoint
    /// may stand still for a second or more.
    std::chrono::milliseconds endpoint_silence_limit{3'000};
    /// How long a suspect endpoint gets no requests before it is tried again.
    std::chrono::milliseconds endpoint_retry_delay{5'000};
    /// How long a dead member still counts among the nodes that share a limit,
    /// if the members come from gossip. A member that was declared dead may
    /// only be unreachable and still use its quota share; if the other nodes
    /// divided the limit among themselves at once, the limit would be exceeded.
    /// The member is removed afterwards.
    std::chrono::milliseconds dead_member_retention{60'000};
    /// Number of quota units into which each common limit is divided and which
    /// the platform assigns to the nodes; 0 if the platform assigns none.
    std::size_t quota_unit_count = 0;
    quota_loan_times quota_loans;
    /// Number of nodes to which this node announces itself on each tick, of
    /// those that the platform names. With this number a hundred nodes receive
    /// the announcement within one or two seconds, and no link is saturated.
    std::size_t announcements_per_tick = 8;
    /// Interval between member list requests of a node that has just started,
    /// or that knows an eighth fewer members than a peer. When all nodes
    /// start at the same time, each knows all others within some seconds.
    std::chrono::milliseconds initial_sync_interval{500};
    /// Number of member list requests that a node which has just started sends
    /// at `initial_sync_interval`. Nodes that start together each know only
    /// some of the others, so the first lists are incomplete.
    std::size_t initial_syncs = 8;
    /// Minimum interval between member list requests otherwise. It is extended
    /// so that the lists take at most `sync_bytes_per_s`. Updates travel on the
    /// probes; the member lists are the anti-entropy that replaces lost
    /// updates.
    std::chrono::milliseconds min_sync_interval{2'000};
    /// Bytes per second for member lists: one fifth of the 5 KB/s that a node
    /// may spend on control traffic.
    std::size_t sync_bytes_per_s = 1'000;
};

} // namespace camphorpoint
