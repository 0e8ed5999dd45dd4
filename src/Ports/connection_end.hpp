#pragma once

#include "Core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Why a server's connection was closed, or why a request on it got no whole
/// answer of the handler.
enum class connection_end : std::uint8_t {
    /// Closed unread when it was new, as the server is overloaded.
    overload,
    /// Closed unread when it was new, as too many are open.
    connection_limit,
    /// Closed between two requests, after idle_timeout.
    idle,
    /// Closed between two requests, as the server ends.
    shutdown,
    /// Bytes came behind the request whose answer ended the connection.
    behind_last,
    /// The caller closed in the middle of a request.
    half_request,
    /// A request did not arrive within read_timeout.
    read_timeout,
    /// A request is larger than allowed.
    too_large,
    /// The bytes are no HTTP request.
    bad_request,
    /// The bodies of all requests together are larger than allowed.
    body_budget,
    /// The caller closed before the answer was whole.
    caller_gone,
    /// The caller left the answer unread for write_timeout.
    write_timeout,
    /// The handler ended without an answer.
    unanswered,
    /// The handler ended within an answer.
    cut,
    /// The handler threw.
    handler_failed,
    /// The server was closed.
    closed
};

/// The number of reasons.
constexpr std::size_t connection_end_count =
    static_cast<std::size_t>(connection_end::closed) + 1;

/// @returns the reason as it is logged, such as read-timeout
std::string_view to_string(connection_end why) noexcept;

/// One end of a connection.
struct connection_end_report {
    connection_end why = connection_end::closed;
    /// Id of the request without a whole answer, when its head was read.
    std::string id;
    /// Status of the answer that the server gave by itself; 0 for none.
    int status = 0;
    /// Bytes that were read of requests without an answer of the handler.
    std::uint64_t bytes_read = 0;
    /// Bytes that had arrived and were not read.
    std::uint64_t bytes_unread = 0;
};

/// Takes the ends of a server's connections.
using connection_end_observer =
    std::function<void(connection_end_report const& end)>;

/// Ends with the same reason.
struct connection_end_sum {
    connection_end why = connection_end::closed;
    std::uint64_t connections = 0;
    std::uint64_t bytes_read = 0;
    std::uint64_t bytes_unread = 0;
};

/// Decides which ends are logged one by one, and sums up the others, so that a
/// flood of connections makes few lines.
class connection_end_summary {
public:
    /// Takes an end.
    /// @returns true when it is to be logged by itself; else it is in a sum
    bool add(connection_end_report const& end, instant now);
    /// @returns the sums of a second that has passed, by reason; those without
    ///          any are left out
    std::vector<connection_end_sum> take(instant now);
    /// @returns the sums of all ends since the last call
    std::vector<connection_end_sum> take_all();

private:
    std::array<connection_end_sum, connection_end_count> sums_{};
    instant second_began_{};
    unsigned logged_ = 0;
    instant taken_at_{};
};

} // namespace camphorpoint
