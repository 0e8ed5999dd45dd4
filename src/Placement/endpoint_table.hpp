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

/// Position of an endpoint in an endpoint_table. Valid until
/// endpoint_table::set reports that the positions have changed.
using endpoint_index = std::uint32_t;

/// State that an entry node keeps of one replica.
struct known_endpoint {
    placement_endpoint endpoint;
    /// Hash of the endpoint's id, for rendezvous hashing.
    std::uint64_t hash = 0;
    /// Rank among the model's usable replicas, in an order that is the same on
    /// all nodes. The first ranks are in use, the others are spare.
    std::size_t activation_rank = 0;
    /// Expected wait, as the replica's owner last reported it.
    duration wait{};
    /// Running requests, as the replica's owner last reported them.
    std::uint32_t running = 0;
    /// When the owner last reported; empty before its first report.
    std::optional<instant> last_feedback_at;
    /// Requests that this node has sent to the replica since that report.
    std::uint32_t sent_since = 0;
};

/// The replicas of each base model. Each model has a generation number that
/// changes whenever its usable replicas change, so that results computed from
/// them are recomputed then and only then.
class endpoint_table {
public:
    /// Replaces the full list of endpoints.
    /// @returns true when the table was rebuilt and all earlier positions are
    ///          invalid
    bool set(std::vector<placement_endpoint> const& endpoints);
    /// @returns the endpoint's position; empty when the endpoint is unknown
    std::optional<endpoint_index> find(endpoint_id const& id) const;
    known_endpoint& at(endpoint_index index) { return endpoints_[index]; }
    known_endpoint const& at(endpoint_index index) const {
        return endpoints_[index];
    }
    /// @returns the model's generation; 0 when it has no usable replica
    std::uint64_t generation(model_id const& model) const;
    /// @returns how many usable replicas the model has
    std::size_t usable(model_id const& model) const;
    /// Ranks a model's usable replicas for a key by rendezvous hashing.
    /// @param max_count how many to return
    /// @returns the positions of the best replicas, best first
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
