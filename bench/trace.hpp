#pragma once

#include "preset.hpp"

#include <cstdint>
#include <vector>

namespace camphorpoint::bench {

/// One request to a model engine, as it reaches its entry node.
struct trace_request {
    instant arrival;
    std::uint32_t adapter = 0;
    std::uint32_t work_class = 0;
    std::uint32_t tokens = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint64_t prefix = 0;
    std::uint32_t node = 0;
    /// The adapter's place by true popularity when the request came; 0 is the
    /// most wanted.
    std::uint32_t rank = 0;
};

/// One call of a plain service.
struct trace_call {
    instant arrival;
    duration service_time{};
};

/// From then on requests for an adapter mean its next version.
struct version_change {
    instant when;
    std::uint32_t adapter = 0;
};

/// All that comes from outside in one run; it is the same for all policies.
struct trace {
    std::vector<trace_request> requests;
    std::vector<trace_call> calls;
    std::vector<version_change> changes;
};

/// After the warm-up's end: when faults begin.
inline constexpr std::chrono::seconds fault_start{60};

/// @param workload what to draw from
/// @param seed     the same seed gives the same trace
/// @param what     a popularity shift changes the trace, other faults don't
/// @returns a trace over warm-up and measured time
trace make_trace(preset const& workload, std::uint64_t seed, fault what);

} // namespace camphorpoint::bench
