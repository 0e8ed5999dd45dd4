#pragma once

#include "Delivery/attempt_stream.hpp"
#include "Delivery/delivery_position.hpp"

#include <string>

namespace camphorpoint {

/// What may be handed on of a run.
struct joined_events {
    /// The events' bytes.
    std::string text;
    /// How far the caller is once it has them.
    delivery_position position;
    /// False when nothing more of the run may be handed on.
    bool joined = true;
};

/// Takes what has come whole of a run.
/// @param run      the running run
/// @param position how far the caller is; the result's takes its place only
///                 when the events were handed on
joined_events join_events(attempt_stream& attempt, delivery_position position);

} // namespace camphorpoint
