#include "metadata/metadata_http.hpp"

#include "common/json_body.hpp"
#include "common/standin_main.hpp"

#include <absl/strings/escaping.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace standins {

namespace asio = boost::asio;
namespace json = boost::json;
using camphorpoint::http_exchange;
using camphorpoint::http_response;
using std::chrono::milliseconds;

namespace {

/// An answer that is lost leaves its connection open for so long.
constexpr milliseconds longest_hold{5'000};

/// @returns the text of a query's value: RFC 3986, section 2.1
std::string percent_decoded(std::string_view encoded) {
    constexpr std::size_t escape_size = 3;
    std::string text;
    while (!encoded.empty()) {
        std::string_view const digits = encoded.substr(0, escape_size);
        bool const escape = digits.size() == escape_size && digits[0] == '%';
        std::string const byte =
            escape ? absl::HexStringToBytes(
                         absl::string_view(&digits[1], escape_size - 1))
                   : std::string(1, digits[0]);
        text += byte;
        encoded.remove_prefix(escape ? escape_size : 1);
    }
    return text;
}

std::string query(std::string_view target, std::string_view name) {
    return percent_decoded(camphorpoint::query_value(target, name));
}

std::uint64_t number(std::string const& text) {
    return std::strtoull(text.c_str(), nullptr, 10);
}

/// Numbers stand with their highest byte first.
void add_number(std::string& to, std::uint64_t value, int bytes) {
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        to.push_back(static_cast<char>(value >> shift));
    }
}

std::string keyed_bytes(stored_record const& record) {
    std::string bytes;
    add_number(bytes, 1 + record.key.size() + record.value.size(), 4);
    add_number(bytes, record.key.size(), 1);
    return bytes + record.key + record.value;
}

} // namespace

void metadata_http::come_back(metadata_store copy) {
    store_ = std::move(copy);
    epoch += epoch == 0 ? 0 : 1;
}

asio::awaitable<void> metadata_http::answer(http_exchange& exchange) {
    ++calls;
    std::string const target = exchange.request().target;
    if (silent) {
        constexpr std::chrono::seconds longer_than_any_wait(20);
        asio::steady_timer timer(
            co_await asio::this_coro::executor, longer_than_any_wait);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return;
    }
    if (turns_away) {
        co_await exchange.respond(json_response(503, "{}"));
        co_return;
    }
    bool const adds = camphorpoint::path_of(target) == "/log-append";
    if (adds && !delays_appends_to.empty() &&
        query(target, "topic") == delays_appends_to) {
        delayed_.push_back({target, exchange.request().body.text()});
        co_await lose_answer(exchange, longest_hold);
        co_return;
    }
    http_response response;
    if (camphorpoint::path_of(target) == "/log-read") {
        response = co_await read(target);
    } else {
        response = respond(target, exchange.request().body.text());
    }
    if (epoch != 0) {
        response.fields.add("Store-Era", std::to_string(epoch));
    }
    if (loses_answers || (adds && loses_append_answers)) {
        co_await lose_answer(exchange, longest_hold);
        co_return;
    }
    co_await send(exchange, std::move(response));
}

asio::awaitable<void>
metadata_http::send(http_exchange& exchange, http_response response) {
    if (bytes_per_second == 0) {
        co_await exchange.respond(std::move(response));
        co_return;
    }
    bool there = co_await exchange.begin_stream(
        response.status, std::move(response.fields));
    // Answers that are on their way at the same time take turns.
    constexpr std::size_t turn_bytes = 4'096;
    std::string_view left = response.body;
    while (there && !left.empty()) {
        std::string_view const piece = left.substr(0, turn_bytes);
        left.remove_prefix(piece.size());
        way_free_ = std::max(way_free_, clock_now()) +
                    std::chrono::microseconds(
                        1'000'000 * piece.size() / bytes_per_second);
        co_await wait_for(
            std::chrono::duration_cast<milliseconds>(way_free_ - clock_now()));
        there = co_await exchange.write_piece(piece);
        bytes_sent += piece.size();
    }
    if (there) {
        co_await exchange.end_stream();
    }
}

