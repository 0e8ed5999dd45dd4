#pragma once

#include "Config/profile.hpp"

#include <map>

namespace camphorpoint {

/// The profiles in force on this node.
class profile_table {
public:
    /// Puts a profile in force in place of an earlier one of its name.
    void put(profile next) {
        profile_name const name = next.name;
        profiles_[name] = std::move(next);
    }
    /// @returns the profile, or null when none has that name
    profile const* find(profile_name const& name) const {
        auto const found = profiles_.find(name);
        return found == profiles_.end() ? nullptr : &found->second;
    }
    /// @returns all profiles, in order of name
    std::map<profile_name, profile> const& all() const noexcept {
        return profiles_;
    }

private:
    std::map<profile_name, profile> profiles_;
};

} // namespace camphorpoint
