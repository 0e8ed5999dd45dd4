#pragma once

#include <compare>
#include <cstdint>

namespace camphorpoint {

/// Orders the updates about one node. Updates about a later process of the node
/// take precedence over those about an earlier one; within one process the node
/// increments `refutations` to refute a suspicion.
struct incarnation {
    /// Start time of the process, in milliseconds of the calendar clock.
    std::uint64_t start_time_ms = 0;
    /// Number of suspicions that the process has refuted.
    std::uint32_t refutations = 0;

    friend auto operator<=>(incarnation const&, incarnation const&) = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(start_time_ms, refutations);
    }
};

} // namespace camphorpoint