http_response
metadata_http::respond(std::string const& target, std::string const& body) {
    std::string_view const path = camphorpoint::path_of(target);
    if (path == "/log-newest") {
        return newest(query(target, "topic"), query(target, "after"));
    }
    if (path == "/log-join") {
        return join(body);
    }
    if (path == "/log-leave") {
        store_.leave(json_body(body).text("member"));
        return json_response(200, "{}");
    }
    if (path == "/log-owners") {
        return owners();
    }
    if (path == "/log-append") {
        return append(target, body);
    }
    return json_response(404, "{}");
}

http_response
metadata_http::append(std::string const& target, std::string const& body) {
    std::string const topic = query(target, "topic");
    auto const part = static_cast<unsigned>(number(query(target, "part")));
    std::uint64_t const place = store_.end(topic, part);
    std::string const condition = query(target, "at");
    if (!condition.empty() && number(condition) != place) {
        return json_response(
            412, json::serialize(json::object{{"end", place}}));
    }
    ++appends[topic];
    constexpr std::size_t length_bytes = 4;
    if (topic.starts_with("keyed.") && body.size() > length_bytes) {
        auto const key_size = static_cast<unsigned char>(body[length_bytes]);
        std::string key = body.substr(length_bytes + 1, key_size);
        std::string value = body.substr(length_bytes + 1 + key_size);
        if (on_put) {
            on_put(topic, key, value);
        }
        store_.put(topic, std::move(key), std::move(value));
    } else {
        store_.append(topic, part, body);
    }
    json::object const answer{{"offset", place}, {"end", place + 1}};
    return json_response(200, json::serialize(answer));
}

void metadata_http::carry_out_delayed() {
    for (delayed_append const& each : std::exchange(delayed_, {})) {
        append(each.target, each.body);
    }
}

http_response
metadata_http::newest(std::string const& topic, std::string const& after) {
    ++readings[topic];
    json::array items;
    bool more = false;
    for (auto const& [key, value] : store_.newest(topic)) {
        if (key <= after) {
            continue;
        }
        more = items.size() >= page_items;
        if (more) {
            break;
        }
        std::string encoded;
        absl::Base64Escape(value, &encoded);
        items.push_back(json::object{{"key", key}, {"value", encoded}});
    }
    json::object const page{
        {"items", std::move(items)},
        {"more_pages", more},
        {"end", store_.end(topic)}};
    http_response answer = json_response(200, json::serialize(page));
    if (more && page_made) {
        page_made(topic);
    }
    return answer;
}

http_response metadata_http::join(std::string const& body) {
    json_body const asked(body);
    auto const held = store_.join(
        asked.text("member"), asked.texts("topics"),
        milliseconds(asked.integer("ttl_ms", 1'000)), clock_now());
    json::array rows;
    for (auto const& [topic, part] : held) {
        rows.push_back(json::array{topic, part, 0});
    }
    json::object const answer{
        {"generation", store_.generation()}, {"parts", std::move(rows)}};
    return json_response(200, json::serialize(answer));
}

http_response metadata_http::owners() const {
    json::array rows;
    for (auto const& [part, member] : store_.owners()) {
        rows.push_back(json::array{part.first, part.second, member, 0});
    }
    return json_response(
        200, json::serialize(json::object{{"rows", std::move(rows)}}));
}

asio::awaitable<http_response> metadata_http::read(std::string target) {
    std::string const topic = query(target, "topic");
    std::uint64_t const from = number(query(target, "from"));
    ++readings[topic];
    auto const until =
        clock_now() + milliseconds(number(query(target, "wait_ms")));
    while (store_.end(topic) == from && clock_now() < until) {
        co_await wait_for(milliseconds(5));
    }
    auto const records = store_.read(topic, from);
    if (!records || from > store_.end(topic)) {
        co_return json_response(410, "{\"first\":0}");
    }
    http_response response;
    add_number(response.body, store_.end(topic), 8);
    add_number(response.body, 0, 8);
    for (stored_record const& each : *records) {
        response.body += keyed_bytes(each);
    }
    co_return response;
}

} // namespace standins
