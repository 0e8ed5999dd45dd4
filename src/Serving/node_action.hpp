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

/// Send a request to an endpoint.
struct start_attempt {
    request_id id;
    std::uint32_t attempt = 0;
    endpoint_id endpoint;
    std::string address;
    endpoint_kind kind = endpoint_kind::engine;
    /// Named to the engine; the answer's echo must be the same.
    adapter_ref adapter;
    urgency how_urgent = urgency::normal;
    /// More than 0 resumes a stream on the engine; 0 starts afresh, and what
    /// was held back from an earlier attempt is thrown away.
    std::uint32_t from_token = 0;
    /// The id that the engine knows the stream by.
    request_id engine_id;
    /// Not a byte may be sent past this time: the grant has lapsed.
    instant send_before;
    /// The whole attempt is cut off here.
    instant deadline;
    /// True when the whole answer is wanted in attempt_ended.
    bool return_answer = false;
};

/// Stop an attempt and close its connection.
/// An attempt_ended always follows, cancelled or as it had ended before.
struct cancel_attempt {
    request_id id;
    std::uint32_t attempt = 0;
    /// False: the engine is told to end the run at once. True: it is left to
    /// the engine's grace for runs that nobody reads, since the caller has
    /// event ids and may resume the stream through any node.
    bool keep_for_resume = false;
};

/// Tell the caller how its request ended. It is the request's last action.
struct finish_request {
    request_id id;
    outcome how = outcome::unknown;
    reason why = reason::none;
    /// When the caller should come back; zero when there is nothing to say.
    std::chrono::milliseconds retry_after{};
    /// A kept answer of an earlier run under the same key.
    std::string kept_answer;
};

/// Read a stream of the log.
struct read_log {
    log_stream stream = log_stream::configuration;
    log_offset from;
};

/// Append to a stream of the log.
struct append_log {
    std::uint64_t append = 0;
    log_stream stream = log_stream::configuration;
    std::string data;
};

/// Send a message to a peer over TCP.
struct send_peer {
    node_id to;
    peer_message message;
};

/// Nothing of this node is needed any more: it may leave and the process end.
struct drain_finished {};

/// Tell an operator what became of the change.
struct publish_ended {
    std::uint64_t number = 0;
    /// True when the change is in the log and every node accepts it.
    bool accepted = false;
    /// False when it is not known whether the change stands in the log.
    bool known = true;
    log_offset offset;
    /// Why it was rejected, all reasons.
    std::vector<std::string> problems;
};

/// Count a refusal, a retry, or something that came too late or to the wrong
/// place and was dropped, under its reason.
struct count_reason {
    enum class kind : std::uint8_t {
        refusal,
        retry,
        dropped
    } what = kind::refusal;
    reason why = reason::none;
};

/// Record a time in a histogram.
struct observe_time {
    enum class kind : std::uint8_t {
        load_stall,
        queueing,
        first_token,
        request
    } what = kind::queueing;
    duration time{};
};

/// All that a node's decisions can ask for.
using node_action = std::variant<
    start_attempt, cancel_attempt, finish_request, read_log, append_log,
    engine_order, send_peer, publish_ended, count_reason, observe_time,
    log_event, send_probe, drain_finished>;

} // namespace camphorpoint
