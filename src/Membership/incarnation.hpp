#pragma once

#include <compare>
#include <cstdint>

namespace camphorpoint {

/// Orders what is said about a node: newer runs of the process beat older
/// ones, and within a run the node itself raises `refutations` to answer a
/// suspicion.
struct incarnation {
    /// When the process started, in milliseconds of the calendar clock.
    std::uint64_t start_time_ms = 0;
    /// How often it has refuted a suspicion.
    std::uint32_t refutations = 0;

    friend auto operator<=>(incarnation const&, incarnation const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(start_time_ms, refutations);
    }
};

} // namespace camphorpoint
