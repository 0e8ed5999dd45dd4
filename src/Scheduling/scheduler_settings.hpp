#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace camphorpoint {

/// What the scheduler of one replica is told at its start.
struct scheduler_settings {
    endpoint_id replica;
    /// Adapters that the engine holds at once.
    std::uint32_t adapter_slots = 8;
    /// Sequences that the engine batches at the most.
    std::uint32_t batch_limit = 16;
    /// Requests that may wait, in each urgency class.
    std::size_t queue_limit = 256;
    /// An entry node must have sent within this time of the grant.
    std::chrono::milliseconds send_within{1'000};
    /// The owner counts a grant as usable for this much longer.
    std::chrono::milliseconds grant_margin{500};
    /// No request runs longer than this.
    std::chrono::milliseconds longest_request{120'000};
    /// An entry node that is silent this long counts as dead.
    std::chrono::milliseconds heartbeat_timeout{5'000};
    /// Requests that wait this long for a load take a slot from an adapter
    /// that is in use.
    std::chrono::milliseconds blocked_wait_limit{500};
    /// How often a want is told to the weight store's owner again.
    std::chrono::milliseconds load_request_interval{500};
    /// A load's answer is waited for this long.
    std::chrono::milliseconds load_timeout{15'000};
    /// An eviction may travel this long, and no longer.
    std::chrono::milliseconds evict_timeout{1'000};
    /// First and longest pause after an adapter's load failed.
    std::chrono::milliseconds first_backoff{500};
    std::chrono::milliseconds longest_backoff{30'000};
    /// After so many failures waiting requests are refused.
    std::uint32_t failures_before_refusal = 2;
    /// Assumed until measured: time of one token, tokens of an answer, a load.
    std::chrono::milliseconds token_time{20};
    std::uint32_t answer_tokens = 100;
    std::chrono::milliseconds load_time{400};
    /// Adapters that are loaded ahead of demand, such as after a cold start.
    bool prefetch_adapters = true;
    /// Whether grants for resident adapters go on while authority has lapsed
    /// but no newer claim is known, as in an outage of the log. Orders never
    /// do. See docs/design/load-scheduling.md for what that asks of engines.
    bool grants_when_lapsed = true;
    /// The first asks of a request are refused when it would wait longer than
    /// this for a place in the batch: its entry node then asks elsewhere.
    std::chrono::milliseconds redirect_wait{1'500};
    /// An adapter that fills this share of the batch by itself is worth a copy
    /// elsewhere: its asks are refused as soon as the batch is nearly full.
    double replication_batch_fraction = 0.06;
    /// How full the batch is then.
    double nearly_full_fraction = 0.9;
    /// How many asks of one request may be refused so.
    std::uint32_t redirect_attempts = 2;
    /// Orders are numbered from here; keeps a node's replicas apart.
    std::uint64_t first_command = 1;
    /// Seed of the jitter of backoffs.
    std::uint64_t seed = 1;
};

} // namespace camphorpoint
