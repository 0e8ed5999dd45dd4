#include "Gateway/gateway_settings.hpp"

#include "Settings/toml_section.hpp"

#include <optional>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds max_time{600'000};
/// Polls of the replica registry within the time for which a leaving replica
/// continues to serve. With two polls, a single failed one is too many: a
/// request reached a replica 63 ms too late.
constexpr int polls = 3;

void read_address(
    toml_section& from, std::string const& key, ip_address& into) {
    std::string const text = from.required_text(key);
    into = parse_address(text);
    if (!text.empty() && into.port == 0) {
        from.complain(key, "must be an address such as \"127.0.0.1:8080\"");
    }
}

double read_real(
    toml_section& from, std::string const& key, double fallback,
    double max_value) {
    std::string const text = from.text(key, std::to_string(fallback));
    char* end = nullptr;
    double const value = std::strtod(text.c_str(), &end);
    bool const fully_parsed = end != text.c_str() && *end == '\0';
    // No comparison holds for a value that is not a number.
    if (!fully_parsed || !(value >= 0 && value <= max_value)) {
        from.complain_replaced(key, "must be a number such as \"0.2\"");
        return fallback;
    }
    return value;
}

void read_node(toml_section section, gateway_settings& into) {
    into.name = node_id(section.required_text("name"));
    into.domain = domain_id(section.required_text("failure_domain"));
    read_address(section, "caller_address", into.caller_address);
    read_address(section, "readiness_address", into.readiness_address);
    read_address(section, "peer_address", into.peer_address);
    read_address(section, "metrics_address", into.metrics_address);
    into.stop_limit = section.time(
        "stop_limit", into.stop_limit, milliseconds(1'000), max_time);
    // The replica view remembers removed replicas for this long.
    into.stream_lifetime = section.time(
        "stream_lifetime", into.stream_lifetime, milliseconds(0),
        default_stream_lifetime);
    into.stop_accepts = section.time(
        "stop_accepts", into.stop_accepts, milliseconds(0), max_time);
    section.refuse_unknown_keys();
}

void read_store(toml_section section, gateway_settings& into) {
    read_address(section, "address", into.store_address);
    into.store_timeout =
        section.time("timeout", into.store_timeout, milliseconds(10), max_time);
    into.registry_poll_interval =
        section.time(
            "leaving_serves", polls * into.registry_poll_interval,
            milliseconds(30), max_time) /
        polls;
    into.replica_heartbeat = section.time(
        "replica_heartbeat", into.replica_heartbeat, milliseconds(10),
        max_time);
    section.refuse_unknown_keys();
}

void read_second_sends(toml_section section, resend_limits& into) {
    constexpr double max_ratio = 10;
    constexpr double max_slack = 1e6;
    into.ratio = read_real(section, "ratio", into.ratio, max_ratio);
    into.slack = read_real(section, "slack", into.slack, max_slack);
    milliseconds const window =
        section.time("window", into.window, milliseconds(1'000), max_time);
    // A longer window allows no more resends than the one that is stated.
    into.window = std::chrono::ceil<std::chrono::seconds>(window);
    section.refuse_unknown_keys();
}

void read_leases(toml_section section, lease_times& into) {
    // Nodes with different leases would not agree on who holds one.
    section.distrust_defaults();
    into.lease = section.time("lease", into.lease, milliseconds(200), max_time);
    into.renewal =
        section.time("renewal", into.renewal, milliseconds(50), max_time);
    into.settling =
        section.time("settling", into.settling, milliseconds(0), max_time);
    into.outage_extension = section.time(
        "outage_extension", into.outage_extension, milliseconds(0), max_time);
    into.replicas_check_fencing =
        section.boolean("fences_checked", into.replicas_check_fencing);
    if (into.lease < 2 * into.renewal) {
        section.complain(
            "lease", "must be at least twice the renewal, or one lost answer "
                     "ends the lease");
    }
    section.refuse_unknown_keys();
}

} // namespace

gateway_settings read_gateway_settings(
    std::string const& file, std::string_view text, findings& problems,
    findings& replaced) {
    gateway_settings result;
    std::optional<toml::table> const parsed = parse_toml(file, text, problems);
    if (!parsed) {
        return result;
    }
    toml_section root(file, "", *parsed, problems, replaced);
    read_node(root.table("gateway"), result);
    read_store(root.table("store"), result);
    read_second_sends(root.table("second_sends"), result.resends);
    read_leases(root.table("leases"), result.leases);
    root.refuse_unknown_keys();
    return result;
}

gateway_settings read_gateway_settings(
    std::string const& file, std::string_view text, findings& problems) {
    return read_gateway_settings(file, text, problems, problems);
}

bool is_gateway_settings(std::string_view text) {
    findings ignored;
    auto const parsed = parse_toml("", text, ignored);
    return parsed && parsed->contains("gateway");
}

} // namespace camphorpoint
