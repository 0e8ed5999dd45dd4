#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Keys/key_messages.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace camphorpoint {

/// Instructs the node to send a message about keys to a peer.
struct key_send {
    node_id to;
    std::variant<
        key_permission_request, key_reply, key_completion, key_completion_ack,
        key_heartbeat, key_handover>
        message;
};

/// The decision on a request that carries an idempotency key. Each request gets
/// exactly one.
struct key_decision {
    request_id request;
    /// With `run` the entry node starts the request and reports its outcome
    /// with entry_key_tracker::complete. With any other verdict the request is
    /// not started, and the verdict is final. `wait` does not occur.
    key_verdict verdict = key_verdict::refused;
    reason why = reason::none;
    std::string answer;
    std::chrono::milliseconds retry_after{};
};

/// Instructs the node to warn the operator that a peer's calendar clock differs
/// too much from this node's clock.
struct key_clock_skew {
    node_id peer;
    /// How far the peer's clock is ahead of this node's clock; negative when it
    /// is behind.
    std::chrono::milliseconds ahead{};
};

/// Any action that the key owner or the entry node requests.
using key_action = std::variant<key_send, key_decision, key_clock_skew>;

/// @param verdict a final verdict other than `run`
/// @returns the outcome that a request completes with under the verdict
constexpr outcome outcome_of(key_verdict verdict) noexcept {
    switch (verdict) {
    case key_verdict::answer:
        return outcome::done;
    case key_verdict::refused:
        return outcome::not_run;
    default:
        return outcome::unknown;
    }
}

} // namespace camphorpoint
