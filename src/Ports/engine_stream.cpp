#include "Ports/engine_stream.hpp"

#include "Ports/json_fields.hpp"

#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

namespace {

struct chunk_choice {
    std::string text;
    bool has_text = false;
    bool finished = false;
};

chunk_choice choice_of(json::object const& chunk) {
    chunk_choice result;
    auto const choices = json_objects(chunk, "choices");
    if (choices.empty()) {
        return result;
    }
    json::object const& first = *choices.front();
    result.finished = !json_text(first, "finish_reason").empty();
    json::value const* delta = first.if_contains("delta");
    if (delta != nullptr && delta->is_object()) {
        result.has_text = delta->get_object().contains("content");
        result.text = json_text(delta->get_object(), "content");
    }
    return result;
}

std::optional<std::uint64_t> announced_length(json::object const& chunk) {
    json::value const* usage = chunk.if_contains("usage");
    if (usage == nullptr || !usage->is_object()) {
        return std::nullopt;
    }
    return json_number(usage->get_object(), "completion_tokens");
}

} // namespace

std::string engine_model(adapter_ref const& adapter) {
    return fmt::format("{}@{}", adapter.id.str(), adapter.version);
}

engine_stream::engine_stream(
    request_id id, adapter_ref const& adapter, std::uint32_t from)
    : id_(std::move(id))
    , model_(engine_model(adapter))
    , next_(from) {}

stream_verdict engine_stream::take(stream_event const& event) {
    text_.clear();
    if (event.data == "[DONE]") {
        return last_seen_ ? stream_verdict::finished : stream_verdict::cut;
    }
    auto const chunk = parse_json_object(event.data);
    if (!chunk || last_seen_) {
        return stream_verdict::cut;
    }
    // Crossed or late answers bear another id, and an engine that changed the
    // adapter under the request names another version: neither is handed on.
    if (json_text(*chunk, "id") != id_.str() ||
        json_text(*chunk, "model") != model_) {
        return stream_verdict::mismatch;
    }
    chunk_choice choice = choice_of(*chunk);
    bool const bears_token = choice.has_text || !choice.finished;
    if (bears_token && event.id != std::to_string(next_)) {
        return stream_verdict::cut;
    }
    next_ += bears_token ? 1 : 0;
    text_ = std::move(choice.text);
    if (!choice.finished) {
        return stream_verdict::token;
    }
    last_seen_ = true;
    // A stream that an engine ended early looks whole but for its length.
    return announced_length(*chunk) == next_ ? stream_verdict::last
                                             : stream_verdict::cut;
}

} // namespace camphorpoint
