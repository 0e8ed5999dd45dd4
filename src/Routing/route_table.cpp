#include "Routing/route_table.hpp"

#include <algorithm>
#include <cassert>
#include <limits>

namespace camphorpoint {

namespace {

/// Joins host and prefix by a line break, which a host never contains, so that
/// different pairs never give the same key.
std::string route_key(std::string_view host, std::string_view prefix) {
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    key.append(host);
    key.push_back('\n');
    key.append(prefix);
    return key;
}

} // namespace

service_definition const*
routing_configuration::find_service(service_id const& name) const noexcept {
    auto const found =
        std::ranges::find(services, name, &service_definition::name);
    return found == services.end() ? nullptr : &*found;
}

route_table::route_table(routing_configuration const& configuration)
    : routes_(configuration.routes) {
    for (std::size_t index = 0; index < routes_.size(); ++index) {
        service_route const& each = routes_[index];
        index_by_key_.emplace(route_key(each.host, each.path_prefix), index);
    }
}

service_route const*
route_table::find(std::string_view host, std::string_view path) const {
    host = host.substr(0, host.find(':'));
    path = path.substr(0, path.find('?'));
    std::size_t slash = path.rfind('/');
    while (slash != std::string_view::npos) {
        auto const found =
            index_by_key_.find(route_key(host, path.substr(0, slash + 1)));
        if (found != index_by_key_.end()) {
            return &routes_[found->second];
        }
        slash =
            slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1);
    }
    return nullptr;
}

service_id const&
pick_service(service_route const& route, std::uint64_t request_hash) {
    assert(!route.weighted_services.empty() && "a route leads to a service");
    double total = 0;
    for (weighted_service const& each : route.weighted_services) {
        total += each.weight;
    }
    constexpr auto max_hash = std::numeric_limits<std::uint64_t>::max();
    double remaining = total * static_cast<double>(request_hash) /
                       static_cast<double>(max_hash);
    for (weighted_service const& each : route.weighted_services) {
        remaining -= each.weight;
        if (remaining < 0) {
            return each.service;
        }
    }
    return route.weighted_services.back().service;
}

} // namespace camphorpoint
