#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"
#include "Membership/membership_action.hpp"
#include "Records/engine_order.hpp"
#include "Records/log_record.hpp"
#include "Serving/peer_message.hpp"
#include "Telemetry/log_event.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint {

/// Sends a request to an endpoint.
struct start_attempt {
    request_id id;
    std::uint32_t attempt = 0;
    endpoint_id endpoint;
    std::string address;
    endpoint_kind kind = endpoint_kind::engine;
    /// Sent to the engine. The answer must name the same adapter.
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    /// Greater than 0: resume the stream on the engine after this many tokens.
    /// 0: start from the beginning, and discard answer tokens that were
    /// buffered from an earlier attempt.
    std::uint32_t from_token = 0;
    /// The id under which the engine knows the stream.
    request_id engine_id;
    /// The grant expires at this time. No byte may be sent afterwards.
    instant send_before;
    /// The attempt is aborted at this time.
    instant deadline;
    /// True to return the complete answer in attempt_ended.
    bool return_answer = false;
};

/// Stops an attempt and closes its connection. An attempt_ended always follows:
/// either cancelled or, when the attempt ended before, its own result.
struct cancel_attempt {
    request_id id;
    std::uint32_t attempt = 0;
    /// False: the engine must abort the request immediately. True: the engine
    /// may continue for its grace period for unread streams, since the caller
    /// has event ids and may resume the stream through any node.
    bool keep_for_resume = false;
};

/// Sends the caller the outcome of its request. It is the request's last action
/// towards the caller.
struct finish_request {
    request_id id;
    outcome how = outcome::unknown;
    reason why = reason::none;
    /// When the caller should retry. Zero when unspecified.
    std::chrono::milliseconds retry_after{};
    /// The stored answer of an earlier request with the same key.
    std::string kept_answer;
};

/// Reads a stream of the log.
struct read_log {
    log_stream stream = log_stream::configuration;
    log_offset from;
};

/// Appends to a stream of the log.
struct append_log {
    std::uint64_t append = 0;
    log_stream stream = log_stream::configuration;
    std::string data;
};

/// Sends a message to a peer over TCP.
struct send_peer {
    node_id to;
    peer_message message;
};

/// The drain is complete: the process may leave the cluster and exit.
struct drain_finished {};

/// Sends an operator the outcome of a change.
struct publish_ended {
    std::uint64_t number = 0;
    /// True when the change is in the log and all nodes accept it.
    bool accepted = false;
    /// False when it is unknown whether the change is in the log.
    bool known = true;
    log_offset offset;
    /// All reasons for which the change was rejected.
    std::vector<std::string> problems;
};

/// Increments a counter of refusals, retries, or late or misdirected events
/// that were dropped, by reason.
struct count_reason {
    enum class kind : std::uint8_t {
        refusal,
        retry,
        dropped
    } what = kind::refusal;
    reason why = reason::none;
};

/// Records a duration in a histogram.
struct observe_time {
    enum class kind : std::uint8_t {
        load_stall,
        queueing,
        first_token,
        request
    } what = kind::queueing;
    duration time{};
};

/// Any action that the decision core of a node can request.
using node_action = std::variant<
    start_attempt, cancel_attempt, finish_request, read_log, append_log,
    engine_order, send_peer, publish_ended, count_reason, observe_time,
    log_event, send_probe, drain_finished>;

} // namespace camphorpoint
