#pragma once

#include "Config/follower_settings.hpp"
#include "Core/findings.hpp"
#include "Core/ids.hpp"
#include "Keys/key_settings.hpp"
#include "Membership/membership_settings.hpp"
#include "Ownership/ownership_settings.hpp"
#include "Serving/serving_settings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// An IP number and a port.
struct ip_address {
    std::string host;
    std::uint16_t port = 0;
    friend auto operator<=>(ip_address const&, ip_address const&) = default;
};

/// @param text such as 127.0.0.1:8080
/// @returns the address; port 0 when the text has no such form
ip_address parse_address(std::string_view text);

/// What one node is told at its start. docs/SETTINGS.md lists the keys.
struct node_settings {
    node_id name;
    domain_id domain;
    ip_address caller_address;
    ip_address operator_address;
    /// TCP and UDP between nodes.
    ip_address peer_address;
    ip_address log_address;
    ip_address instance_list_address;
    std::chrono::milliseconds log_poll{200};
    std::chrono::milliseconds instance_poll{500};
    /// How often an owner asks its replicas for their reports.
    std::chrono::milliseconds report_poll{500};
    /// Bounds each call to the platform.
    std::chrono::milliseconds platform_timeout{5'000};
    std::chrono::milliseconds drain_limit{120'000};
    std::uint64_t body_limit = 1U << 20U;

    /// Section [limits].
    request_settings requests;
    ownership_settings ownership;
    follower_settings configuration;
    key_settings keys;
    membership_settings members;
};

/// @returns the policy's code in settings, such as refuse-when-isolated
std::string_view staleness_name(staleness_policy policy) noexcept;
/// @returns the policy of that code, or nothing
std::optional<staleness_policy> parse_staleness(std::string_view name) noexcept;

/// Reads a node's settings; whatever is wrong goes to the findings.
/// @param file     the name that findings bear
/// @param text     the file's content (TOML)
/// @param problems where findings go; settings with findings are not for use
/// @returns the settings
node_settings read_node_settings(
    std::string const& file, std::string_view text, findings& problems);

} // namespace camphorpoint
