#include "Operator/publish_answer.hpp"

#include "Operator/json_reading.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

namespace {

std::string_view state_of(publish_answer const& answer) noexcept {
    if (!answer.known) {
        return "unknown";
    }
    return answer.accepted ? "accepted" : "rejected";
}

} // namespace

std::string encode(publish_answer const& answer) {
    json::array problems;
    for (std::string const& each : answer.problems) {
        problems.emplace_back(each);
    }
    return json::serialize(json::object{
        {"state", state_of(answer)},
        {"conflict", answer.conflict},
        {"offset", answer.offset.value},
        {"problems", std::move(problems)}});
}

std::optional<publish_answer> decode_publish_answer(std::string_view text) {
    json_reading const body(text);
    std::string const state = body.text("state");
    if (state.empty()) {
        return std::nullopt;
    }
    publish_answer result;
    result.accepted = state == "accepted";
    // "pending" is as good as unknown: the node has not found out yet.
    result.known = result.accepted || state == "rejected";
    result.conflict = body.flag("conflict");
    result.offset = log_offset{body.number("offset")};
    result.problems = body.texts("problems");
    return result;
}

} // namespace camphorpoint
