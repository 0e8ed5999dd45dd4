#pragma once

#include "Delivery/attempt_stream.hpp"
#include "Delivery/delivery_position.hpp"

#include <string>

namespace camphorpoint {

/// The events of an attempt that may be forwarded to the caller.
struct joined_events {
    /// Bytes of the events.
    std::string text;
    /// Number of these events, without those that hold comments only.
    unsigned count = 0;
    /// Position of the caller once it has received them.
    delivery_position position;
    /// False when nothing further of the attempt may be forwarded: an event
    /// does not follow the previous ones or is too long.
    bool joined = true;
};

/// Collects the complete events received so far that continue the caller's
/// stream.
/// @param attempt  the current attempt; complete events are removed from it
/// @param position the caller's position before these events
/// @returns the events and the new position, to be adopted once the events have
///          been forwarded
joined_events join_events(attempt_stream& attempt, delivery_position position);

} // namespace camphorpoint
