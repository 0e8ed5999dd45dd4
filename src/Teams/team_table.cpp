#include "Teams/team_table.hpp"

#include "Core/hash.hpp"

namespace camphorpoint {

team_table::team_table(std::vector<team_definition> const& teams)
    : teams_(teams) {
    for (std::size_t index = 0; index < teams_.size(); ++index) {
        team_definition& team = teams_[index];
        index_by_name_.emplace(hash_of(team.name), index);
        for (std::string const& key : team.api_keys) {
            auto const [owner, added] = index_by_key_.emplace(key, index);
            if (!added && owner->second != index) {
                shared_keys_.push_back({teams_[owner->second].name, team.name});
            }
        }
        // The index keeps the only copy of the keys.
        team.api_keys = {};
    }
}

team_definition const* team_table::find_by_key(std::string_view api_key) const {
    auto const found = index_by_key_.find(api_key);
    return found == index_by_key_.end() ? nullptr : &teams_[found->second];
}

team_definition const* team_table::find_by_hash(std::uint64_t name) const {
    auto const found = index_by_name_.find(name);
    return found == index_by_name_.end() ? nullptr : &teams_[found->second];
}

std::uint64_t team_table::hash_of(team_id const& name) {
    return hash_text(name.str());
}

} // namespace camphorpoint
