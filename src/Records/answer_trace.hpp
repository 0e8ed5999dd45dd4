#pragma once

#include "Core/time.hpp"

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// What became of the connection of a call.
enum class connection_state : std::uint8_t {
    /// It was alive to the last, or was closed by this node.
    alive,
    /// The endpoint closed it before the answer was complete.
    closed,
    /// It was reset.
    reset,
    /// The endpoint's host did not acknowledge what was sent to it.
    dead
};

/// @returns the name for log lines
constexpr std::string_view to_string(connection_state value) noexcept {
    switch (value) {
    case connection_state::closed:
        return "closed";
    case connection_state::reset:
        return "reset";
    case connection_state::dead:
        return "dead";
    default:
        return "alive";
    }
}

/// How the answer of one call arrived. Time in which this node did not read,
/// because its own caller is slow, is not silence of the endpoint.
struct answer_trace {
    /// True when any part of the answer arrived.
    bool answered = false;
    /// The endpoint's silence at the end of the call: since the last part of
    /// the answer, or since the sending of the request; zero when the answer
    /// was complete.
    duration silence{};
    /// The longest silence, the last one included.
    duration longest_silence{};
    connection_state connection = connection_state::alive;
};

} // namespace camphorpoint
