#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string_view>

namespace camphorpoint::testing {

/// What became of a request, as its caller sees it.
enum class request_fate : std::uint8_t {
    pending,
    /// A whole answer has come.
    answered,
    /// The server's kernel has reset the connection: the request was not read.
    reset,
    /// The server has read the request and has closed the connection.
    read_unanswered
};

/// Counts of what became of requests.
struct request_fates {
    int answered = 0;
    int reset = 0;
    int read_unanswered = 0;

    int sum() const { return answered + reset + read_unanswered; }
    void add(request_fate what);
};

/// Sends without running the loop.
boost::system::error_code
send_now(boost::asio::ip::tcp::socket& caller, std::string_view text);
/// Reads until the answer is whole or the connection has ended.
boost::asio::awaitable<request_fate>
read_fate(boost::asio::ip::tcp::socket& caller);

} // namespace camphorpoint::testing
