#pragma once

#include "Config/profile.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// The longest name or identifier in a profile or change, in bytes.
inline constexpr std::size_t longest_name = 128;
/// The longest deadline that a profile may set.
inline constexpr std::chrono::milliseconds longest_deadline{3'600'000};

/// Checks one name: not empty, not too long, no control characters.
/// @param what how the finding calls it
/// @returns what is wrong, or nothing
std::string check_name(std::string_view what, std::string const& name);

/// Checks what every node checks of a profile before it is in force.
/// @returns each thing that is wrong; empty when nothing is
std::vector<std::string> check_profile(profile const& value);

} // namespace camphorpoint
