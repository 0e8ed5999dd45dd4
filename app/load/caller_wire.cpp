#include "app/load/caller_wire.hpp"

#include "Core/hash.hpp"
#include "Load/expected_text.hpp"
#include "Operator/json_reading.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

namespace {

constexpr char const* role = "user";

std::string
completion_body(planned_request const& planned, std::string const& model) {
    json::object const message{{"role", role}, {"content", planned.prompt}};
    return json::serialize(json::object{
        {"model", model},
        {"stream", true},
        {"max_tokens", planned.tokens},
        {"messages", json::array{message}}});
}

} // namespace

std::uint64_t work_of(planned_request const& planned) {
    if (!planned.to_engine()) {
        return hash_text(service_body(planned));
    }
    prompt_digest digest;
    digest.add(role, planned.prompt);
    return digest.value();
}

std::string service_body(planned_request const& planned) {
    return json::serialize(
        json::object{{"call", planned.prompt}, {"number", planned.number}});
}

http_request node_request(planned_request const& planned, std::string key) {
    http_request request;
    request.method = "POST";
    request.fields.add("Content-Type", "application/json");
    if (!key.empty()) {
        request.fields.add("Idempotency-Key", std::move(key));
    }
    std::string const name = planned.wanted.name.str();
    if (planned.to_engine()) {
        request.target = "/v1/chat/completions";
        request.body = completion_body(planned, name);
    } else {
        request.target = "/v1/calls/" + name;
        request.body = service_body(planned);
    }
    return request;
}

http_request engine_request_of(
    planned_request const& planned, adapter_ref const& adapter,
    std::string const& id) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.fields.add("Content-Type", "application/json");
    request.fields.add("X-Request-Id", id);
    request.fields.add(
        "X-Priority", std::string(to_string(planned.wanted.how_urgent)));
    request.body = completion_body(
        planned, fmt::format("{}@{}", adapter.id.str(), adapter.version));
    return request;
}

http_request
resume_request(std::string const& request_id, std::string const& last_event) {
    http_request request;
    request.target = "/v1/streams/" + request_id;
    request.fields.add("Last-Event-ID", last_event);
    return request;
}

stated_end read_outcome_event(std::string_view data) {
    json_reading const body(data);
    stated_end end;
    end.stated = body.valid() && body.has("outcome");
    end.outcome = body.text("outcome");
    end.why = body.text("reason");
    return end;
}

} // namespace camphorpoint
