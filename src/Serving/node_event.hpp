#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Records/engine_order.hpp"
#include "Records/instance_record.hpp"
#include "Records/log_record.hpp"
#include "Serving/peer_message.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace camphorpoint {

/// A caller asks for work by profile.
struct caller_request {
    request_id id;
    profile_name profile;
    std::optional<idempotency_key> key;
    /// Hash of the request's body: a key that comes back with another is
    /// refused.
    std::uint64_t body_digest = 0;
    /// From now on; the profile's default applies when absent.
    std::optional<std::chrono::milliseconds> deadline;
    std::uint32_t expected_tokens = 0;
    std::uint64_t prefix_hash = 0;
    /// Whose retry budget it counts against, such as a caller's API key.
    std::string caller_group;
};

/// A caller asks for the rest of a stream that was cut, through any node.
struct caller_resume {
    request_id id;
    /// The request whose stream was cut.
    request_id original;
    /// The endpoint that ran it, from the stream's event ids.
    endpoint_id endpoint;
    adapter_ref adapter;
    std::uint32_t from_token = 0;
    std::optional<std::chrono::milliseconds> deadline;
};

/// The caller closed its connection.
struct caller_disconnected {
    request_id id;
};

/// How sending one request to one endpoint ended.
enum class attempt_result : std::uint8_t {
    completed,
    /// No byte can have left: the deadline of the grant had passed, or no
    /// connection was made.
    not_sent,
    /// The endpoint refused before running: adapter not loaded.
    refused_not_loaded,
    /// The endpoint refused before running: overloaded or leaving.
    refused_busy,
    /// The answer bore another adapter, version or id; it was dropped.
    mismatch,
    /// The stream broke off, or was shorter than announced.
    truncated,
    /// An error status after the request was taken.
    failed,
    timed_out,
    cancelled
};

/// The first or a further piece of an answer went on to the caller.
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
    /// Tokens that came from the engine whole, over all attempts, also those
    /// held back for a caller who wants the answer in one piece.
    std::uint32_t received = 0;
    /// The whole answer, kept for repeats; empty when the request has no key.
    std::string answer;
    int status = 0;
};

/// A read of the log failed or was too late.
struct log_read_failed {
    log_stream stream = log_stream::configuration;
};

/// An append has ended.
struct log_append_ended {
    std::uint64_t append = 0;
    append_result how = append_result::appended;
    log_offset offset;
};

/// An order has ended.
struct command_ended {
    std::uint64_t command = 0;
    order_result how = order_result::done;
};

/// A message from a peer.
struct peer_received {
    node_id from;
    peer_message message;
};

/// A datagram from a peer, as it came; it may be broken or forged.
struct probe_received {
    std::string datagram;
};

/// A peer could not be reached over TCP, or a connection that may have held
/// messages not yet delivered has broken.
struct peer_unreachable {
    node_id peer;
};

/// An operator publishes a change through this node.
struct publish_request {
    std::uint64_t number = 0;
    /// The encoded change record.
    std::string record;
};

/// Time has passed; sent every tick_period.
struct tick {};

/// A planned stop begins (SIGTERM or camphorpoint drain).
struct drain_started {};

/// All that can happen to a node's decisions.
using node_event = std::variant<
    caller_request, caller_resume, caller_disconnected, attempt_progress,
    attempt_ended, log_batch, log_read_failed, log_append_ended, instance_list,
    engine_report, command_ended, peer_received, peer_unreachable,
    publish_request, tick, drain_started, probe_received>;

/// How often a node's decisions see a tick.
inline constexpr std::chrono::milliseconds tick_period{20};

} // namespace camphorpoint
