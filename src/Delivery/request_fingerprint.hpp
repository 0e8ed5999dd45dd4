#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Knows a request again by what its caller sends again: each try has an id of
/// its own, and may come to another node. The same on every node.
enum class request_fingerprint : std::uint64_t {};

/// @param method of the request
/// @param host   whose service is asked
/// @param target path and query
/// @param body   whole
/// @returns the digest of a request's content
request_fingerprint fingerprint_request(
    std::string_view method, std::string_view host, std::string_view target,
    std::string_view body) noexcept;

/// @returns sixteen hexadecimal digits, for the log
std::string to_string(request_fingerprint digest);

} // namespace camphorpoint
