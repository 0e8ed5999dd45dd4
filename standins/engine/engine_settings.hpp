#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace standins {

/// How an engine stand-in behaves.
struct engine_settings {
    /// A step takes base + per_sequence for each sequence in the batch.
    std::chrono::milliseconds step_base{10};
    std::chrono::microseconds step_per_sequence{500};
    std::uint32_t batch_limit = 8;
    /// Requests that wait for a place in the batch; more are refused.
    std::uint32_t waiting_limit = 32;
    std::uint32_t adapter_slots = 8;
    /// True refuses an order that bears a lower fencing number than an earlier.
    bool checks_fencing = false;
    /// True evicts an adapter that requests run on, and records the violation.
    bool evicts_under_use = false;
    /// Share of loads that fail.
    double failing_loads = 0;
    std::uint64_t seed = 1;
    /// Loading from memory to the accelerator, after the fetch.
    std::chrono::milliseconds load_time{100};
    std::chrono::milliseconds report_lag{200};
    /// How long a run goes on that nobody reads.
    std::chrono::milliseconds unread_grace{5'000};
    /// How long a finished or cut stream can be resumed.
    std::chrono::milliseconds kept_streams{60'000};
    std::uint32_t default_tokens = 16;
};

} // namespace standins
