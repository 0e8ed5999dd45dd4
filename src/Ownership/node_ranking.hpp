#pragma once

#include "Core/ids.hpp"
#include "Ownership/resource_id.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace camphorpoint {

/// Ranks the live nodes for a resource by rendezvous hashing. The hashes of the
/// node ids are cached, so a rank costs one short hash per node.
/// Reference: D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to
/// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
class node_ranking {
public:
    /// @param nodes nodes that may own resources
    void set_nodes(std::vector<node_id> const& nodes);
    /// @returns the number of nodes that rank before this one for the resource;
    /// size() when the node is not ranked
    std::size_t rank_of(node_id const& node, resource_id const& resource) const;
    /// @returns the node that ranks first for the resource; empty when there
    /// are no nodes
    node_id first(resource_id const& resource) const;
    /// @returns the node that ranks first for the resource among those that are
    /// not excluded; empty when there is none
    node_id first_excluding(
        std::set<node_id> const& excluded, resource_id const& resource) const;
    /// @returns the number of ranked nodes
    std::size_t size() const noexcept { return nodes_.size(); }

private:
    struct ranked_node {
        std::uint64_t hash = 0;
        node_id id;
    };

    std::vector<ranked_node> nodes_;
};

} // namespace camphorpoint
