#pragma once

#include "Core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// Where in which engine's stream a caller stands. It travels as the id of each
/// event, so that any node can resume a cut stream: nodes keep nothing.
struct stream_position {
    endpoint_id endpoint;
    adapter_ref adapter;
    /// What the engine knows the stream by.
    request_id engine_request;
    /// Index of the token that the caller lacks next.
    std::uint32_t next_token = 0;
};

/// @returns the position as an event's id: a JSON list in one line
std::string write_position(stream_position const& position);
/// @param text a Last-Event-ID, of any origin
/// @returns the position, or nothing when the text is none
std::optional<stream_position> read_position(std::string_view text);

} // namespace camphorpoint
