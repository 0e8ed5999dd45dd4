#include "Ports/json_fields.hpp"

#include <boost/json/parse.hpp>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

std::optional<json::object> parse_json_object(std::string_view text) {
    json::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::string json_text(json::object const& object, std::string_view key) {
    json::value const* found = object.if_contains(key);
    if (found == nullptr || !found->is_string()) {
        return {};
    }
    return std::string(found->get_string());
}

std::optional<std::uint64_t>
json_number(json::object const& object, std::string_view key) {
    json::value const* found = object.if_contains(key);
    if (found == nullptr || !found->is_number()) {
        return std::nullopt;
    }
    json::error_code error;
    auto const number = found->to_number<std::uint64_t>(error);
    if (error) {
        return std::nullopt;
    }
    return number;
}

bool json_flag(
    json::object const& object, std::string_view key, bool fallback) {
    json::value const* found = object.if_contains(key);
    return found != nullptr && found->is_bool() ? found->get_bool() : fallback;
}

std::vector<json::object const*>
json_objects(json::object const& object, std::string_view key) {
    std::vector<json::object const*> result;
    json::value const* found = object.if_contains(key);
    if (found == nullptr || !found->is_array()) {
        return result;
    }
    for (json::value const& each : found->get_array()) {
        if (each.is_object()) {
            result.push_back(&each.get_object());
        }
    }
    return result;
}

} // namespace camphorpoint
