#include "Ports/http_server_connection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <tuple>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_1_1 = 11;

template <class Message>
void copy_fields(http_fields const& from, Message& to) {
    for (http_field const& each : from.all()) {
        to.insert(each.name, each.value);
    }
}

} // namespace

// Guards against a second head within an answer: its caller would read it as a
// part of the first one's body.
bool http_exchange::connection::begin_answer(answer_state state) {
    bool const first = answer_ == answer_state::none;
    broken_ = broken_ || !first;
    answer_ = first ? state : answer_;
    return first;
}

// A server that ends answers a request that already waits behind this one, and
// ends the connection with the last of them. A caller that always has one
// waiting is told when the limit has passed.
void http_exchange::connection::decide_keep_alive() {
    bool const in_time = boot_clock::now() < waiting_limit_;
    keep_alive_ = keep_alive_ && (!ending_ || (in_time && request_waits()));
}

bool http_exchange::connection::note_write(beast::error_code error) {
    stream_.expires_never();
    broken_ = broken_ || error;
    write_error_ = write_error_ ? write_error_ : error;
    return !error;
}

asio::awaitable<bool>
http_exchange::connection::respond(http_response response) {
    if (!begin_answer(answer_state::whole)) {
        co_return false;
    }
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), http_1_1);
    copy_fields(response.fields, message);
    message.body() = std::move(response.body);
    decide_keep_alive();
    message.keep_alive(keep_alive_);
    message.prepare_payload();
    http::response_serializer<http::string_body> serializer(message);
    stream_.expires_after(limits_->write_timeout);
    beast::error_code error;
    if (head_only_) {
        std::tie(error, std::ignore) =
            co_await http::async_write_header(stream_, serializer, use_result);
    } else {
        std::tie(error, std::ignore) =
            co_await http::async_write(stream_, serializer, use_result);
    }
    co_return note_write(error);
}

asio::awaitable<bool>
http_exchange::connection::begin_stream(int status, http_fields fields) {
    if (!begin_answer(answer_state::begun)) {
        co_return false;
    }
    http::response<http::empty_body> message(
        static_cast<http::status>(status), http_1_1);
    copy_fields(fields, message);
    decide_keep_alive();
    message.keep_alive(keep_alive_);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(limits_->write_timeout);
    auto const [error, size] =
        co_await http::async_write_header(stream_, serializer, use_result);
    co_return note_write(error);
}

asio::awaitable<bool>
http_exchange::connection::write_piece(std::string_view piece) {
    if (piece.empty() || head_only_) {
        // An empty chunk would end the answer; one to HEAD has no body.
        co_return !broken_;
    }
    stream_.expires_after(limits_->write_timeout);
    auto const [error, size] = co_await asio::async_write(
        stream_, http::make_chunk(asio::buffer(piece.data(), piece.size())),
        use_result);
    co_return note_write(error);
}

asio::awaitable<bool> http_exchange::connection::end_stream() {
    answer_ = answer_state::whole;
    if (head_only_) {
        co_return !broken_;
    }
    stream_.expires_after(limits_->write_timeout);
    auto const [error, size] = co_await asio::async_write(
        stream_, http::make_chunk_last(), use_result);
    co_return note_write(error);
}

http_exchange::http_exchange(connection& link, http_request request)
    : link_(&link)
    , request_(std::move(request)) {}

asio::awaitable<bool> http_exchange::respond(http_response response) {
    return link_->respond(std::move(response));
}

asio::awaitable<bool>
http_exchange::begin_stream(int status, http_fields fields) {
    return link_->begin_stream(status, std::move(fields));
}

asio::awaitable<bool> http_exchange::write_piece(std::string_view piece) {
    return link_->write_piece(piece);
}

asio::awaitable<bool> http_exchange::end_stream() {
    return link_->end_stream();
}

void http_exchange::on_caller_gone(std::function<void()> gone) {
    link_->watch(std::move(gone));
}

void http_exchange::check_caller() {
    link_->check_caller();
}

} // namespace camphorpoint
