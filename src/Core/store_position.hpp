#pragma once

#include <cstdint>

namespace camphorpoint {

/// How often the platform's store has come back from an older copy; 0 also for
/// a store that does not say.
enum class store_epoch : std::uint32_t {};

/// A place in the records that the store keeps. Guards against places of two
/// eras that are compared by which is further: what stands at a place is
/// another record after the store has gone back, and a reader that goes on from
/// its old place misses what was written before it. There is no `<`: only
/// `is_ahead` tells, which puts a later era first.
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

/// @returns true when whoever stands at `left` knows what `right` does not
constexpr bool
is_ahead(store_position const& left, store_position const& right) noexcept {
    return left.epoch > right.epoch ||
           (left.epoch == right.epoch && left.offset > right.offset);
}

/// @returns the further one
constexpr store_position
max_position(store_position const& left, store_position const& right) noexcept {
    return is_ahead(right, left) ? right : left;
}

} // namespace camphorpoint
