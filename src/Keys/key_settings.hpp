#pragma once

#include <chrono>
#include <cstddef>

namespace camphorpoint {

/// How keys are remembered. docs/operating/keys.md says how to size these.
struct key_settings {
    /// A key older than this is no longer taken; a record outlives it by
    /// twice the clock error. A day covers a phone that was off over night.
    std::chrono::milliseconds retention{std::chrono::hours(24)};
    /// How far a key's time may be ahead of the owner's clock.
    std::chrono::milliseconds ahead_limit{1'000};
    /// How far the calendar clocks of two nodes may be apart.
    std::chrono::milliseconds clock_error{500};
    /// Records that one node keeps over all its shards.
    std::size_t most_records = 100'000;
    /// Answers that one node keeps over all its shards, in bytes.
    std::size_t most_answer_bytes = 32U << 20U;
    /// A longer answer is not kept: the record says done without it.
    std::size_t longest_answer = 16U << 10U;
    /// A longer key is refused.
    std::size_t longest_key = 128;
    /// Requests that may wait for one running key.
    std::size_t most_waiters = 16;
    /// A running key that no heartbeat names for so long becomes unknown.
    std::chrono::milliseconds entry_timeout{5'000};
    /// What callers are told to wait before they ask again.
    std::chrono::milliseconds retry_after{1'000};
};

/// How an entry node asks.
struct entry_key_settings {
    /// An unanswered ask is sent again after this.
    std::chrono::milliseconds request_retry_interval{200};
    /// A joined request asks again after this, in case its owner changed.
    std::chrono::milliseconds waiting_retry_interval{1'000};
    /// Without an owner's word for so long, the request gets its final answer.
    std::chrono::milliseconds owner_wait_budget{3'000};
    /// Idempotent work runs without an owner's word after this.
    std::chrono::milliseconds idempotent_wait_budget{500};
    /// How often running keys are named to their owners.
    std::chrono::milliseconds heartbeat_period{1'000};
    /// How long an end is sent again to an owner that does not note it, and
    /// how long a withdrawn request is remembered.
    std::chrono::milliseconds completion_retention{600'000};
    /// Ended requests remembered at the most.
    std::size_t most_completed = 10'000;
    /// What callers are told to wait before they ask again.
    std::chrono::milliseconds retry_after{1'000};
};

} // namespace camphorpoint
