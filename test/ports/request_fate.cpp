#include "test/ports/request_fate.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <string>

namespace camphorpoint::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

/// @returns true when the text begins with a whole answer
bool begins_with_answer(std::string const& text) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::system::error_code error;
    parser.put(asio::buffer(text), error);
    return !error && parser.is_done();
}

/// @returns true when the peer's kernel has reset the connection
bool was_reset(tcp::socket& caller) {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(caller.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error != 0;
}

/// The end of a connection can arrive before the reset that answers bytes which
/// were sent at the same time.
asio::awaitable<request_fate> await_reset(tcp::socket& caller) {
    constexpr milliseconds patience{700};
    constexpr milliseconds step{10};
    for (milliseconds waited{0}; waited < patience; waited += step) {
        asio::steady_timer timer(caller.get_executor(), step);
        co_await timer.async_wait(use_result);
        if (was_reset(caller)) {
            co_return request_fate::reset;
        }
    }
    co_return request_fate::read_unanswered;
}

} // namespace

void request_fates::add(request_fate what) {
    answered += what == request_fate::answered ? 1 : 0;
    reset += what == request_fate::reset ? 1 : 0;
    read_unanswered += what == request_fate::read_unanswered ? 1 : 0;
}

boost::system::error_code send_now(tcp::socket& caller, std::string_view text) {
    boost::system::error_code error;
    asio::write(caller, asio::buffer(text), error);
    return error;
}

asio::awaitable<request_fate> read_fate(tcp::socket& caller) {
    std::string got;
    std::array<char, 4'096> piece{};
    for (;;) {
        auto const [error, size] =
            co_await caller.async_read_some(asio::buffer(piece), use_result);
        got.append(piece.data(), size);
        if (begins_with_answer(got)) {
            co_return request_fate::answered;
        }
        if (error == asio::error::eof) {
            co_return co_await await_reset(caller);
        }
        if (error) {
            co_return request_fate::reset;
        }
    }
}

} // namespace camphorpoint::testing
