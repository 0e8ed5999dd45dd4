#pragma once

#include "Ports/http_message.hpp"
#include "engine/engine_run.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace standins {

/// Reads a chat completion request.
/// @param request        body.model is "adapter@version"
/// @param default_tokens applies when the body names no max_tokens
/// @returns what to run, or nothing when the request is malformed
std::optional<run_order> read_completion(
    camphorpoint::http_request const& request, std::uint32_t default_tokens);

/// @returns one token's event as it stands on the wire
std::string token_event(engine_run const& run, std::uint32_t index);

/// @returns the events that end a whole answer: the one with finish_reason and
/// usage, and [DONE]
std::string closing_events(engine_run const& run);

} // namespace standins
