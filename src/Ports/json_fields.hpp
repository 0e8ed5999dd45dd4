#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// Parses a text of any origin. Depth is bounded by the library.
/// @returns the object, or nothing when the text is not one JSON object
std::optional<boost::json::object> parse_json_object(std::string_view text);

/// @returns the text at the key, empty when there is none
std::string json_text(boost::json::object const& object, std::string_view key);

/// @returns the number at the key; nothing when it is absent, negative or no
/// whole number
std::optional<std::uint64_t>
json_number(boost::json::object const& object, std::string_view key);

/// @returns the truth value at the key, or the fallback
bool json_flag(
    boost::json::object const& object, std::string_view key, bool fallback);

/// @returns the objects in the list at the key; other members are left out
std::vector<boost::json::object const*>
json_objects(boost::json::object const& object, std::string_view key);

} // namespace camphorpoint
