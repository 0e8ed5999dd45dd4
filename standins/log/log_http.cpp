#include "log/log_http.hpp"

#include "common/standin_main.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <chrono>

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t default_limit = 256;
constexpr std::size_t largest_limit = 4'096;
constexpr std::chrono::milliseconds longest_hold{60'000};

std::chrono::milliseconds calendar_now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

std::uint64_t number_of(std::string_view text, std::uint64_t fallback) {
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// @returns NAME of /streams/NAME/records, empty for another path
std::string_view stream_of(std::string_view path) {
    constexpr std::string_view before = "/streams/";
    constexpr std::string_view after = "/records";
    if (!path.starts_with(before) || !path.ends_with(after) ||
        path.size() <= before.size() + after.size()) {
        return {};
    }
    path.remove_prefix(before.size());
    path.remove_suffix(after.size());
    return path;
}

} // namespace

log_http::log_http(retention kept, double appends_per_second)
    : appends_(appends_per_second) {
    streams_.emplace("configuration", kept);
    streams_.emplace("control", kept);
}

asio::awaitable<void> log_http::answer(camphorpoint::http_exchange& exchange) {
    camphorpoint::http_request const& request = exchange.request();
    std::string_view const path = camphorpoint::path_of(request.target);
    if (path == "/admin") {
        faults_.change(json_body(request.body));
        co_await exchange.respond(json_response(200, faults_.describe()));
        co_return;
    }
    auto const found = streams_.find(stream_of(path));
    if (found == streams_.end()) {
        co_await exchange.respond(json_response(404, "{}"));
        co_return;
    }
    if (!faults_.reachable(
            request.fields.get("X-Node"), request.fields.get("X-Domain"))) {
        co_await lose_answer(exchange, longest_hold);
        co_return;
    }
    co_await wait_for(faults_.delay());
    if (request.method == "POST") {
        co_await append(exchange, found->second);
    } else {
        co_await exchange.respond(read(request, found->second));
    }
}

asio::awaitable<void>
log_http::append(camphorpoint::http_exchange& exchange, record_stream& stream) {
    if (!appends_.take(clock_now())) {
        co_await exchange.respond(
            json_response(429, "{\"error\":\"append-rate\"}"));
        co_return;
    }
    append_fate const fate = faults_.next_append();
    if (fate == append_fate::request_lost) {
        co_await lose_answer(exchange, longest_hold);
        co_return;
    }
    std::uint64_t const offset =
        stream.append(exchange.request().body.text(), calendar_now());
    if (fate == append_fate::answer_lost) {
        co_await lose_answer(exchange, longest_hold);
        co_return;
    }
    json::object const answer{{"offset", offset}};
    co_await exchange.respond(json_response(200, json::serialize(answer)));
}

camphorpoint::http_response log_http::read(
    camphorpoint::http_request const& request, record_stream& stream) {
    stream.expire(calendar_now());
    std::uint64_t const from =
        number_of(camphorpoint::query_value(request.target, "from"), 0);
    std::uint64_t const limit = number_of(
        camphorpoint::query_value(request.target, "limit"), default_limit);
    read_answer const found =
        stream.read(from, std::min<std::uint64_t>(limit, largest_limit));
    json::array records;
    for (kept_record const& each : found.records) {
        records.push_back(json::object{
            {"offset", each.offset},
            {"time_ms", each.appended.count()},
            {"data", each.data}});
    }
    json::object const answer{
        {"first", found.first}, {"head", found.head}, {"records", records}};
    return json_response(200, json::serialize(answer));
}

} // namespace standins
