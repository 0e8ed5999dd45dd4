#pragma once

#include "Core/store_position.hpp"

#include <cstdint>

namespace camphorpoint {

/// Bits of a fencing number that hold the log position within a store epoch. 40
/// bits suffice for a thousand claims per second for thirty years.
inline constexpr unsigned epoch_shift = 40;

/// @returns the lowest fencing number of a store epoch
constexpr std::uint64_t first_fencing_number(store_epoch epoch) noexcept {
    return static_cast<std::uint64_t>(epoch) << epoch_shift;
}

/// Derives a fencing number from the position of a claim record in the store's
/// log.
/// The store epoch occupies the high bits, so that every number of a later
/// epoch is higher than all numbers of earlier epochs. This prevents two lease
/// holders from using the same number: after a rollback to an older snapshot
/// the store assigns the same log positions again, and replicas refuse only
/// numbers lower than the highest one seen.
/// @param claim position of the claim record, with its store epoch
constexpr std::uint64_t fencing_number(store_position const& claim) noexcept {
    return first_fencing_number(claim.epoch) + claim.offset + 1;
}

} // namespace camphorpoint
