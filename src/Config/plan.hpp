#pragma once

#include "Config/change.hpp"
#include "Config/configuration_state.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorpoint {

/// What happens to profiles in force that no declaration names.
enum class undeclared_profiles : std::uint8_t { keep, remove };

/// What it takes to bring the declarations in force.
struct plan {
    /// The edits, in order of name, each with the revision that it builds on;
    /// empty when all is in force already.
    std::vector<profile_edit> edits;
    /// Profiles in force that are not declared and that are kept.
    std::vector<profile_name> kept;
    /// The differences as text, a line for each profile and changed field.
    std::string diff;
};

/// Compares declarations with what is in force.
/// @param current  profiles and tombstones in force
/// @param declared what the operator wants
/// @param rest     what to do with profiles that are not declared
plan make_plan(
    std::vector<profile_state> const& current,
    std::vector<profile> const& declared, undeclared_profiles rest);

/// Cuts a plan into changes that each fit into a record.
/// @param edits  a plan's edits
/// @param id     the change's id, with "-1", "-2" ... behind when it is cut
/// @param author who publishes it
/// @returns the changes, to be published in this order
std::vector<change> make_changes(
    std::vector<profile_edit> const& edits, change_id const& id,
    std::string const& author);

} // namespace camphorpoint
