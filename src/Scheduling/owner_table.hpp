#pragma once

#include "Core/ids.hpp"

#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace camphorpoint {

/// A grant that is in use when the ownership of a replica changes.
struct handover_grant {
    node_id node;
    request_id request;
    std::uint32_t attempt = 0;
    std::uint64_t grant = 0;
    adapter_ref adapter;
    std::chrono::milliseconds age{};

    template <class Archive>
    void serialize(Archive& archive) {
        auto how_old = age.count();
        archive(node, request, attempt, grant, adapter, how_old);
        age = std::chrono::milliseconds(how_old);
    }
};

/// The demand for an adapter at a replica.
struct handover_demand {
    adapter_ref adapter;
    double requests_per_second = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(adapter, requests_per_second);
    }
};

/// State that the owner of a replica hands over to its successor in a planned
/// shutdown.
struct owner_table {
    endpoint_id replica;
    /// Incarnation of the engine that the grants belong to, if a report has
    /// shown it.
    std::optional<std::uint64_t> incarnation;
    std::vector<handover_grant> grants;
    std::vector<handover_demand> demand;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, incarnation, grants, demand);
    }
};

} // namespace camphorpoint
