#include "Ports/caller_request_reader.hpp"

#include "Core/hash.hpp"
#include "Ports/json_fields.hpp"
#include "Ports/stream_position.hpp"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace camphorpoint {

namespace json = boost::json;

namespace {

constexpr std::string_view calls_path = "/v1/calls/";
constexpr std::string_view streams_path = "/v1/streams/";
constexpr std::string_view completions_path = "/v1/chat/completions";
constexpr std::string_view keys_path = "/v1/keys";
constexpr std::chrono::milliseconds longest_deadline{3'600'000};
constexpr std::uint64_t most_tokens = 100'000;
constexpr std::uint32_t default_tokens = 256;
constexpr std::size_t longest_name = 256;
constexpr int status_not_found = 404;
constexpr int status_not_allowed = 405;

caller_refusal bad_request(std::string what) {
    return {400, reason::bad_request, std::move(what)};
}

/// What the header fields say, whatever the call.
struct caller_fields {
    std::optional<idempotency_key> key;
    std::optional<std::chrono::milliseconds> deadline;
    std::string group;
    std::optional<caller_refusal> refusal;
};

void read_deadline(std::string_view text, caller_fields& fields) {
    std::int64_t count = 0;
    char const* const end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, count);
    if (error != std::errc() || stop != end || count <= 0 ||
        count > longest_deadline.count()) {
        fields.refusal = {
            400, reason::deadline_invalid,
            fmt::format(
                "X-Deadline-Ms must be from 1 to {}",
                longest_deadline.count())};
        return;
    }
    fields.deadline = std::chrono::milliseconds(count);
}

caller_fields read_fields(http_fields const& from) {
    caller_fields result;
    std::string_view const key = from.get("Idempotency-Key");
    if (!key.empty()) {
        result.key = idempotency_key(std::string(key));
    }
    std::string_view const deadline = from.get("X-Deadline-Ms");
    if (!deadline.empty()) {
        read_deadline(deadline, result);
    }
    result.group = std::string(from.get("X-Caller-Group"));
    if (key.size() > longest_name || result.group.size() > longest_name) {
        result.refusal = bad_request(
            "Idempotency-Key and X-Caller-Group take 256 bytes at most");
    }
    return result;
}

caller_request
request_of(request_id id, profile_name profile, caller_fields fields) {
    caller_request result;
    result.id = std::move(id);
    result.profile = std::move(profile);
    result.key = std::move(fields.key);
    result.deadline = fields.deadline;
    result.caller_group = std::move(fields.group);
    return result;
}

std::uint64_t prefix_hash_of(json::object const& body) {
    auto const messages = json_objects(body, "messages");
    if (messages.empty()) {
        return 0;
    }
    std::string const text = json_text(*messages.front(), "content");
    return text.empty() ? 0 : hash_text(text);
}

std::vector<request_fingerprint> prompt_parts_of(json::object const& body) {
    auto const messages = json_objects(body, "messages");
    std::vector<request_fingerprint> parts;
    for (std::size_t each = 0;
         each + 1 < messages.size() && each < max_prompt_parts; ++each) {
        parts.push_back(
            fingerprint_prompt_part(json_text(*messages[each], "content")));
    }
    return parts;
}

/// A caller who repeats a request may ask for another form of the answer; it is
/// still the same request.
std::uint64_t digest_of(json::object body) {
    body.erase("stream");
    return hash_text(json::serialize(body));
}

caller_wish read_completion(http_request const& request, request_id id) {
    caller_fields fields = read_fields(request.fields);
    if (fields.refusal) {
        return *fields.refusal;
    }
    auto const body = parse_json_object(request.body);
    if (!body) {
        return bad_request("the body must be one JSON object");
    }
    std::string const model = json_text(*body, "model");
    if (model.empty() || model.size() > longest_name) {
        return bad_request("model must name a profile");
    }
    std::uint64_t const tokens =
        json_number(*body, "max_tokens").value_or(default_tokens);
    bool const wrong_tokens = body->contains("max_tokens") &&
                              !json_number(*body, "max_tokens").has_value();
    if (wrong_tokens || tokens == 0 || tokens > most_tokens) {
        return bad_request(
            fmt::format("max_tokens must be from 1 to {}", most_tokens));
    }
    caller_work work;
    work.request =
        request_of(std::move(id), profile_name(model), std::move(fields));
    work.request.expected_tokens = static_cast<std::uint32_t>(tokens);
    work.request.prefix_hash = prefix_hash_of(*body);
    work.request.prompt_parts = prompt_parts_of(*body);
    work.request.body_digest = digest_of(*body);
    bool const stream = json_flag(*body, "stream", false);
    work.form = stream ? answer_form::stream : answer_form::whole;
    work.body = request.body;
    return work;
}

caller_wish read_service_call(
    http_request const& request, std::string_view profile, request_id id) {
    caller_fields fields = read_fields(request.fields);
    if (fields.refusal) {
        return *fields.refusal;
    }
    if (profile.empty() || profile.size() > longest_name) {
        return bad_request("the path must name a profile");
    }
    caller_work work;
    work.request = request_of(
        std::move(id), profile_name(std::string(profile)), std::move(fields));
    work.request.body_digest = hash_text(request.body, hash_text(profile));
    work.form = answer_form::service;
    work.body = request.body;
    return work;
}

caller_wish read_resume(
    http_request const& request, std::string_view original, request_id id) {
    caller_fields fields = read_fields(request.fields);
    if (fields.refusal) {
        return *fields.refusal;
    }
    auto const position = read_position(request.fields.get("Last-Event-ID"));
    // Without this check a caller could be handed the rest of another's answer
    // by mixing up its own streams.
    bool const fits = position && !original.empty() &&
                      position->engine_request.str().starts_with(original);
    if (!fits) {
        return bad_request(
            "Last-Event-ID must be the id of an event of this stream");
    }
    caller_rest rest;
    rest.request.id = std::move(id);
    rest.request.original = position->engine_request;
    rest.request.endpoint = position->endpoint;
    rest.request.adapter = position->adapter;
    rest.request.from_token = position->next_token;
    rest.request.deadline = fields.deadline;
    return rest;
}

} // namespace

caller_wish read_caller_wish(http_request const& request, request_id id) {
    std::string_view const path = path_of(request.target);
    bool const post = request.method == "POST";
    bool const get = request.method == "GET";
    bool const completion = path == completions_path;
    bool const call = path.starts_with(calls_path);
    bool const stream = path.starts_with(streams_path);
    bool const key = path == keys_path;
    if (completion && post) {
        return read_completion(request, std::move(id));
    }
    if (call && post) {
        return read_service_call(
            request, path.substr(calls_path.size()), std::move(id));
    }
    if (stream && get) {
        return read_resume(
            request, path.substr(streams_path.size()), std::move(id));
    }
    if (key && get) {
        return caller_key_wish();
    }
    if (completion || call || stream || key) {
        return caller_refusal{
            status_not_allowed, reason::bad_request, "wrong method"};
    }
    return caller_refusal{
        status_not_found, reason::bad_request, "no such path"};
}

} // namespace camphorpoint
