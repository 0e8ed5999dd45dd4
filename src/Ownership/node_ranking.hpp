#pragma once

#include "Core/ids.hpp"
#include "Ownership/resource_id.hpp"

#include <cstdint>
#include <set>
#include <vector>

namespace camphorpoint {

/// Ranks the live nodes for a resource by rendezvous hashing, with the nodes'
/// hashes kept, so that a rank costs one short hash a node.
/// Reference: D. G. Thaler, C. V. Ravishankar, "Using name-based mappings to
/// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
class node_ranking {
public:
    /// @param nodes who may own
    void set_nodes(std::vector<node_id> const& nodes);
    /// @returns how many nodes would be asked before this one; the number of
    /// nodes when it is not among them
    std::size_t rank_of(node_id const& node, resource_id const& resource) const;
    /// @returns the node that should own; empty when there is none
    node_id first(resource_id const& resource) const;
    /// @returns the node that should own when some are left out; empty when
    /// there is none
    node_id first_excluding(
        std::set<node_id> const& excluded, resource_id const& resource) const;
    /// @returns how many nodes there are
    std::size_t size() const noexcept { return nodes_.size(); }

private:
    struct ranked_node {
        std::uint64_t hash = 0;
        node_id id;
    };

    std::vector<ranked_node> nodes_;
};

} // namespace camphorpoint
