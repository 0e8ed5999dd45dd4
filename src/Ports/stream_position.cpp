#include "Ports/stream_position.hpp"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace camphorpoint {

namespace json = boost::json;

namespace {

constexpr std::size_t parts = 5;
constexpr std::size_t longest_position = 1'024;

std::optional<std::uint32_t> number_of(json::value const& value) {
    json::error_code error;
    auto const number = value.to_number<std::uint32_t>(error);
    if (error) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string write_position(stream_position const& position) {
    json::array list;
    list.reserve(parts);
    list.emplace_back(position.endpoint.str());
    list.emplace_back(position.adapter.id.str());
    list.emplace_back(position.adapter.version);
    list.emplace_back(position.engine_request.str());
    list.emplace_back(position.next_token);
    return json::serialize(list);
}

std::optional<stream_position> read_position(std::string_view text) {
    if (text.size() > longest_position) {
        return std::nullopt;
    }
    json::error_code error;
    json::value const value = json::parse(text, error);
    if (error || !value.is_array() || value.get_array().size() != parts) {
        return std::nullopt;
    }
    json::array const& list = value.get_array();
    auto const version = number_of(list[2]);
    auto const next = number_of(list[4]);
    if (!list[0].is_string() || !list[1].is_string() || !version ||
        !list[3].is_string() || !next) {
        return std::nullopt;
    }
    stream_position result;
    result.endpoint = endpoint_id(std::string(list[0].get_string()));
    result.adapter.id = adapter_id(std::string(list[1].get_string()));
    result.adapter.version = *version;
    result.engine_request = request_id(std::string(list[3].get_string()));
    result.next_token = *next;
    return result;
}

} // namespace camphorpoint
