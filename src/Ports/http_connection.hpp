#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <utility>

namespace camphorpoint::internal {

/// One client connection and what was read from it beyond the last answer.
struct http_connection {
    explicit http_connection(boost::asio::any_io_executor executor)
        : stream(std::move(executor)) {}

    /// Closes without a further byte: what the kernel still holds back is
    /// thrown away instead of sent.
    void abort() noexcept;
    /// @returns true when the server has neither closed it nor sent anything
    bool idle() noexcept;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

} // namespace camphorpoint::internal
