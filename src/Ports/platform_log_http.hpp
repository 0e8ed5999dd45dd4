#pragma once

#include "Ports/concepts.hpp"
#include "Ports/http_message.hpp"
#include "Ports/http_pool.hpp"
#include "Settings/node_settings.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// @returns the stream's name on the platform's log
std::string_view stream_name(log_stream stream) noexcept;

/// Reads the answer to a read of the log.
/// @param body         of any origin
/// @param stream       what was read
/// @param from         what was asked for
/// @param read_started when the read began
/// @returns the batch; nothing when the body is no such answer, or its records
///          are not in order from the offset that was asked for
std::optional<log_batch> parse_log_batch(
    std::string_view body, log_stream stream, log_offset from,
    instant read_started);

/// Who calls the platform's log, so that its operators can tell its users
/// apart.
struct log_caller {
    node_id node;
    domain_id domain;
};

/// The platform's log over HTTP. Each call says who makes it by X-Node and
/// X-Domain.
class platform_log_http {
public:
    /// @param executor where calls run
    /// @param address  of the log service
    /// @param pool     must outlive the port
    /// @param timeout  bounds the silence of a reading, and an append
    /// @param self     who calls
    platform_log_http(
        boost::asio::any_io_executor executor, ip_address address,
        http_pool& pool, std::chrono::milliseconds timeout, log_caller self);

    /// Reads records from an offset on.
    /// @returns the records, or nothing when the log did not answer in time
    boost::asio::awaitable<std::optional<log_batch>>
    read(log_stream stream, log_offset from);
    /// Appends one record. It is never repeated here: a repeat after a lost
    /// answer would stand in the log twice.
    boost::asio::awaitable<append_outcome>
    append(log_stream stream, std::string data);

private:
    http_request named_request() const;

    boost::asio::any_io_executor executor_;
    ip_address address_;
    http_pool* pool_;
    std::chrono::milliseconds timeout_;
    log_caller self_;
};

static_assert(platform_log<platform_log_http>);

} // namespace camphorpoint
