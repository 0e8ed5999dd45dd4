#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace camphorpoint::internal {

/// Where prompt prefixes were cached of late. Engines tell late and with gaps,
/// so a hint is believed for a limited time only and never relied upon.
class prefix_hints {
public:
    /// @param most   hints that are kept
    /// @param memory how long a hint is believed
    prefix_hints(std::size_t max_hints, duration lifetime)
        : max_hints_(max_hints)
        , lifetime_(lifetime) {}

    /// The prefix was stored on the endpoint at this time.
    void
    on_stored(std::uint64_t prefix, endpoint_id const& endpoint, instant when);
    /// The prefix was dropped; an older word than what is known is skipped.
    void
    on_dropped(std::uint64_t prefix, endpoint_id const& endpoint, instant when);
    /// @returns the endpoint, or nullptr when nothing fresh is known
    endpoint_id const* find(std::uint64_t prefix, instant now) const;

private:
    struct hint {
        endpoint_id endpoint;
        instant when;
    };

    std::size_t max_hints_;
    duration lifetime_;
    std::unordered_map<std::uint64_t, hint> hints_;
    /// Prefixes in the order in which they were first met.
    std::deque<std::uint64_t> insertion_order_;
};

} // namespace camphorpoint::internal
