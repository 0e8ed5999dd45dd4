#pragma once

#include "Config/change.hpp"
#include "Config/configuration_state.hpp"
#include "Core/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// One change of the log with the verdict on it (GET /changes).
struct history_entry {
    log_offset offset;
    /// When the log service took it, by its clock.
    wall_time appended;
    change_id id;
    std::string author;
    /// The verdict's code, as to_string gives it.
    std::string verdict_code;
    /// Each profile that the change is about.
    std::vector<std::string> profiles;
};

/// @returns the verdict's stable code, such as accepted or rejected-conflict
std::string_view to_string(verdict value) noexcept;
/// @returns the entries' JSON text
std::string encode(std::vector<history_entry> const& entries);
/// @returns the entries, or nothing when the text has another form
std::optional<std::vector<history_entry>>
decode_change_history(std::string_view text);

} // namespace camphorpoint
