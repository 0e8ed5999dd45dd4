#pragma once

#include "Core/store_position.hpp"

#include <cstdint>

namespace camphorpoint {

/// Places of one era that fit below its part of a fencing number: a thousand
/// claims a second for thirty years.
inline constexpr unsigned epoch_shift = 40;

/// @returns the least fencing number of an era
constexpr std::uint64_t first_fencing_number(store_epoch epoch) noexcept {
    return static_cast<std::uint64_t>(epoch) << epoch_shift;
}

/// Makes a fencing number of the place of a claim in the log. Guards against
/// two holders with one number: a store that has come back from an older copy
/// gives places out again, and replicas refuse lower numbers only. It holds
/// because the era stands above the place: each number of a later era is higher
/// than all of the earlier ones.
constexpr std::uint64_t fencing_number(store_position const& claim) noexcept {
    return first_fencing_number(claim.epoch) + claim.offset + 1;
}

} // namespace camphorpoint
