#pragma once

#include "Ports/http_server.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint::testing {

/// One loop for a test's servers and clients, on ports that are free.
class loopback {
public:
    /// Runs the loop until the condition holds.
    /// @returns false when it doesn't within a generous time
    bool run_until(std::function<bool()> const& holds);
    /// Runs a coroutine to its end.
    void run(std::function<boost::asio::awaitable<void>()> work);
    boost::asio::any_io_executor executor() { return io_.get_executor(); }
    boost::asio::io_context& io() { return io_; }

private:
    boost::asio::io_context io_{1};
};

/// A server that does what its script says with the bytes of each connection,
/// to fail as real servers do.
class raw_server {
public:
    using socket_type = boost::asio::ip::tcp::socket;
    using script =
        std::function<boost::asio::awaitable<void>(socket_type& socket)>;

    raw_server(loopback& loop, script what);
    ip_address address() const;
    /// @returns how many connections came
    std::size_t connections() const noexcept { return *connections_; }

private:
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::shared_ptr<std::size_t> connections_;
};

/// Reads a request's header and body.
boost::asio::awaitable<std::string>
read_request(raw_server::socket_type& socket);
/// Writes bytes as they stand.
boost::asio::awaitable<void>
write_text(raw_server::socket_type& socket, std::string text);
/// Reads until the other side closes, or until the text has come.
boost::asio::awaitable<std::string>
read_until(raw_server::socket_type& socket, std::string text);
/// Connects.
boost::asio::awaitable<raw_server::socket_type> connect_to(ip_address address);

/// @returns the local address of a server
ip_address local(std::uint16_t port);
/// @returns an address on which nothing listens, by TCP or UDP, and that no
///          other process is given
ip_address unused_address();

} // namespace camphorpoint::testing
