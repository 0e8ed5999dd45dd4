#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint {

/// Put a profile in force, new or in place of the one of its name.
struct put_profile {
    /// The profile's revision that the operator saw; 0 when there was none.
    std::uint64_t base_revision = 0;
    /// Its own revision field is not used: replay sets it.
    profile next;

    friend bool operator==(put_profile const&, put_profile const&) = default;
};

/// Take a profile out of force.
struct remove_profile {
    /// The profile's revision that the operator saw.
    std::uint64_t base_revision = 0;
    profile_name name;

    friend bool
    operator==(remove_profile const&, remove_profile const&) = default;
};

/// One edit of one profile.
using profile_edit = std::variant<put_profile, remove_profile>;

/// What one operator publishes at once: all of it holds, or none.
struct change {
    change_id id;
    /// Who published it, for the history.
    std::string author;
    /// At most one edit for each profile.
    std::vector<profile_edit> edits;

    friend bool operator==(change const&, change const&) = default;
};

/// Says that a change which has not shown up before this record is void. It
/// settles an append whose answer was lost, without a limit on how long that
/// append may still travel; to append it twice does no harm.
struct change_withdrawal {
    change_id id;

    friend bool
    operator==(change_withdrawal const&, change_withdrawal const&) = default;
};

/// @returns the name of the profile that an edit is about
profile_name const& edited_profile(profile_edit const& edit) noexcept;
/// @returns the revision that an edit builds on
std::uint64_t base_revision(profile_edit const& edit) noexcept;

/// Checks what every node checks before it accepts a change: lengths,
/// characters, at least one edit and at most one for each profile.
/// @returns each thing that is wrong; empty when nothing is
std::vector<std::string> check_change(change const& value);

} // namespace camphorpoint
