#include "common/json_body.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace standins {

namespace json = boost::json;

json_body::json_body(std::string_view text) {
    json::error_code error;
    json::value parsed = json::parse(text, error);
    if (!error && parsed.is_object()) {
        object_ = std::move(parsed.as_object());
        valid_ = true;
    }
}

std::string json_body::text(std::string_view key, std::string fallback) const {
    auto const* found = object_.if_contains(key);
    if (found == nullptr || !found->is_string()) {
        return fallback;
    }
    return std::string(found->as_string());
}

std::int64_t
json_body::integer(std::string_view key, std::int64_t fallback) const {
    auto const* found = object_.if_contains(key);
    if (found == nullptr || !found->is_number()) {
        return fallback;
    }
    json::error_code error;
    auto const value = found->to_number<std::int64_t>(error);
    return error ? fallback : value;
}

double json_body::number(std::string_view key, double fallback) const {
    auto const* found = object_.if_contains(key);
    if (found == nullptr || !found->is_number()) {
        return fallback;
    }
    json::error_code error;
    auto const value = found->to_number<double>(error);
    return error ? fallback : value;
}

bool json_body::flag(std::string_view key, bool fallback) const {
    auto const* found = object_.if_contains(key);
    return found != nullptr && found->is_bool() ? found->as_bool() : fallback;
}

std::vector<std::string> json_body::texts(std::string_view key) const {
    std::vector<std::string> result;
    auto const* found = object_.if_contains(key);
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

} // namespace standins
