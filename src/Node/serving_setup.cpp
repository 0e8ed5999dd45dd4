#include "Node/serving_setup.hpp"

#include <fmt/format.h>

namespace camphorpoint {

namespace {

std::string text_of(ip_address const& address) {
    return fmt::format("{}:{}", address.host, address.port);
}

} // namespace

serving_settings make_serving_settings(
    node_settings const& settings, std::uint64_t run, std::uint64_t seed) {
    serving_settings result;
    result.self.id = settings.name;
    result.self.domain = settings.domain;
    result.self.peer_address = text_of(settings.peer_address);
    result.self.caller_address = text_of(settings.caller_address);
    result.start_time_ms = run;
    result.seed = seed;
    result.requests = settings.requests;
    result.ownership = settings.ownership;
    result.configuration = settings.configuration;
    result.key_owner = settings.keys;
    result.members = settings.members;
    return result;
}

} // namespace camphorpoint
