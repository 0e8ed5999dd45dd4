#pragma once

#include <chrono>
#include <cstddef>

namespace camphorpoint {

/// Limits and times of the key tables. docs/operating/keys.md describes how to
/// size them.
struct key_settings {
    /// A key older than this is no longer accepted. A record is kept for
    /// longer, by twice the clock error. One day covers a phone that was
    /// switched off overnight.
    std::chrono::milliseconds retention{std::chrono::hours(24)};
    /// How far a key's time may be ahead of the owner's clock.
    std::chrono::milliseconds ahead_limit{1'000};
    /// The maximum accepted difference between the calendar clocks of two
    /// nodes.
    std::chrono::milliseconds clock_error{500};
    /// Maximum number of records on one node, over all its shards.
    std::size_t most_records = 100'000;
    /// Maximum size of the stored answers on one node, over all its shards, in
    /// bytes.
    std::size_t most_answer_bytes = 32U << 20U;
    /// Maximum length of a stored answer in bytes. A longer answer is not
    /// stored: the record says that the work is done, without the answer.
    std::size_t longest_answer = 16U << 10U;
    /// Maximum length of a key in bytes. A longer key is refused.
    std::size_t longest_key = 128;
    /// Maximum number of requests that wait for the execution under one key.
    std::size_t most_waiters = 16;
    /// A running key becomes unknown when no heartbeat has included it for this
    /// long.
    std::chrono::milliseconds entry_timeout{5'000};
    /// The delay before a retry that replies recommend to callers.
    std::chrono::milliseconds retry_after{1'000};
};

/// Times and limits of the permission requests of an entry node.
struct entry_key_settings {
    /// Interval after which an unanswered permission request is sent again.
    std::chrono::milliseconds request_retry_interval{200};
    /// Interval after which a request that waits for another execution of its
    /// key sends its permission request again, in case the owner of the shard
    /// has changed.
    std::chrono::milliseconds waiting_retry_interval{1'000};
    /// A request gets its final verdict when no owner has replied within this
    /// time.
    std::chrono::milliseconds owner_wait_budget{3'000};
    /// Idempotent work is executed without permission when no owner has replied
    /// within this time.
    std::chrono::milliseconds idempotent_wait_budget{500};
    /// Interval of the heartbeats that report running keys to their owners.
    std::chrono::milliseconds heartbeat_period{1'000};
    /// How long a completion is sent repeatedly to an owner that does not
    /// acknowledge it, and how long a withdrawn request is kept.
    std::chrono::milliseconds completion_retention{600'000};
    /// Maximum number of completed requests that are kept.
    std::size_t most_completed = 10'000;
    /// The delay before a retry that replies recommend to callers.
    std::chrono::milliseconds retry_after{1'000};
};

} // namespace camphorpoint
