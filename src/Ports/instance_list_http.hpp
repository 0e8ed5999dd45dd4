#pragma once

#include "Ports/concepts.hpp"
#include "Ports/http_pool.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <optional>
#include <string_view>

namespace camphorpoint {

/// Reads the platform's list. An entry without id or address is left out, the
/// others are kept.
/// @param body of any origin
/// @returns the list, or nothing when the body is no list
std::optional<instance_list> parse_instance_list(std::string_view body);

/// The platform's list of instances over HTTP.
class instance_list_http {
public:
    /// @param executor where calls run
    /// @param address  of the list's service
    /// @param pool     must outlive the port
    /// @param timeout  bounds the silence of a reading
    instance_list_http(
        boost::asio::any_io_executor executor, ip_address address,
        http_pool& pool, std::chrono::milliseconds timeout);

    /// @returns the list, or nothing when it did not come in time
    boost::asio::awaitable<std::optional<instance_list>> read();

private:
    boost::asio::any_io_executor executor_;
    ip_address address_;
    http_pool* pool_;
    std::chrono::milliseconds timeout_;
};

static_assert(platform_instances<instance_list_http>);

} // namespace camphorpoint
