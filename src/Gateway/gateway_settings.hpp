#pragma once

#include "Core/findings.hpp"
#include "Core/ids.hpp"
#include "Delivery/resend_budget.hpp"
#include "Delivery/stream_origins.hpp"
#include "ReplicaControl/partition_leases.hpp"
#include "Settings/node_settings.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Settings of a gateway node. docs/SETTINGS.md lists the keys.
struct gateway_settings {
    node_id name;
    domain_id domain;
    ip_address caller_address;
    ip_address readiness_address;
    /// UDP address for messages between nodes.
    ip_address peer_address;
    ip_address metrics_address;
    ip_address store_address;
    /// Time-out of each call to the store, in addition to the time for which
    /// the call asks the store to wait.
    std::chrono::milliseconds store_timeout{800};
    /// Minimum time between polls of the replica registry.
    std::chrono::milliseconds registry_poll_interval{670};
    /// Interval at which each replica writes its registry entry.
    std::chrono::milliseconds replica_heartbeat{1'000};

    /// Callers resume a stream within this time after it has begun or was last
    /// resumed.
    std::chrono::milliseconds stream_lifetime = default_stream_lifetime;

    /// A planned shutdown ends after this time, even if requests are running.
    std::chrono::milliseconds stop_limit{8'000};
    /// New connections are accepted for this long after a shutdown has begun.
    /// They continue to arrive for about two seconds, since the platform polls
    /// the readiness of a node once a second and requires two failed polls.
    std::chrono::milliseconds stop_accepts{2'600};
    /// New connections are closed unread while an event waits longer than this
    /// until the loop handles it. A request takes some turns of the loop, and
    /// callers give up one that is not read within a second or less.
    std::chrono::milliseconds max_loop_delay{100};
    resend_limits resends;
    lease_times leases;
};

/// Parses the settings of a gateway node.
/// @param file     the file name that findings name
/// @param text     the content of the file (TOML)
/// @param problems receives the findings; settings with findings must not be
///                 used
gateway_settings read_gateway_settings(
    std::string const& file, std::string_view text, findings& problems);
/// Parses the settings of a gateway node that starts whenever it can.
/// @param replaced receives the findings in whose place a default is used that
///                 is safe
gateway_settings read_gateway_settings(
    std::string const& file, std::string_view text, findings& problems,
    findings& replaced);

/// @returns true when the text contains the settings of a gateway node rather
///          than those of a node that serves profiles
bool is_gateway_settings(std::string_view text);

} // namespace camphorpoint
