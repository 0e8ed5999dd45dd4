#include "Settings/node_settings.hpp"

#include "Settings/toml_section.hpp"

#include <fmt/format.h>

#include <charconv>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortest_poll{10};
constexpr milliseconds longest_poll{60'000};
constexpr milliseconds longest_drain{3'600'000};
constexpr std::int64_t smallest_body = 1'024;
constexpr std::int64_t largest_body = 64LL << 20U;

ip_address read_address(toml_section& section, std::string const& key) {
    std::string const text = section.required_text(key);
    ip_address result = parse_address(text);
    if (!text.empty() && result.port == 0) {
        section.complain(key, "must be an address such as \"127.0.0.1:8080\"");
    }
    return result;
}

void refuse_clash(toml_section& section, node_settings const& settings) {
    if (settings.caller_address.port != 0 &&
        settings.caller_address == settings.operator_address) {
        section.complain("operator_address", "is also the caller_address");
    }
}

} // namespace

ip_address parse_address(std::string_view text) {
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    ip_address result;
    result.host = std::string(text.substr(0, colon));
    std::string_view const port = text.substr(colon + 1);
    char const* const last = port.data() + port.size();
    auto const [end, error] = std::from_chars(port.data(), last, result.port);
    if (error != std::errc() || end != last || result.host.empty()) {
        return {};
    }
    return result;
}

node_settings read_node_settings(
    std::string const& file, std::string_view text, findings& problems) {
    node_settings result;
    std::optional<toml::table> const parsed = parse_toml(file, text, problems);
    if (!parsed) {
        return result;
    }
    toml_section root(file, "", *parsed, problems);
    toml_section node = root.table("node");
    result.name = node_id(node.required_text("name"));
    result.domain = domain_id(node.required_text("failure_domain"));
    result.caller_address = read_address(node, "caller_address");
    result.operator_address = read_address(node, "operator_address");
    refuse_clash(node, result);
    result.drain_limit = node.time(
        "drain_limit", result.drain_limit, milliseconds(0), longest_drain);
    result.body_limit = static_cast<std::uint64_t>(node.integer(
        "body_limit_bytes", static_cast<std::int64_t>(result.body_limit),
        smallest_body, largest_body));
    node.refuse_unknown_keys();

    toml_section platform = root.table("platform");
    result.log_address = read_address(platform, "log_address");
    result.instance_list_address =
        read_address(platform, "instance_list_address");
    result.log_poll =
        platform.time("log_poll", result.log_poll, shortest_poll, longest_poll);
    result.instance_poll = platform.time(
        "instance_poll", result.instance_poll, shortest_poll, longest_poll);
    platform.refuse_unknown_keys();
    root.refuse_unknown_keys();
    return result;
}

} // namespace camphorpoint
