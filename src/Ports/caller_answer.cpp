#include "Ports/caller_answer.hpp"

#include "Ports/engine_stream.hpp"
#include "Ports/event_stream.hpp"
#include "Ports/json_fields.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace camphorpoint {

namespace json = boost::json;

namespace {

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int not_found = 404;
constexpr int request_timeout = 408;
constexpr int conflict = 409;
constexpr int too_large = 413;
constexpr int unprocessable = 422;
constexpr int too_many = 429;
constexpr int internal_failure = 500;
constexpr int bad_gateway = 502;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;

json::object
chunk(json::object const& completion, json::object delta, bool last) {
    json::object choice{{"index", 0}, {"delta", std::move(delta)}};
    choice["finish_reason"] = last ? json::value("stop") : json::value();
    return {
        {"id", json_text(completion, "id")},
        {"object", "chat.completion.chunk"},
        {"model", json_text(completion, "model")},
        {"choices", json::array{std::move(choice)}}};
}

std::string text_of_completion(json::object const& completion) {
    auto const choices = json_objects(completion, "choices");
    if (choices.empty()) {
        return {};
    }
    json::value const* message = choices.front()->if_contains("message");
    if (message == nullptr || !message->is_object()) {
        return {};
    }
    return json_text(message->get_object(), "content");
}

int status_of_reason(outcome how, reason why) noexcept {
    switch (why) {
    case reason::bad_request:
    case reason::deadline_invalid:
    case reason::key_too_new:
        return bad_request;
    case reason::unknown_profile:
        return not_found;
    case reason::caller_gone:
        return request_timeout;
    case reason::key_too_old:
    case reason::key_unknown_after_takeover:
    case reason::already_running:
        return conflict;
    case reason::request_too_large:
        return too_large;
    case reason::key_reused:
        return unprocessable;
    case reason::limit_reached:
    case reason::retry_budget_empty:
        return too_many;
    case reason::internal_error:
        return internal_failure;
    case reason::endpoint_failed:
    case reason::answer_cut:
    case reason::answer_mismatch:
        return bad_gateway;
    case reason::deadline_passed:
        return gateway_timeout;
    default:
        return how == outcome::not_run ? unavailable : bad_gateway;
    }
}

} // namespace

int status_of(outcome how, reason why) noexcept {
    if (how == outcome::done) {
        return ok;
    }
    int const status = status_of_reason(how, why);
    // To callers these statuses promise that the request has not run.
    bool const promises = status == request_timeout || status == too_many ||
                          status == unavailable;
    return how == outcome::unknown && promises ? bad_gateway : status;
}

void add_outcome(http_fields& fields, finish_request const& end) {
    constexpr std::int64_t second = 1'000;
    fields.add("X-Outcome", std::string(to_string(end.how)));
    fields.add("X-Reason", std::string(to_string(end.why)));
    if (end.retry_after.count() > 0) {
        std::int64_t const seconds =
            (end.retry_after.count() + second - 1) / second;
        fields.add("Retry-After", std::to_string(seconds));
    }
}

http_response error_answer(finish_request const& end, std::string_view what) {
    http_response response;
    response.status = status_of(end.how, end.why);
    response.fields.add("Content-Type", "application/json");
    add_outcome(response.fields, end);
    json::object error{
        {"outcome", to_string(end.how)}, {"reason", to_string(end.why)}};
    if (!what.empty()) {
        error["message"] = what;
    }
    if (end.retry_after.count() > 0) {
        error["retry_after_ms"] = end.retry_after.count();
    }
    response.body = json::serialize(json::object{{"error", error}}) + "\n";
    return response;
}

std::string outcome_event(finish_request const& end) {
    json::object data{
        {"outcome", to_string(end.how)}, {"reason", to_string(end.why)}};
    if (end.retry_after.count() > 0) {
        data["retry_after_ms"] = end.retry_after.count();
    }
    return write_event({"", "outcome", json::serialize(data)});
}

std::string write_completion(completion_text const& whole) {
    json::object message{{"role", "assistant"}, {"content", whole.text}};
    json::object choice{{"index", 0}, {"message", std::move(message)}};
    choice["finish_reason"] = "stop";
    json::object completion{
        {"id", whole.id.str()},
        {"object", "chat.completion"},
        {"model", engine_model(whole.adapter)},
        {"choices", json::array{std::move(choice)}}};
    completion["usage"] = json::object{{"completion_tokens", whole.tokens}};
    return json::serialize(completion);
}

std::string stream_of_completion(std::string_view completion) {
    auto const whole = parse_json_object(completion);
    if (!whole) {
        return {};
    }
    json::object const text{{"content", text_of_completion(*whole)}};
    json::object last = chunk(*whole, {}, true);
    if (json::value const* usage = whole->if_contains("usage")) {
        last["usage"] = *usage;
    }
    return write_event({"", "", json::serialize(chunk(*whole, text, false))}) +
           write_event({"", "", json::serialize(last)});
}

} // namespace camphorpoint
