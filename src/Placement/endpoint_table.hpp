#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Placement/placement_endpoint.hpp"
#include "Scheduling/grant_messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint::internal {

/// Position of an endpoint in an endpoint_table; stays while the table does.
using endpoint_index = std::uint32_t;

/// What an entry node knows of one replica.
struct known_endpoint {
    placement_endpoint endpoint;
    std::uint64_t hash = 0;
    /// Place among the model's usable replicas, in an order that is the same
    /// on all nodes.
    std::size_t activation_rank = 0;
    /// What its owner last said, and when.
    duration wait{};
    std::uint32_t running = 0;
    std::optional<instant> last_feedback_at;
    /// Requests sent there since.
    std::uint32_t sent_since = 0;
};

/// The replicas of each base model, with a number that changes whenever the
/// usable ones of the model do, so that what was computed from them is
/// recomputed then and only then.
class endpoint_table {
public:
    /// Takes the whole membership.
    /// @returns true when earlier positions mean nothing any more
    bool set(std::vector<placement_endpoint> const& endpoints);
    /// @returns the endpoint's position, if it is known
    std::optional<endpoint_index> find(endpoint_id const& id) const;
    known_endpoint& at(endpoint_index index) { return endpoints_[index]; }
    known_endpoint const& at(endpoint_index index) const {
        return endpoints_[index];
    }
    /// @returns the model's generation; 0 when it has no replica
    std::uint64_t generation(model_id const& model) const;
    /// @returns how many usable replicas the model has
    std::size_t usable(model_id const& model) const;
    /// The best of a model's usable replicas for a key, by rendezvous hashing.
    /// @param most how many
    /// @returns positions, best first
    std::vector<endpoint_index>
    top(model_id const& model, std::uint64_t key, std::size_t max_count) const;

private:
    struct model_group {
        std::uint64_t generation = 0;
        std::vector<endpoint_index> usable;
    };

    endpoint_index add_or_update(placement_endpoint const& endpoint);
    void assign_activation_ranks(std::vector<endpoint_index> members);
    void regroup(std::vector<endpoint_index> const& present);

    std::vector<known_endpoint> endpoints_;
    std::unordered_map<endpoint_id, endpoint_index> by_id_;
    std::map<model_id, model_group> models_;
    std::uint64_t last_generation_ = 0;
};

} // namespace camphorpoint::internal
