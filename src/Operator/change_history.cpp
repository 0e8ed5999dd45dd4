#include "Operator/change_history.hpp"

#include "Operator/json_reading.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

std::string_view to_string(verdict value) noexcept {
    switch (value) {
    case verdict::accepted:
        return "accepted";
    case verdict::rejected_conflict:
        return "rejected-conflict";
    case verdict::withdrawn:
        return "withdrawn";
    case verdict::rejected_invalid:
        return "rejected-invalid";
    case verdict::repeated:
        return "repeated";
    case verdict::not_a_change:
        return "not-a-change";
    }
    return "not-a-change";
}

std::string encode(std::vector<history_entry> const& entries) {
    json::array changes;
    for (history_entry const& each : entries) {
        json::array profiles;
        for (std::string const& name : each.profiles) {
            profiles.emplace_back(name);
        }
        changes.push_back(json::object{
            {"offset", each.offset.value},
            {"time_ms", each.appended.time_since_epoch().count()},
            {"id", each.id.str()},
            {"author", each.author},
            {"verdict", each.verdict_code},
            {"profiles", std::move(profiles)}});
    }
    return json::serialize(json::object{{"changes", std::move(changes)}});
}

std::optional<std::vector<history_entry>>
decode_change_history(std::string_view text) {
    json_reading const body(text);
    if (!body.valid() || !body.has("changes")) {
        return std::nullopt;
    }
    std::vector<history_entry> result;
    for (json_reading const& each : body.objects("changes")) {
        history_entry entry;
        entry.offset = log_offset{each.number("offset")};
        entry.appended =
            wall_time(std::chrono::milliseconds(each.number("time_ms")));
        entry.id = change_id(each.text("id"));
        entry.author = each.text("author");
        entry.verdict_code = each.text("verdict");
        entry.profiles = each.texts("profiles");
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace camphorpoint
