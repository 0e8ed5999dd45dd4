#pragma once

#include "Core/time.hpp"
#include "Ports/http_server.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace standins {

/// Serves until SIGTERM or SIGINT.
/// @param io      the loop
/// @param address where to listen, such as 127.0.0.1:7001
/// @param handler answers each exchange
/// @returns the exit code
int serve_standin(
    boost::asio::io_context& io, std::string const& address,
    camphorpoint::http_handler handler);

/// @returns an answer with a JSON body
camphorpoint::http_response json_response(int status, std::string body);

/// Sends an answer that names its request, as endpoints do.
boost::asio::awaitable<void> respond_named(
    camphorpoint::http_exchange& exchange,
    camphorpoint::http_response response);

/// @returns the monotonic clock's reading; the logic is given it, and reads no
/// clock itself
camphorpoint::instant clock_now() noexcept;

/// @returns milliseconds of the monotonic clock, which all processes of one
/// machine share: execution records of two stand-ins can be compared
std::int64_t in_milliseconds(camphorpoint::instant at) noexcept;

/// Waits.
boost::asio::awaitable<void> wait_for(std::chrono::milliseconds time);

/// Loses an answer: nothing is sent, and the caller's time-out ends the call.
/// @param exchange whose answer is lost
/// @param most     the connection is not held longer than this
boost::asio::awaitable<void> lose_answer(
    camphorpoint::http_exchange& exchange, std::chrono::milliseconds most);

} // namespace standins
