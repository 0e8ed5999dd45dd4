#pragma once

#include "Ports/http_message.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace camphorpoint {

/// How a call to an outside system ended.
enum class call_result {
    /// The answer is whole.
    answered,
    /// No byte of the request can have left this process.
    not_sent,
    /// The request may have arrived; the answer did not, or not whole.
    lost
};

/// One call over its own connection, whose answer is read piece by piece.
class http_call {
public:
    explicit http_call(boost::asio::any_io_executor executor);
    ~http_call();
    http_call(http_call const&) = delete;
    http_call& operator=(http_call const&) = delete;

    /// Connects.
    /// @returns false when no connection was made: nothing was sent
    boost::asio::awaitable<bool>
    connect(ip_address const& to, std::chrono::milliseconds timeout);
    /// Sends the request and reads the answer's header.
    /// @returns false when the header did not come: the request may have run
    boost::asio::awaitable<bool>
    send(http_request request, std::chrono::milliseconds timeout);
    /// @returns the answer's status, after send
    int status() const noexcept;
    /// @returns a header field of the answer, after send
    std::string field(std::string_view name) const;
    /// Reads on.
    /// @param timeout how long to wait for the next piece
    /// @returns a piece; empty at the answer's end; nothing when it was cut
    boost::asio::awaitable<std::optional<std::string>>
    next_piece(std::chrono::milliseconds timeout);
    /// Closes the connection; a read in progress ends as cut.
    void cancel();

private:
    class state;
    std::shared_ptr<state> state_;
};

/// What fetch brings back.
struct fetch_result {
    call_result how = call_result::not_sent;
    http_response response;
};

/// Makes a whole call.
/// @param executor where it runs
/// @param to       the server's address
/// @param request  what to send
/// @param timeout  for the connection, the header and each piece
/// @returns the answer, or how the call failed
boost::asio::awaitable<fetch_result> fetch(
    boost::asio::any_io_executor executor, ip_address to, http_request request,
    std::chrono::milliseconds timeout);

} // namespace camphorpoint
