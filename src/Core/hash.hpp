#pragma once

#include <cstdint>
#include <string_view>

namespace camphorpoint {

/// Hashes text the same way on every node and in every run.
/// Source: XXH3, 64 bits, of the xxHash library.
/// @param text what to hash
/// @param seed keeps hashes for different purposes apart
/// @returns 64 bits
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) noexcept;

/// @returns one hash made from two, in which the order counts
std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right) noexcept;

} // namespace camphorpoint
