#pragma once

#include "Core/time.hpp"

#include <concepts>
#include <cstdint>

namespace camphorpoint {

/// What one ended request says of its endpoint.
struct limit_sample {
    /// From dispatch to end.
    duration latency{};
    /// Requests of this node in flight on the endpoint, this one counted.
    std::uint32_t in_flight = 0;
    /// True when it was refused for overload or timed out.
    bool dropped = false;
};

/// A policy that says how many requests one node sends to an endpoint at a
/// time. It is told the node's share of the capacity that the platform knows, 0
/// when it knows none. Below one, several endpoints together get one at a time:
/// with many nodes even one each would be too many.
template <class Limiter>
concept concurrency_limiter = std::constructible_from<Limiter, std::uint32_t> &&
    requires(Limiter limiter, Limiter const& fixed, limit_sample sample) {
    { fixed.limit() } -> std::same_as<double>;
    limiter.on_sample(sample);
};

} // namespace camphorpoint
