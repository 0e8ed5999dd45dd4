#pragma once

#include "Core/outcome.hpp"
#include "Ports/http_message.hpp"
#include "Serving/node_event.hpp"

#include <string>
#include <variant>

namespace camphorpoint {

/// What a caller wants the answer to look like.
enum class answer_form : std::uint8_t {
    /// Server-sent events, token by token.
    stream,
    /// One JSON object when the answer is whole.
    whole,
    /// A plain service's answer, as it stands.
    service
};

/// A caller asks for work.
struct caller_work {
    caller_request request;
    answer_form form = answer_form::whole;
    /// What the endpoint is sent.
    std::string body;
};

/// A caller asks for the rest of a cut stream.
struct caller_rest {
    caller_resume request;
};

/// A caller asks for an idempotency key and the node's time.
struct caller_key_wish {};

/// A request that can't be read. It did not run.
struct caller_refusal {
    int status = 400;
    reason why = reason::bad_request;
    /// What is wrong with it, for the caller's developers.
    std::string what;
};

/// All that callers can ask.
using caller_wish =
    std::variant<caller_work, caller_rest, caller_key_wish, caller_refusal>;

/// Reads a request of any origin.
/// @param request as it came
/// @param id      given to work that is asked for
caller_wish read_caller_wish(http_request const& request, request_id id);

} // namespace camphorpoint
