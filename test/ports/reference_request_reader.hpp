#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint::testing {

/// A request as the reference reader reads it.
struct reference_request {
    std::string method;
    std::string target;
    std::string body;
    /// Where it ends in the bytes of the connection.
    std::size_t end = 0;

    bool operator==(reference_request const&) const = default;
};

/// How the bytes of a connection end.
enum class reference_end : std::uint8_t {
    /// Behind a whole request, or before the next one is whole.
    open,
    /// With a request that asks for the end of the connection.
    last,
    /// With bytes that have to be refused.
    refused
};

/// All requests of a connection, and its end.
struct reference_reading {
    std::vector<reference_request> requests;
    reference_end end = reference_end::open;
};

/// Reads all bytes of a connection at once, by the grammar of RFC 9112. It
/// shares no code with the server.
/// @param bytes      what a caller has sent
/// @param body_limit longest body in bytes
reference_reading
read_by_reference(std::string_view bytes, std::uint64_t body_limit);

} // namespace camphorpoint::testing
