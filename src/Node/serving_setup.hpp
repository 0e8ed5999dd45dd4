#pragma once

#include "Serving/serving_settings.hpp"
#include "Settings/node_settings.hpp"

#include <cstdint>

namespace camphorpoint {

/// @param settings of the node
/// @param run      tells this run of the process from earlier ones
/// @param seed     of all random choices
/// @returns what the node's decisions are told at their start
serving_settings make_serving_settings(
    node_settings const& settings, std::uint64_t run, std::uint64_t seed);

} // namespace camphorpoint
