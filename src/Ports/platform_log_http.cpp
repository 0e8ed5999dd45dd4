#include "Ports/platform_log_http.hpp"

#include "Ports/http_client.hpp"
#include "Ports/json_fields.hpp"

#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// A batch of the largest records still fits into largest_answer.
constexpr int most_records = 500;
constexpr int status_ok = 200;

std::optional<log_record>
parse_record(json::object const& object, log_offset least) {
    auto const offset = json_number(object, "offset");
    if (!offset || *offset < least.value || !object.contains("data")) {
        return std::nullopt;
    }
    log_record record;
    record.offset = log_offset{*offset};
    record.appended = wall_time(
        std::chrono::milliseconds(json_number(object, "time_ms").value_or(0)));
    record.data = json_text(object, "data");
    return record;
}

} // namespace

std::string_view stream_name(log_stream stream) noexcept {
    switch (stream) {
    case log_stream::configuration:
        return "configuration";
    case log_stream::control:
        return "control";
    }
    return "configuration";
}

std::optional<log_batch> parse_log_batch(
    std::string_view body, log_stream stream, log_offset from,
    instant read_started) {
    auto const answer = parse_json_object(body);
    if (!answer || !answer->contains("records")) {
        return std::nullopt;
    }
    auto const first = json_number(*answer, "first");
    auto const head = json_number(*answer, "head");
    if (!first || !head) {
        return std::nullopt;
    }
    log_batch batch{stream, from, {*first}, {*head}, {}, read_started};
    log_offset least = from;
    for (json::object const* each : json_objects(*answer, "records")) {
        auto record = parse_record(*each, least);
        // Replay is only the same everywhere if each record comes once and in
        // order; a batch that says otherwise is dropped and read again.
        if (!record || record->offset.value >= batch.head.value) {
            return std::nullopt;
        }
        least = log_offset{record->offset.value + 1};
        batch.records.push_back(std::move(*record));
    }
    return batch;
}

platform_log_http::platform_log_http(
    asio::any_io_executor executor, ip_address address, http_pool& pool,
    std::chrono::milliseconds timeout, log_caller self)
    : executor_(std::move(executor))
    , address_(std::move(address))
    , pool_(&pool)
    , timeout_(timeout)
    , self_(std::move(self)) {}

http_request platform_log_http::named_request() const {
    http_request request;
    request.fields.add("X-Node", self_.node.str());
    request.fields.add("X-Domain", self_.domain.str());
    return request;
}

asio::awaitable<std::optional<log_batch>>
platform_log_http::read(log_stream stream, log_offset from) {
    instant const started = boot_clock::now();
    http_request request = named_request();
    request.target = fmt::format(
        "/streams/{}/records?from={}&limit={}", stream_name(stream), from.value,
        most_records);
    call_times times = reading_times_of(timeout_);
    http_call call(executor_, pool_);
    fetch_result const got =
        co_await fetch(call, address_, std::move(request), times);
    if (got.how != call_result::answered || got.response.status != status_ok) {
        co_return std::nullopt;
    }
    co_return parse_log_batch(got.response.body, stream, from, started);
}

asio::awaitable<append_outcome>
platform_log_http::append(log_stream stream, std::string data) {
    http_request request = named_request();
    request.method = "POST";
    request.target = fmt::format("/streams/{}/records", stream_name(stream));
    request.body = std::move(data);
    call_times times;
    times.close_at = boot_clock::now() + timeout_;
    times.each_step = timeout_;
    http_call call(executor_, pool_);
    fetch_result const got =
        co_await fetch(call, address_, std::move(request), times);
    append_outcome result;
    if (got.how == call_result::not_sent) {
        co_return result;
    }
    result.how = append_result::lost;
    auto const answer = parse_json_object(got.response.body);
    if (got.how == call_result::answered && answer &&
        got.response.status == status_ok) {
        if (auto const offset = json_number(*answer, "offset")) {
            result.how = append_result::appended;
            result.offset = log_offset{*offset};
        }
    }
    co_return result;
}

} // namespace camphorpoint
