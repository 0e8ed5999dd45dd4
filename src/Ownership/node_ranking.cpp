#include "Ownership/node_ranking.hpp"

#include "Core/hash.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// Rendezvous score of one node for a resource; the node with the greatest
/// score ranks first, ties are broken by the smaller id.
struct score {
    std::uint64_t value = 0;
    node_id const* id = nullptr;

    bool ranks_before(score const& other) const {
        if (value != other.value) {
            return value > other.value;
        }
        return *id < *other.id;
    }
};

} // namespace

void node_ranking::set_nodes(std::vector<node_id> const& nodes) {
    nodes_.clear();
    nodes_.reserve(nodes.size());
    for (node_id const& each : nodes) {
        nodes_.push_back({hash_text(each.str()), each});
    }
}

std::size_t
node_ranking::rank_of(node_id const& node, resource_id const& resource) const {
    auto const self = std::ranges::find(nodes_, node, &ranked_node::id);
    if (self == nodes_.end()) {
        return nodes_.size();
    }
    std::uint64_t const key = hash_text(to_string(resource));
    score const own{combine_hashes(key, self->hash), &self->id};
    auto const ranks_higher = [&](ranked_node const& each) {
        return score{combine_hashes(key, each.hash), &each.id}.ranks_before(
            own);
    };
    return static_cast<std::size_t>(
        std::ranges::count_if(nodes_, ranks_higher));
}

node_id node_ranking::first(resource_id const& resource) const {
    return first_excluding({}, resource);
}

node_id node_ranking::first_excluding(
    std::set<node_id> const& excluded, resource_id const& resource) const {
    std::uint64_t const key = hash_text(to_string(resource));
    score best;
    for (ranked_node const& each : nodes_) {
        if (excluded.contains(each.id)) {
            continue;
        }
        score const next{combine_hashes(key, each.hash), &each.id};
        if (best.id == nullptr || next.ranks_before(best)) {
            best = next;
        }
    }
    return best.id == nullptr ? node_id() : *best.id;
}

} // namespace camphorpoint
