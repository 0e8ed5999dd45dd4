#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Identifies what may crash replicas, equally on all nodes: a request over its
/// caller's retries, which have different request ids and may reach different
/// nodes, or a part of prompts that many requests share.
enum class request_fingerprint : std::uint64_t {};

/// Most parts of a prompt that are looked at. Callers name the parts, and the
/// work for a request must not grow with what they send.
inline constexpr std::size_t max_prompt_parts = 8;

/// @param method method of the request
/// @param host   host name of the requested service
/// @param target path and query
/// @param body   the complete body
/// @returns the fingerprint of the request
request_fingerprint fingerprint_request(
    std::string_view method, std::string_view host, std::string_view target,
    std::string_view body) noexcept;

/// @param name the name of the part, as callers give it
/// @returns the fingerprint of a prompt part, whatever else a request holds
request_fingerprint fingerprint_prompt_part(std::string_view name) noexcept;
/// @returns the fingerprint of all prompts that contain both parts, in any
///          order
request_fingerprint fingerprint_combination(
    request_fingerprint left, request_fingerprint right) noexcept;

/// @returns sixteen hexadecimal digits, for the log
std::string to_string(request_fingerprint digest);
/// @returns the same of each, separated by commas
std::string to_string(std::vector<request_fingerprint> const& digests);

} // namespace camphorpoint
