#include "Core/hash.hpp"

#include <array>
#include <xxhash.h>

namespace camphorpoint {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) noexcept {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right) noexcept {
    std::array<std::uint64_t, 2> const both{left, right};
    return XXH3_64bits(both.data(), sizeof both);
}

} // namespace camphorpoint
