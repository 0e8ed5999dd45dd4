#pragma once

#include "Core/time.hpp"
#include "Ports/http_message.hpp"
#include "Ports/http_pool.hpp"
#include "Records/answer_trace.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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

/// The times that bound a call.
struct call_times {
    /// Not a byte is sent from here on; a call that is still being sent is
    /// closed.
    instant send_before = instant::max();
    /// Here the call is closed, whatever its state.
    instant close_at = instant::max();
    /// For the connection, the header, and each piece of the answer.
    std::chrono::milliseconds each_step{5'000};
    /// For the connection alone; a shorter each_step goes first.
    std::chrono::milliseconds connect{5'000};
    /// Takes a connection of its own, not a kept one, on which an answer to an
    /// earlier request may come late.
    bool fresh = false;
    /// A kept connection that was idle for longer is not taken.
    duration idle_at_most = duration::max();
    /// A header field that each answer repeats from its request. An answer that
    /// repeats another one's is read and thrown away, and so is one that
    /// repeats none on a connection that has served an earlier request: a
    /// server may send answers that are late, or that belong to no request. No
    /// two requests with the same value share a connection, since a late copy
    /// of the first one's answer would count as the second one's.
    std::string echoed;
    /// Gives the call an id of its own in the field `echoed`, for a call that
    /// is not a caller's request, such as an order. The server need not repeat
    /// this id: an answer without one counts on a connection on which no other
    /// kind of call was answered without one, unless a further answer has
    /// arrived behind it. A late answer without an id that arrives alone still
    /// counts as the answer to the next of these calls.
    bool own_id = false;
};

/// One call, whose answer is read piece by piece.
class http_call {
public:
    /// @param executor where it runs
    /// @param pool     where connections are taken from and given back to; null
    ///                 for a connection of its own. Must outlive the call.
    explicit http_call(
        boost::asio::any_io_executor executor, http_pool* pool = nullptr);
    /// Closes a call that has not ended.
    ~http_call();
    http_call(http_call const&) = delete;
    http_call& operator=(http_call const&) = delete;

    /// Connects, sends the request and reads the answer's header.
    /// @param to      the server
    /// @param request what to send; a copy is made
    /// @param times   bounds that hold for the whole call
    /// @returns answered when the header has come; not_sent only when no byte
    ///          can have left
    boost::asio::awaitable<call_result>
    open(ip_address to, http_request request, call_times times);
    /// Connects.
    /// @returns false when no connection was made: nothing was sent
    boost::asio::awaitable<bool>
    connect(ip_address const& to, std::chrono::milliseconds timeout);
    /// Sends the request and reads the answer's header.
    /// @returns false when the header did not come: the request may have run
    boost::asio::awaitable<bool>
    send(http_request request, std::chrono::milliseconds timeout);
    /// @returns the answer's status, after open
    int status() const noexcept;
    /// @returns all header fields of the answer, after open
    http_fields fields() const;
    /// @returns true when the answer's end is told by the connection's end
    bool ends_with_connection() const;
    /// @returns a header field of the answer, after open
    std::string field(std::string_view name) const;
    /// Reads on, within the times that open was given.
    /// @returns a piece; empty at the answer's end; nothing when it was cut
    boost::asio::awaitable<std::optional<std::string>> next_piece();
    /// Reads on.
    /// @param timeout how long to wait for the next piece
    boost::asio::awaitable<std::optional<std::string>>
    next_piece(std::chrono::milliseconds timeout);
    /// Reads the rest of an answer that is not wanted, so that its connection
    /// can be used again. Closes the connection when the rest is longer, or
    /// takes longer, than a new connection is worth.
    boost::asio::awaitable<void> skip_rest();
    /// Bounds the wait for each piece from here on.
    void limit_silence(std::chrono::milliseconds longest);
    /// @returns what the answer's body counts against; null without a pool
    answer_budget* budget() const noexcept;
    boost::asio::any_io_executor const& executor() const noexcept;
    /// @returns the server's address, after open
    std::string server() const;
    /// @returns when the call is closed, after open
    instant close_at() const noexcept;
    /// Closes the connection, since what came is no answer.
    void reject();
    /// Closes the connection; a read in progress ends as cut.
    void cancel();
    /// @returns true when the call was cancelled
    bool cancelled() const noexcept;
    /// @returns true when the server was silent for too long; false while the
    ///          call goes on, and when the connection was closed or reset
    bool timed_out() const noexcept;
    /// @returns true when the connection ended before the answer had; false
    ///          when the server was silent, its answer could not be read, or
    ///          the call was cancelled
    bool broke_off() const noexcept;
    /// @returns true when the server has sent bytes that are no answer:
    ///          malformed, longer than any answer, not this request's, or with
    ///          a status that is none
    bool invalid() const noexcept;
    /// @returns true when the answer names the request, or the request has no
    ///          name; after open
    bool names_request() const;
    /// @returns answers to other requests that came before this one's
    unsigned strays() const noexcept;
    /// @returns how the answer has arrived so far
    answer_trace const& trace() const noexcept;
    /// @returns true when the connection had served an earlier call
    bool reused() const noexcept;
    /// @returns the number of the connection that carries the call; 0 before
    ///          there is one
    std::uint64_t connection() const noexcept;

private:
    class state;
    std::shared_ptr<state> state_;
};

/// What fetch brings back.
struct fetch_result {
    call_result how = call_result::not_sent;
    http_response response;
};

/// In bytes. A longer answer is cut: it bounds what a broken server can make a
/// node keep.
inline constexpr std::size_t largest_answer = std::size_t{16} << 20U;

/// In bytes. For the answer to an order or a question for a report, of which a
/// node has one in progress for each replica: twice what a replica that lists
/// 16,000 adapters reports, at a hundred bytes each.
inline constexpr std::size_t largest_control_answer = std::size_t{4} << 20U;

/// In bytes. The rest of an unwanted answer is read for its connection only.
/// On a way of 10 Mbit/s this takes 50 ms, as long as a new connection.
inline constexpr std::size_t largest_skipped_rest = std::size_t{64} << 10U;

/// The rest of an unwanted answer is awaited no longer; see
/// largest_skipped_rest.
inline constexpr std::chrono::milliseconds longest_skipping{50};

/// A call of four steps ends at the latest after this many times its time-out:
/// connection, request, head and body take one each. Guards against a body that
/// comes a byte at a time, for which a time-out of each piece never ends.
inline constexpr int steps_per_call = 4;

/// An answer that comes piece by piece without end is given up after this: the
/// largest that is taken needs 13 s on a way of 10 Mbit/s.
inline constexpr std::chrono::milliseconds longest_answer{20'000};

/// Bounds of a reading whose answer may be large. Guards against an answer that
/// takes its way longer than a call's time: ended by the time since its start
/// it is thrown away and asked for again, for good, and what is thrown away
/// fills the way. So silence ends a reading, not the time that it takes.
/// @param silence for the connection, the header, and each piece
call_times reading_times_of(std::chrono::milliseconds silence);

/// Bounds of a call whose answer is short.
/// @param step for the connection, the request, the header, and each piece
call_times short_call_times(std::chrono::milliseconds step);

/// A body that was read.
struct kept_body {
    std::string text;
    /// Counts the text against its budget; see http_response.
    std::shared_ptr<void const> memory = nullptr;
};

/// How a body is read.
struct body_terms {
    /// In bytes; a longer body is rejected.
    std::size_t largest = largest_answer;
    /// Called with the size of each piece, unless empty.
    std::function<void(std::size_t)> progress = {};
};

/// Reads the body of an answer whose header was read. Where the budget of the
/// call's pool is used up, the rest stays unread until memory is released, or
/// the call is rejected as one that yields.
/// @param body  receives what has come, also of a body that is cut, but not
///              of an answer that is rejected; must outlive the reading
/// @param terms must outlive the reading
/// @returns true when the body came whole
boost::asio::awaitable<bool>
read_body(http_call& call, kept_body& body, body_terms const& terms);

/// Makes a whole call.
/// @param executor where it runs
/// @param to       the server's address
/// @param request  what to send
/// @param timeout  for the connection, the request, the header and each piece;
///                 the body may take longest_answer
/// @returns the answer, or how the call failed
boost::asio::awaitable<fetch_result> fetch(
    boost::asio::any_io_executor executor, ip_address to, http_request request,
    std::chrono::milliseconds timeout);

/// Makes a whole call over a pooled connection.
/// @param call    a call that was not used before
/// @param times   bounds that hold for the whole call
/// @param largest in bytes; a longer body is rejected
boost::asio::awaitable<fetch_result> fetch(
    http_call& call, ip_address to, http_request request, call_times times,
    std::size_t largest = largest_answer);

} // namespace camphorpoint
