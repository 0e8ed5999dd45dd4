#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Identifies a request over its caller's retries, which have different request
/// ids and may reach different nodes. Equal on all nodes.
enum class request_fingerprint : std::uint64_t {};

/// @param method method of the request
/// @param host   host name of the requested service
/// @param target path and query
/// @param body   the complete body
/// @returns the fingerprint of the request
request_fingerprint fingerprint_request(
    std::string_view method, std::string_view host, std::string_view target,
    std::string_view body) noexcept;

/// @returns sixteen hexadecimal digits, for the log
std::string to_string(request_fingerprint digest);

} // namespace camphorpoint
