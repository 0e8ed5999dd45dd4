#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Delivery/request_fingerprint.hpp"
#include "Limits/endpoint_notice.hpp"
#include "Records/answer_trace.hpp"
#include "Records/engine_order.hpp"
#include "Records/instance_record.hpp"
#include "Records/log_record.hpp"
#include "Serving/peer_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorpoint {

/// A caller submits a request for a profile.
struct caller_request {
    request_id id;
    profile_name profile;
    std::optional<idempotency_key> key;
    /// Hash of the request's body. A repeated key with a different hash is
    /// refused.
    std::uint64_t body_digest = 0;
    /// Relative to the arrival. Without it the profile's default applies.
    std::optional<std::chrono::milliseconds> deadline;
    std::uint32_t expected_tokens = 0;
    std::uint64_t prefix_hash = 0;
    /// Fingerprints of the prompt's parts but the last, which belongs to the
    /// request alone; at most `max_prompt_parts`.
    std::vector<request_fingerprint> prompt_parts;
    /// Group whose retry budget the request uses, for instance a caller's API
    /// key.
    std::string caller_group;
};

/// A caller resumes a truncated stream, through any node.
struct caller_resume {
    request_id id;
    /// The request whose stream was truncated.
    request_id original;
    /// The endpoint that ran the request, taken from the stream's event ids.
    endpoint_id endpoint;
    adapter_ref adapter;
    std::uint32_t from_token = 0;
    std::optional<std::chrono::milliseconds> deadline;
};

/// The caller closed its connection.
struct caller_disconnected {
    request_id id;
};

/// Result of one attempt to run a request on an endpoint.
enum class attempt_result : std::uint8_t {
    completed,
    /// No byte was sent: the grant had expired, or no connection was
    /// established.
    not_sent,
    /// Refused before execution: the adapter is not loaded.
    refused_not_loaded,
    /// Refused before execution: the endpoint is overloaded or leaving.
    refused_busy,
    /// The answer named another adapter, version or id and was dropped.
    mismatch,
    /// The stream broke off, or was shorter than announced.
    truncated,
    /// An error status after the endpoint had accepted the request.
    failed,
    timed_out,
    cancelled
};

/// @returns the name for log lines
constexpr std::string_view to_string(attempt_result value) noexcept {
    switch (value) {
    case attempt_result::completed:
        return "completed";
    case attempt_result::not_sent:
        return "not-sent";
    case attempt_result::refused_not_loaded:
        return "refused-not-loaded";
    case attempt_result::refused_busy:
        return "refused-busy";
    case attempt_result::mismatch:
        return "mismatch";
    case attempt_result::truncated:
        return "truncated";
    case attempt_result::failed:
        return "failed";
    case attempt_result::timed_out:
        return "timed-out";
    default:
        return "cancelled";
    }
}

/// Further tokens of the answer were passed on to the caller.
struct attempt_progress {
    request_id id;
    std::uint32_t attempt = 0;
    std::uint32_t tokens = 0;
};

/// An attempt has ended.
struct attempt_ended {
    request_id id;
    std::uint32_t attempt = 0;
    attempt_result how = attempt_result::completed;
    /// Tokens that reached the caller, over all attempts.
    std::uint32_t tokens = 0;
    /// Tokens received completely from the engine, over all attempts. Includes
    /// tokens buffered for a caller that receives the answer in one piece.
    std::uint32_t received = 0;
    /// The complete answer, stored for repeats of the key. Empty when the
    /// request has no key.
    std::string answer;
    int status = 0;
    /// What the endpoint's answer says of its next requests.
    endpoint_notice notice{};
    /// How the answer arrived.
    answer_trace trace{};
};

/// A read of the log failed or timed out.
struct log_read_failed {
    log_stream stream = log_stream::configuration;
};

/// An append has ended.
struct log_append_ended {
    std::uint64_t append = 0;
    append_result how = append_result::appended;
    log_offset offset;
};

/// A command to an engine has ended.
struct command_ended {
    std::uint64_t command = 0;
    order_result how = order_result::done;
};

/// A message from a peer.
struct peer_received {
    node_id from;
    peer_message message;
};

/// A datagram from a peer as received. It may be malformed or forged.
struct probe_received {
    std::string datagram;
};

/// A peer could not be reached over TCP, or a connection broke that may have
/// held undelivered messages.
struct peer_unreachable {
    node_id peer;
};

/// An operator publishes a change through this node.
struct publish_request {
    std::uint64_t number = 0;
    /// The encoded change record.
    std::string record;
};

/// Time has passed. Sent every tick_period.
struct tick {};

/// A planned shutdown begins (SIGTERM or camphorpoint drain).
struct drain_started {};

/// Any event that the decision core of a node can handle.
using node_event = std::variant<
    caller_request, caller_resume, caller_disconnected, attempt_progress,
    attempt_ended, log_batch, log_read_failed, log_append_ended, instance_list,
    engine_report, command_ended, peer_received, peer_unreachable,
    publish_request, tick, drain_started, probe_received>;

/// Interval between ticks.
inline constexpr std::chrono::milliseconds tick_period{20};

} // namespace camphorpoint
