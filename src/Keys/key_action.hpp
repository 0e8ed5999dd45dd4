#pragma once

#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Keys/key_messages.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

namespace camphorpoint {

/// Send a message about keys to a peer.
struct key_send {
    node_id to;
    std::variant<
        key_permission_request, key_reply, key_completion, key_completion_ack,
        key_heartbeat, key_handover>
        message;
};

/// What an entry node may do with a request that bears a key. It is given once
/// for each request.
struct key_decision {
    request_id request;
    /// run: start it, and tell entry_key_tracker::ended how it ended; any other
    /// verdict is the request's last word. `wait` does not occur.
    key_verdict verdict = key_verdict::refused;
    reason why = reason::none;
    std::string answer;
    std::chrono::milliseconds retry_after{};
};

/// Tell the operator that a peer's calendar clock is too far from this node's.
struct key_clock_skew {
    node_id peer;
    /// How far the peer's clock is ahead; below zero when it is behind.
    std::chrono::milliseconds ahead{};
};

/// All that the decisions about keys can ask for.
using key_action = std::variant<key_send, key_decision, key_clock_skew>;

/// @returns the outcome that a request ends with under a final verdict
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
