#include "Operator/profile_listing.hpp"

#include "Operator/json_reading.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

namespace {

json::object encode_state(profile_state const& state) {
    profile const& value = state.value;
    return {
        {"name", value.name.str()},
        {"kind", value.kind == endpoint_kind::service ? "service" : "engine"},
        {"model", value.model.str()},
        {"adapter", value.adapter.id.str()},
        {"version", value.adapter.version},
        {"urgency", std::string(to_string(value.how_urgent))},
        {"idempotent", value.idempotent},
        {"deadline_ms", value.default_deadline.count()},
        {"revision", value.revision},
        {"removed", state.removed}};
}

profile_state decode_state(json_reading const& from) {
    profile_state state;
    profile& value = state.value;
    value.name = profile_name(from.text("name"));
    value.kind = from.text("kind") == "service" ? endpoint_kind::service
                                                : endpoint_kind::engine;
    value.model = model_id(from.text("model"));
    value.adapter.id = adapter_id(from.text("adapter"));
    value.adapter.version = static_cast<std::uint32_t>(from.number("version"));
    value.how_urgent =
        parse_urgency(from.text("urgency")).value_or(urgency::normal);
    value.idempotent = from.flag("idempotent");
    value.default_deadline =
        std::chrono::milliseconds(from.number("deadline_ms"));
    value.revision = from.number("revision");
    state.removed = from.flag("removed");
    return state;
}

} // namespace

std::string encode(profile_listing const& listing) {
    json::array profiles;
    for (profile_state const& each : listing.profiles) {
        profiles.emplace_back(encode_state(each));
    }
    return json::serialize(json::object{
        {"next", listing.next.value},
        {"digest", listing.digest},
        {"profiles", std::move(profiles)}});
}

std::optional<profile_listing> decode_profile_listing(std::string_view text) {
    json_reading const body(text);
    if (!body.valid() || !body.has("next") || !body.has("profiles")) {
        return std::nullopt;
    }
    profile_listing result;
    result.next = log_offset{body.number("next")};
    result.digest = body.number("digest");
    for (json_reading const& each : body.objects("profiles")) {
        result.profiles.push_back(decode_state(each));
    }
    return result;
}

} // namespace camphorpoint
