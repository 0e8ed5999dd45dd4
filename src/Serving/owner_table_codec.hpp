#pragma once

#include "Scheduling/owner_table.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// @returns the table as it travels in a handover
std::string encode_owner_table(owner_table const& table);
/// @returns the table, or nothing when the bytes are not one
std::optional<owner_table> decode_owner_table(std::string_view bytes);

} // namespace camphorpoint
