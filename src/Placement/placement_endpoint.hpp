#pragma once

#include "Core/ids.hpp"

#include <cstdint>

namespace camphorpoint {

/// Properties of a replica that placement uses, from the cluster membership.
struct placement_endpoint {
    endpoint_id id;
    model_id model;
    domain_id domain;
    /// Most requests that the engine runs concurrently.
    std::uint32_t batch_limit = 16;
    /// Adapters that can be resident at the same time.
    std::uint32_t adapter_slots = 8;
    /// False while the replica is leaving or suspected: it gets no new
    /// requests.
    bool usable = true;

    friend bool
    operator==(placement_endpoint const&, placement_endpoint const&) = default;
};

} // namespace camphorpoint
