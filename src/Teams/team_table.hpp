#pragma once

#include "Teams/team_definition.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// Two teams that declare the same API key.
struct shared_api_key {
    /// The team that the key belongs to: the one declared first.
    team_id owner;
    team_id other;
};

/// Finds teams by API key and by name. A lookup computes one hash, no matter
/// how many teams there are.
class team_table {
public:
    team_table() = default;
    /// @param teams the declared teams, which are copied
    explicit team_table(std::vector<team_definition> const& teams);

    /// @returns the team that the key belongs to, or null
    team_definition const* find_by_key(std::string_view api_key) const;
    /// @param name a hash of the team's name, see `hash_of`
    /// @returns the team, or null
    team_definition const* find_by_hash(std::uint64_t name) const;
    /// @returns the keys that more than one team has declared
    std::vector<shared_api_key> const& shared_keys() const noexcept {
        return shared_keys_;
    }
    /// @returns all teams
    std::vector<team_definition> const& all() const noexcept { return teams_; }
    /// @returns the number of teams
    std::size_t size() const noexcept { return teams_.size(); }
    /// @returns the hash by which nodes name a team to each other
    static std::uint64_t hash_of(team_id const& name);

private:
    /// Lets a key be looked up without a copy of it.
    struct key_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view key) const noexcept {
            return std::hash<std::string_view>()(key);
        }
    };

    std::vector<team_definition> teams_;
    std::unordered_map<std::string, std::size_t, key_hash, std::equal_to<>>
        index_by_key_;
    std::unordered_map<std::uint64_t, std::size_t> index_by_name_;
    std::vector<shared_api_key> shared_keys_;
};

} // namespace camphorpoint
