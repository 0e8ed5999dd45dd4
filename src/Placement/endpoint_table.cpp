#include "Placement/endpoint_table.hpp"

#include "Core/hash.hpp"

#include <algorithm>

namespace camphorpoint::internal {

endpoint_index
endpoint_table::add_or_update(placement_endpoint const& endpoint) {
    auto const known = by_id_.find(endpoint.id);
    if (known != by_id_.end()) {
        endpoints_[known->second].endpoint = endpoint;
        return known->second;
    }
    auto const index = static_cast<endpoint_index>(endpoints_.size());
    known_endpoint entry;
    entry.endpoint = endpoint;
    entry.hash = hash_text(endpoint.id.str());
    endpoints_.push_back(std::move(entry));
    by_id_.emplace(endpoint.id, index);
    return index;
}

bool endpoint_table::set(std::vector<placement_endpoint> const& endpoints) {
    std::vector<endpoint_index> present;
    present.reserve(endpoints.size());
    for (placement_endpoint const& each : endpoints) {
        present.push_back(add_or_update(each));
    }
    // Positions must stay valid, so an endpoint that has left keeps its entry.
    // Once such entries are the majority, the table is rebuilt without them.
    bool const rebuild = endpoints_.size() > 2 * endpoints.size() + 16;
    if (rebuild) {
        endpoints_.clear();
        by_id_.clear();
        models_.clear();
        present.clear();
        for (placement_endpoint const& each : endpoints) {
            present.push_back(add_or_update(each));
        }
    }
    regroup(present);
    return rebuild;
}

void endpoint_table::regroup(std::vector<endpoint_index> const& present) {
    std::map<model_id, std::vector<endpoint_index>> usable;
    for (endpoint_index const index : present) {
        placement_endpoint const& endpoint = endpoints_[index].endpoint;
        if (endpoint.usable) {
            usable[endpoint.model].push_back(index);
        }
    }
    for (auto& [model, members] : usable) {
        std::ranges::sort(members);
    }
    std::erase_if(models_, [&](auto const& each) {
        return !usable.contains(each.first);
    });
    for (auto& [model, members] : usable) {
        model_group& group = models_[model];
        if (group.usable != members) {
            assign_activation_ranks(members);
            group.usable = std::move(members);
            group.generation = ++last_generation_;
        }
    }
}

std::optional<endpoint_index>
endpoint_table::find(endpoint_id const& id) const {
    auto const known = by_id_.find(id);
    return known == by_id_.end() ? std::nullopt : std::optional(known->second);
}

void endpoint_table::assign_activation_ranks(
    std::vector<endpoint_index> members) {
    std::ranges::sort(members, [&](auto left, auto right) {
        known_endpoint const& one = endpoints_[left];
        known_endpoint const& other = endpoints_[right];
        return one.hash != other.hash ? one.hash < other.hash
                                      : one.endpoint.id < other.endpoint.id;
    });
    for (std::size_t rank = 0; rank < members.size(); ++rank) {
        endpoints_[members[rank]].activation_rank = rank;
    }
}

std::size_t endpoint_table::usable(model_id const& model) const {
    auto const group = models_.find(model);
    return group == models_.end() ? 0 : group->second.usable.size();
}

std::uint64_t endpoint_table::generation(model_id const& model) const {
    auto const group = models_.find(model);
    return group == models_.end() ? 0 : group->second.generation;
}

std::vector<endpoint_index> endpoint_table::top(
    model_id const& model, std::uint64_t key, std::size_t max_count) const {
    struct scored {
        std::uint64_t score;
        endpoint_index index;
    };
    auto const group = models_.find(model);
    if (group == models_.end()) {
        return {};
    }
    std::vector<scored> ranked;
    ranked.reserve(group->second.usable.size());
    for (endpoint_index const index : group->second.usable) {
        ranked.push_back({combine_hashes(key, endpoints_[index].hash), index});
    }
    std::size_t const count = std::min(max_count, ranked.size());
    auto const end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    // Ties are broken by endpoint id, because all nodes must agree on the
    // ranking. Positions differ between nodes: they depend on the order in
    // which a node first saw the endpoints.
    std::ranges::partial_sort(
        ranked, end, [&](scored const& left, scored const& right) {
            if (left.score != right.score) {
                return left.score > right.score;
            }
            return endpoints_[left.index].endpoint.id <
                   endpoints_[right.index].endpoint.id;
        });
    std::vector<endpoint_index> result;
    result.reserve(count);
    for (std::size_t position = 0; position < count; ++position) {
        result.push_back(ranked[position].index);
    }
    return result;
}

} // namespace camphorpoint::internal
