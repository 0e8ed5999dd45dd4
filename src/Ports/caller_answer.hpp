#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Ports/http_message.hpp"
#include "Serving/node_action.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// A whole answer of a model engine.
struct completion_text {
    request_id id;
    adapter_ref adapter;
    std::string text;
    std::uint32_t tokens = 0;
};

/// @returns the HTTP status of an outcome before any of the answer was sent
int status_of(outcome how, reason why) noexcept;

/// Adds X-Outcome and X-Reason, and Retry-After in whole seconds, rounded up.
void add_outcome(http_fields& fields, finish_request const& end);

/// @param end  how the request ended, other than done
/// @param what further words for the caller's developers; may be empty
/// @returns the answer
http_response error_answer(finish_request const& end, std::string_view what);

/// @returns the last event of a stream
std::string outcome_event(finish_request const& end);

/// @returns the answer in the form of a chat completion, as JSON
std::string write_completion(completion_text const& whole);

/// Turns a kept chat completion into a stream's events, without the outcome.
/// @param completion as write_completion wrote it
std::string stream_of_completion(std::string_view completion);

} // namespace camphorpoint
