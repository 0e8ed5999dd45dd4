#pragma once

#include "Core/findings.hpp"
#include "Core/ids.hpp"
#include "Delivery/resend_budget.hpp"
#include "ReplicaControl/partition_leases.hpp"
#include "Settings/node_settings.hpp"

#include <chrono>
#include <string>
#include <string_view>

namespace camphorpoint {

/// What a gateway node is told at its start. docs/SETTINGS.md lists the keys.
struct gateway_settings {
    node_id name;
    domain_id domain;
    ip_address caller_address;
    ip_address readiness_address;
    /// UDP between nodes.
    ip_address peer_address;
    ip_address metrics_address;
    ip_address store_address;
    /// Bounds each call to the store beside its own waiting.
    std::chrono::milliseconds store_timeout{800};
    /// How often the list of replicas is read at the most.
    std::chrono::milliseconds registry_poll_interval{670};

    /// A planned stop is cut off after this.
    std::chrono::milliseconds stop_limit{8'000};
    /// New connections are taken for so long after a stop has begun. They come
    /// for about two seconds, since the platform asks once a second whether a
    /// node is ready and wants two misses.
    std::chrono::milliseconds stop_accepts{2'600};
    resend_limits resends;
    lease_times leases;
};

/// Reads a gateway node's settings; whatever is wrong goes to the findings.
/// @param file     the name that findings bear
/// @param text     the file's content (TOML)
/// @param problems where findings go; settings with findings are not for use
gateway_settings read_gateway_settings(
    std::string const& file, std::string_view text, findings& problems);

/// @returns true when the text holds a gateway node's settings rather than
///          those of a node that serves profiles
bool is_gateway_settings(std::string_view text);

} // namespace camphorpoint
