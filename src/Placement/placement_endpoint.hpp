#pragma once

#include "Core/ids.hpp"

#include <cstdint>

namespace camphorpoint {

/// What placement knows of a replica, from the membership.
struct placement_endpoint {
    endpoint_id id;
    model_id model;
    domain_id domain;
    std::uint32_t batch_limit = 16;
    std::uint32_t adapter_slots = 8;
    /// False while it is leaving or suspected: it gets nothing new.
    bool usable = true;

    friend bool
    operator==(placement_endpoint const&, placement_endpoint const&) = default;
};

} // namespace camphorpoint
