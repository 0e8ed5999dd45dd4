#include "Operator/publish_answer.hpp"

#include "Operator/json_reading.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

std::string encode(publish_answer const& answer) {
    json::array problems;
    for (std::string const& each : answer.problems) {
        problems.emplace_back(each);
    }
    return json::serialize(json::object{
        {"accepted", answer.accepted},
        {"known", answer.known},
        {"conflict", answer.conflict},
        {"offset", answer.offset.value},
        {"problems", std::move(problems)}});
}

std::optional<publish_answer> decode_publish_answer(std::string_view text) {
    json_reading const body(text);
    if (!body.valid() || !body.has("accepted") || !body.has("known")) {
        return std::nullopt;
    }
    publish_answer result;
    result.accepted = body.flag("accepted");
    result.known = body.flag("known");
    result.conflict = body.flag("conflict");
    result.offset = log_offset{body.number("offset")};
    result.problems = body.texts("problems");
    return result;
}

} // namespace camphorpoint
