#include "Operator/json_reading.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace camphorpoint {

namespace json = boost::json;

json_reading::json_reading(std::string_view text) {
    json::error_code error;
    json::value parsed = json::parse(text, error);
    if (!error && parsed.is_object()) {
        object_ = std::move(parsed.as_object());
        valid_ = true;
    }
}

std::string json_reading::text(std::string_view key) const {
    json::value const* found = object_.if_contains(key);
    return found != nullptr && found->is_string()
               ? std::string(found->as_string())
               : std::string();
}

std::uint64_t json_reading::number(std::string_view key) const {
    json::value const* found = object_.if_contains(key);
    if (found == nullptr || !found->is_number()) {
        return 0;
    }
    json::error_code error;
    auto const value = found->to_number<std::uint64_t>(error);
    return error ? 0 : value;
}

bool json_reading::flag(std::string_view key) const {
    json::value const* found = object_.if_contains(key);
    return found != nullptr && found->is_bool() && found->as_bool();
}

std::vector<std::string> json_reading::texts(std::string_view key) const {
    std::vector<std::string> result;
    json::value const* found = object_.if_contains(key);
    if (found == nullptr || !found->is_array()) {
        return result;
    }
    for (json::value const& each : found->as_array()) {
        if (each.is_string()) {
            result.emplace_back(each.as_string());
        }
    }
    return result;
}

json_reading json_reading::object(std::string_view key) const {
    json::value const* found = object_.if_contains(key);
    return found != nullptr && found->is_object()
               ? json_reading(found->as_object())
               : json_reading("");
}

std::vector<json_reading> json_reading::objects(std::string_view key) const {
    std::vector<json_reading> result;
    json::value const* found = object_.if_contains(key);
    if (found == nullptr || !found->is_array()) {
        return result;
    }
    for (json::value const& each : found->as_array()) {
        if (each.is_object()) {
            result.emplace_back(each.as_object());
        }
    }
    return result;
}

} // namespace camphorpoint
