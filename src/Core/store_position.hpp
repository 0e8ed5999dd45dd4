#pragma once

#include <cstdint>

namespace camphorpoint {

/// Number of times that the platform's store was rolled back to an older
/// snapshot; 0 also for a store that does not report it.
enum class store_epoch : std::uint32_t {};

/// Position in a log of the store. After a rollback the store writes other
/// records at offsets that it has used before, so a reader that continues from
/// its old offset misses the records written below that offset. Offsets of
/// different epochs can't be compared; therefore there is no `<`, and
/// `is_ahead` orders by epoch first.
struct store_position {
    store_epoch epoch{};
    std::uint64_t offset = 0;

    friend bool
    operator==(store_position const&, store_position const&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
        auto number = static_cast<std::uint32_t>(epoch);
        archive(number, offset);
        epoch = store_epoch{number};
    }
};

/// @returns true when a reader at `left` may know records that a reader at
///          `right` does not
constexpr bool
is_ahead(store_position const& left, store_position const& right) noexcept {
    return left.epoch > right.epoch ||
           (left.epoch == right.epoch && left.offset > right.offset);
}

/// @returns the position that is ahead
constexpr store_position
max_position(store_position const& left, store_position const& right) noexcept {
    return is_ahead(right, left) ? right : left;
}

} // namespace camphorpoint
