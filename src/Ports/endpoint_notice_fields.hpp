#pragma once

#include "Limits/endpoint_notice.hpp"
#include "Ports/http_message.hpp"

#include <chrono>

namespace camphorpoint {

/// Decodes for how long a server that is unavailable wants no requests.
/// Source: RFC 9110, section 10.2.3; fractions of a second are accepted.
/// @returns zero when the answer names no time that can be read; the longest of
///          several, a day at most
std::chrono::milliseconds
read_retry_after(int status, http_fields const& fields);

/// Decodes the notice in an answer of an engine or of a plain service.
endpoint_notice read_endpoint_notice(int status, http_fields const& fields);

} // namespace camphorpoint
