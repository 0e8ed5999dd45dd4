#pragma once

#include "Routing/routing_configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// Finds the route of a request. A look-up takes a hash for each slash of the
/// path, however many routes there are.
class route_table {
public:
    route_table() = default;
    /// @param configuration its routes are copied
    explicit route_table(routing_configuration const& configuration);

    /// @param host the request's host, a port behind it is left out
    /// @param path the request's path; a query behind it is left out
    /// @returns the route with the longest prefix, null when there is none
    service_route const*
    find(std::string_view host, std::string_view path) const;
    /// @returns how many routes there are
    std::size_t size() const noexcept { return routes_.size(); }

private:
    std::vector<service_route> routes_;
    std::unordered_map<std::string, std::size_t> index_by_key_;
};

/// Picks one of a route's services by their weights; one request always gets
/// the same one.
/// @param route a route with at least one share
/// @param draw  a hash of the request
service_id const&
pick_service(service_route const& route, std::uint64_t request_hash);

} // namespace camphorpoint
