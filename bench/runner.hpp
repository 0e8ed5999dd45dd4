#pragma once

#include "figures.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint::bench {

/// @returns the policies' names, baselines first
std::vector<std::string> const& policy_names();

/// Runs one policy over one trace.
/// @param workload the preset
/// @param input    the trace; the same one serves all policies
/// @param policy   one of policy_names()
/// @param seed     of the trace and of the store's failures
/// @param what     the fault
/// @returns the figures
run_result run_policy(
    preset const& workload, trace const& input, std::string_view policy,
    std::uint64_t seed, fault what);

} // namespace camphorpoint::bench
