#pragma once

#include "Ports/carried_ids.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace camphorpoint::internal {

/// In bytes. What is read of a connection before it is parsed: the head of an
/// answer, or what frames a piece of its body. Without a bound it grows with a
/// chunk's extension or a trailer that does not end.
inline constexpr std::size_t largest_framing = std::size_t{64} << 10U;

/// @returns a number that no other connection of this process has, from 1 on
inline std::uint64_t next_connection_number() noexcept {
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

/// One client connection and what was read from it beyond the last answer.
struct http_connection {
    explicit http_connection(boost::asio::any_io_executor executor)
        : stream(std::move(executor))
        , buffer(largest_framing) {}

    /// Closes without a further byte: what the kernel still holds back is
    /// thrown away instead of sent.
    void abort() noexcept;
    /// @returns true when the server has neither closed it nor sent anything
    bool idle() noexcept;

    /// Names it in the log.
    std::uint64_t const number = next_connection_number();
    carried_ids carried;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

} // namespace camphorpoint::internal
