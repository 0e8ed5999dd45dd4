#include "Placement/endpoint_table.hpp"

#include "Core/hash.hpp"

#include <algorithm>

namespace camphorpoint::internal {

endpoint_index endpoint_table::enter(placement_endpoint const& endpoint) {
    auto const known = by_id_.find(endpoint.id);
    if (known != by_id_.end()) {
        all_[known->second].about = endpoint;
        return known->second;
    }
    auto const index = static_cast<endpoint_index>(all_.size());
    known_endpoint entry;
    entry.about = endpoint;
    entry.hash = hash_text(endpoint.id.str());
    all_.push_back(std::move(entry));
    by_id_.emplace(endpoint.id, index);
    return index;
}

bool endpoint_table::set(std::vector<placement_endpoint> const& endpoints) {
    std::vector<endpoint_index> present;
    present.reserve(endpoints.size());
    for (placement_endpoint const& each : endpoints) {
        present.push_back(enter(each));
    }
    // Positions stay valid, so an endpoint that left keeps its entry. Those
    // are dropped by starting anew once they are the larger part.
    bool const mostly_gone = all_.size() > 2 * endpoints.size() + 16;
    if (mostly_gone) {
        all_.clear();
        by_id_.clear();
        models_.clear();
        present.clear();
        for (placement_endpoint const& each : endpoints) {
            present.push_back(enter(each));
        }
    }
    regroup(present);
    return mostly_gone;
}

void endpoint_table::regroup(std::vector<endpoint_index> const& present) {
    std::map<model_id, std::vector<endpoint_index>> usable;
    for (endpoint_index const index : present) {
        placement_endpoint const& about = all_[index].about;
        if (about.usable) {
            usable[about.model].push_back(index);
        }
    }
    for (auto& [model, members] : usable) {
        std::ranges::sort(members);
    }
    std::erase_if(models_, [&](auto const& each) {
        return !usable.contains(each.first);
    });
    for (auto& [model, members] : usable) {
        model_members& group = models_[model];
        if (group.usable != members) {
            number(members);
            group.usable = std::move(members);
            group.generation = ++generations_;
        }
    }
}

std::optional<endpoint_index>
endpoint_table::find(endpoint_id const& id) const {
    auto const known = by_id_.find(id);
    return known == by_id_.end() ? std::nullopt : std::optional(known->second);
}

void endpoint_table::number(std::vector<endpoint_index> members) {
    std::ranges::sort(members, [&](auto left, auto right) {
        known_endpoint const& one = all_[left];
        known_endpoint const& other = all_[right];
        return one.hash != other.hash ? one.hash < other.hash
                                      : one.about.id < other.about.id;
    });
    for (std::size_t order = 0; order < members.size(); ++order) {
        all_[members[order]].order = order;
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
    model_id const& model, std::uint64_t key, std::size_t most) const {
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
        ranked.push_back({combine_hashes(key, all_[index].hash), index});
    }
    std::size_t const count = std::min(most, ranked.size());
    auto const end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    // Positions depend on the order in which a node met the endpoints, so a
    // tie is broken by their names: all nodes must agree.
    std::ranges::partial_sort(
        ranked, end, [&](scored const& left, scored const& right) {
            if (left.score != right.score) {
                return left.score > right.score;
            }
            return all_[left.index].about.id < all_[right.index].about.id;
        });
    std::vector<endpoint_index> result;
    result.reserve(count);
    for (std::size_t place = 0; place < count; ++place) {
        result.push_back(ranked[place].index);
    }
    return result;
}

} // namespace camphorpoint::internal
