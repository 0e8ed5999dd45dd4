#pragma once

#include "Core/time.hpp"

#include <concepts>
#include <cstdint>

namespace camphorpoint {

/// Measurement that one finished request gives of its endpoint.
struct limit_sample {
    /// Time from dispatch to completion.
    duration latency{};
    /// Requests of this node in flight on the endpoint, including this one.
    std::uint32_t in_flight = 0;
    /// True when the endpoint refused the request for overload or it timed out.
    bool dropped = false;
};

/// Policy that limits how many requests one node has in flight on an endpoint.
/// Its constructor takes the node's quota share of the endpoint's capacity in
/// concurrent requests, or 0 when the platform does not know the capacity. A
/// limit below 1 means that several endpoints together get one request at a
/// time: with many nodes, even one request per node and endpoint would exceed
/// the endpoint's capacity.
template <class Limiter>
concept concurrency_limiter = std::constructible_from<Limiter, std::uint32_t> &&
    requires(Limiter limiter, Limiter const& fixed, limit_sample sample) {
    { fixed.limit() } -> std::same_as<double>;
    limiter.on_sample(sample);
};

} // namespace camphorpoint
