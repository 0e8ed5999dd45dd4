#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace camphorpoint::internal {

/// Endpoints that have recently cached prompt prefixes. Engines report with
/// delays and gaps, so a hint is valid for a limited time, and correctness
/// never depends on it.
class prefix_hints {
public:
    /// @param max_hints most hints in memory; the oldest is evicted first
    /// @param lifetime  how long a hint is valid
    prefix_hints(std::size_t max_hints, duration lifetime)
        : max_hints_(max_hints)
        , lifetime_(lifetime) {}

    /// Records that the endpoint stored the prefix at this time.
    void
    on_stored(std::uint64_t prefix, endpoint_id const& endpoint, instant when);
    /// Records that the endpoint evicted the prefix at this time. Ignored when
    /// the known hint is newer.
    void
    on_dropped(std::uint64_t prefix, endpoint_id const& endpoint, instant when);
    /// @returns the endpoint that has the prefix, or nullptr when no valid hint
    ///          is known
    endpoint_id const* find(std::uint64_t prefix, instant now) const;

private:
    struct hint {
        endpoint_id endpoint;
        instant when;
    };

    std::size_t max_hints_;
    duration lifetime_;
    std::unordered_map<std::uint64_t, hint> hints_;
    /// Prefixes in the order in which they were first reported.
    std::deque<std::uint64_t> insertion_order_;
};

} // namespace camphorpoint::internal
