#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// Settings of the scheduler of one replica.
struct scheduler_settings {
    endpoint_id replica;
    /// Number of adapters that the engine can hold at the same time.
    std::uint32_t adapter_slots = 8;
    /// Maximum number of sequences in the engine's batch.
    std::uint32_t batch_limit = 16;
    /// Maximum number of queued requests in each urgency class.
    std::size_t queue_limit = 256;
    /// Time after the grant within which an entry node must send the request.
    std::chrono::milliseconds send_within{1'000};
    /// Safety margin that the owner adds to `send_within` before it treats a
    /// grant as expired.
    std::chrono::milliseconds grant_margin{500};
    /// Upper bound of the running time of a request.
    std::chrono::milliseconds longest_request{120'000};
    /// An entry node that has sent no message for this long is treated as
    /// crashed.
    std::chrono::milliseconds heartbeat_timeout{5'000};
    /// If a request has waited this long for a load, an adapter that is in use
    /// is drained to free its slot.
    std::chrono::milliseconds blocked_wait_limit{500};
    /// Interval at which pending load requests are repeated to the owner of the
    /// weight store.
    std::chrono::milliseconds load_request_interval{500};
    /// Time limit of a load command. Its result is declared lost after twice
    /// this time.
    std::chrono::milliseconds load_timeout{15'000};
    /// Time limit of an evict command. Its result is declared lost after twice
    /// this time.
    std::chrono::milliseconds evict_timeout{1'000};
    /// Backoff after a failed load of an adapter: initial and maximum delay.
    std::chrono::milliseconds first_backoff{500};
    std::chrono::milliseconds longest_backoff{30'000};
    /// Number of consecutive failed loads after which queued requests for the
    /// adapter are refused.
    std::uint32_t failures_before_refusal = 2;
    /// Initial estimates until times are measured: the time per token, the
    /// number of tokens of an answer, and the time of a load.
    std::chrono::milliseconds token_time{20};
    std::uint32_t answer_tokens = 100;
    std::chrono::milliseconds load_time{400};
    /// Whether adapters are loaded before a request waits for them, such as
    /// after a restart of the engine.
    bool prefetch_adapters = true;
    /// Whether requests for resident adapters are still granted when the
    /// authority of this owner has expired but no newer claim is known, as in
    /// an outage of the log. Commands are never sent then. See
    /// docs/design/load-scheduling.md for what this requires of engines.
    bool grants_when_lapsed = true;
    /// A grant request is refused, and the entry node tries another replica, if
    /// the expected wait for a slot of the batch is longer than this. Applies
    /// to attempts numbered up to `redirect_attempts`.
    std::chrono::milliseconds redirect_wait{1'500};
    /// An adapter whose requests fill at least this fraction of the batch is
    /// worth loading at another replica too. Its requests are redirected as
    /// soon as the batch is nearly full.
    double replication_batch_fraction = 0.06;
    /// Fraction of the batch limit from which the batch counts as nearly full.
    double nearly_full_fraction = 0.9;
    /// Highest number of an attempt that may be redirected.
    std::uint32_t redirect_attempts = 2;
    /// Number of the first command. Different values keep the command numbers
    /// of a node's replicas distinct.
    std::uint64_t first_command = 1;
    /// Seed of the jitter of backoff delays.
    std::uint64_t seed = 1;
};

} // namespace camphorpoint
