#include "engine/completion_form.hpp"

#include "Load/expected_text.hpp"
#include "Ports/event_stream.hpp"
#include "common/json_body.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace standins {

namespace json = boost::json;
using camphorpoint::stream_event;
using camphorpoint::write_event;

namespace {

constexpr std::int64_t most_tokens = 100'000;

std::uint64_t digest_of(json_body const& body) {
    camphorpoint::prompt_digest digest;
    auto const* messages = body.object().if_contains("messages");
    if (messages == nullptr || !messages->is_array()) {
        return digest.value();
    }
    for (json::value const& each : messages->as_array()) {
        json_body const message(json::serialize(each));
        digest.add(message.text("role"), message.text("content"));
    }
    return digest.value();
}

camphorpoint::urgency priority_of(std::string_view text) {
    if (text.size() == 1 && text[0] >= '0' && text[0] <= '3') {
        return static_cast<camphorpoint::urgency>(text[0] - '0');
    }
    return camphorpoint::parse_urgency(text).value_or(
        camphorpoint::urgency::normal);
}

std::string model_text(camphorpoint::adapter_ref const& adapter) {
    return fmt::format("{}@{}", adapter.id.str(), adapter.version);
}

json::object chunk(engine_run const& run, json::object delta) {
    json::object choice{{"index", 0}, {"delta", std::move(delta)}};
    choice["finish_reason"] = nullptr;
    return {
        {"id", run.order.request},
        {"object", "chat.completion.chunk"},
        {"model", model_text(run.order.adapter)},
        {"choices", json::array{std::move(choice)}}};
}

} // namespace

std::optional<run_order> read_completion(
    camphorpoint::http_request const& request, std::uint32_t default_tokens) {
    json_body const body(request.body);
    std::string const model = body.text("model");
    std::size_t const at = model.rfind('@');
    if (!body.valid() || at == std::string::npos || at == 0) {
        return std::nullopt;
    }
    run_order order;
    char const* const end = model.data() + model.size();
    auto const [stop, error] =
        std::from_chars(model.data() + at + 1, end, order.adapter.version);
    if (error != std::errc() || stop != end) {
        return std::nullopt;
    }
    order.adapter.id = camphorpoint::adapter_id(model.substr(0, at));
    order.request = std::string(request.fields.get("X-Request-Id"));
    order.key = std::string(request.fields.get("Idempotency-Key"));
    order.priority = priority_of(request.fields.get("X-Priority"));
    order.prompt = digest_of(body);
    order.tokens = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        body.integer("max_tokens", default_tokens), 1, most_tokens));
    return order;
}

std::string token_event(engine_run const& run, std::uint32_t index) {
    json::object const data = chunk(
        run, {{"content", camphorpoint::expected_token(
                              run.order.adapter, run.order.prompt, index)}});
    return write_event(
        stream_event{std::to_string(index), "", json::serialize(data)});
}

std::string closing_events(engine_run const& run) {
    json::object data = chunk(run, {});
    data["choices"].as_array()[0].as_object()["finish_reason"] = "stop";
    data["usage"] = json::object{{"completion_tokens", run.produced}};
    std::string const last = write_event(
        stream_event{std::to_string(run.produced), "", json::serialize(data)});
    return last + write_event(stream_event{"", "", "[DONE]"});
}

} // namespace standins
