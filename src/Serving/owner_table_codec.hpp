#pragma once

#include "Scheduling/owner_table.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// @returns the table, encoded for a handover
std::string encode_owner_table(owner_table const& table);
/// @returns the table, or nothing when the bytes are not a valid table
std::optional<owner_table> decode_owner_table(std::string_view bytes);

} // namespace camphorpoint
