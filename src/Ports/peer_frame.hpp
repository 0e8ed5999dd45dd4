#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint::internal {

/// @returns the message with its length before it
std::string make_frame(std::string_view message);

/// Reads the next message.
/// @param largest a longer one counts as broken
/// @returns the message, or nothing when the connection ended or is broken
boost::asio::awaitable<std::optional<std::string>>
read_frame(boost::asio::ip::tcp::socket& socket, std::size_t largest);

} // namespace camphorpoint::internal
