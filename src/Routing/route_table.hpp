#pragma once

#include "Routing/routing_configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// Finds the route of a request. A lookup takes one hash computation per slash
/// in the path, no matter how many routes there are.
class route_table {
public:
    route_table() = default;
    /// @param configuration source of the routes, which are copied
    explicit route_table(routing_configuration const& configuration);

    /// @param host the request's host; a port after it is ignored
    /// @param path the request's path; a query after it is ignored
    /// @returns the route with the longest matching prefix, or null
    service_route const*
    find(std::string_view host, std::string_view path) const;
    /// @returns all routes, in the order of the configuration
    std::vector<service_route> const& all() const noexcept { return routes_; }
    /// @returns the number of routes
    std::size_t size() const noexcept { return routes_.size(); }

private:
    std::vector<service_route> routes_;
    std::unordered_map<std::string, std::size_t> index_by_key_;
};

/// Selects one of a route's services according to their weights. The same
/// request always gets the same service.
/// @param route a route with at least one service
/// @param request_hash a hash of the request
/// @returns the name of the selected service
service_id const&
pick_service(service_route const& route, std::uint64_t request_hash);

} // namespace camphorpoint
