#pragma once

#include "Limits/body_budget.hpp"
#include "Ports/connection_end.hpp"
#include "Ports/http_message.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace camphorpoint {

/// One request and the means to answer it, whole or as a stream.
class http_exchange {
public:
    class connection;

    /// @param link    where the answer goes; must outlive the exchange
    /// @param request what the caller asked
    http_exchange(connection& link, http_request request);

    /// @returns what the caller asked
    http_request const& request() const noexcept { return request_; }
    /// Sends a whole answer.
    /// @returns false when the caller is gone
    boost::asio::awaitable<bool> respond(http_response response);
    /// Sends the header of a streamed answer.
    /// @returns false when the caller is gone
    boost::asio::awaitable<bool> begin_stream(int status, http_fields fields);
    /// Sends a piece of a streamed answer.
    /// @returns false when the caller is gone or does not read
    boost::asio::awaitable<bool> write_piece(std::string_view piece);
    /// Ends a streamed answer.
    /// @returns false when the caller is gone
    boost::asio::awaitable<bool> end_stream();
    /// Calls back once if the caller closes its connection before this
    /// exchange has ended.
    /// @param gone called on the connection's executor
    void on_caller_gone(std::function<void()> gone);
    /// Looks whether the caller has closed its connection, and calls back if
    /// so. The loop learns of it later, after what else it has to do.
    void check_caller();

private:
    connection* link_;
    http_request request_;
};

/// What a server takes from one connection.
struct http_limits {
    std::uint64_t body_bytes = 1U << 20U;
    std::uint32_t header_bytes = 16U << 10U;
    /// How long a caller may take to send a request's header and body.
    std::chrono::milliseconds read_timeout{10'000};
    /// How long a connection may stay without a request.
    std::chrono::milliseconds idle_timeout{15'000};
    /// How long a caller may leave a piece of the answer unread.
    std::chrono::milliseconds write_timeout{10'000};
    std::size_t connections = 4'096;
    /// Bytes of all requests' bodies together; past it requests are refused.
    std::uint64_t bodies_in_all = 64U << 20U;
    /// What the bodies count against. Null for a budget of bodies_in_all that
    /// the server has for itself.
    std::shared_ptr<body_budget> bodies = nullptr;
};

/// Answers one exchange.
using http_handler =
    std::function<boost::asio::awaitable<void>(http_exchange&)>;

/// An HTTP/1.1 server on one address, over Boost.Beast.
class http_server {
public:
    http_server(
        boost::asio::any_io_executor executor, http_limits limits,
        http_handler handler);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// Binds and listens.
    /// @param address port 0 takes any free one
    /// @returns the reason when the address cannot be had, empty on success
    std::string listen(ip_address const& address);
    /// @returns the port that is listened on
    std::uint16_t port() const noexcept;
    /// Takes no further connections; those that are open go on.
    void stop_accepting();
    /// Lets each connection end: those without a request now, the others with
    /// their answer, which says so. Requests that wait behind others are
    /// answered first, for a second from the first call of this or of
    /// announce_end on; later ones are never read.
    void finish_connections();
    /// Each answer from here on ends its connection, except one behind which a
    /// request waits, for a second.
    void announce_end();
    /// Sets a condition under which new connections are closed unread, so that
    /// their callers go to another server at once.
    /// @param overloaded called for each new connection
    void refuse_while(std::function<bool()> overloaded);
    /// Sets what takes the ends of connections, except those by callers after a
    /// whole answer.
    void observe_ends(connection_end_observer observer);
    /// Limits for requests that are read from here on, also on connections that
    /// are open. A connection keeps its first idle time at least.
    void set_limits(http_limits limits);
    /// Closes everything. Requests without a whole answer are reported.
    void close();
    /// @returns how many connections were closed unread because of overload
    std::uint64_t refused_connections() const noexcept;
    /// @returns how many connections are open
    std::size_t open_connections() const noexcept;

private:
    class state;
    std::shared_ptr<state> state_;
};

} // namespace camphorpoint
