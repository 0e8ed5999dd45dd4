#pragma once

#include "Load/planned_request.hpp"
#include "Ports/http_message.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// @returns the digest by which an engine's records know the request, or the
/// body's hash by which a service's do
std::uint64_t work_of(planned_request const& planned);

/// @returns the request as a node is sent it
/// @param key the idempotency key, empty for none
http_request node_request(planned_request const& planned, std::string key);
/// @returns the request as an engine is sent it without a node
http_request engine_request_of(
    planned_request const& planned, adapter_ref const& adapter,
    std::string const& id);
/// @returns the request for the rest of a stream
/// @param request_id as the answer bore it
/// @param last_event the id of the last event that came
http_request
resume_request(std::string const& request_id, std::string const& last_event);

/// @returns the body of a call to a plain service
std::string service_body(planned_request const& planned);

/// How an answer says that it ended.
struct stated_end {
    bool stated = false;
    std::string outcome;
    std::string why;
};

/// Reads the outcome of a stream's last event.
stated_end read_outcome_event(std::string_view data);

} // namespace camphorpoint
