#include "Ports/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <limits>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_1_1 = 11;
constexpr std::size_t piece_bytes = 16U << 10U;

} // namespace

class http_call::state {
public:
    explicit state(asio::any_io_executor executor)
        : stream_(std::move(executor)) {
        parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    http::response_parser<http::buffer_body> parser_;
    std::array<char, piece_bytes> piece_{};
};

http_call::http_call(asio::any_io_executor executor)
    : state_(std::make_shared<state>(std::move(executor))) {}

http_call::~http_call() {
    cancel();
}

asio::awaitable<bool>
http_call::connect(ip_address const& to, std::chrono::milliseconds timeout) {
    auto const self = state_;
    beast::error_code failure;
    auto const host = asio::ip::make_address(to.host, failure);
    if (failure) {
        co_return false;
    }
    self->stream_.expires_after(timeout);
    auto const [error] = co_await self->stream_.async_connect(
        tcp::endpoint(host, to.port), use_result);
    if (!error) {
        self->stream_.socket().set_option(tcp::no_delay(true), failure);
    }
    co_return !error;
}

asio::awaitable<bool>
http_call::send(http_request request, std::chrono::milliseconds timeout) {
    auto const self = state_;
    http::request<http::string_body> message;
    message.version(http_1_1);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, "camphorpoint");
    for (http_field const& each : request.fields.all()) {
        message.set(each.name, each.value);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    self->stream_.expires_after(timeout);
    auto const [error, size] =
        co_await http::async_write(self->stream_, message, use_result);
    if (error) {
        co_return false;
    }
    auto const [header_error, header_size] = co_await http::async_read_header(
        self->stream_, self->buffer_, self->parser_, use_result);
    co_return !header_error;
}

int http_call::status() const noexcept {
    return static_cast<int>(state_->parser_.get().result_int());
}

std::string http_call::field(std::string_view name) const {
    return std::string(state_->parser_.get()[name]);
}

asio::awaitable<std::optional<std::string>>
http_call::next_piece(std::chrono::milliseconds timeout) {
    auto const self = state_;
    while (!self->parser_.is_done()) {
        auto& body = self->parser_.get().body();
        body.data = self->piece_.data();
        body.size = self->piece_.size();
        body.more = true;
        self->stream_.expires_after(timeout);
        auto [error, size] = co_await http::async_read_some(
            self->stream_, self->buffer_, self->parser_, use_result);
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (error) {
            co_return std::nullopt;
        }
        std::size_t const got = self->piece_.size() - body.size;
        if (got > 0) {
            co_return std::string(self->piece_.data(), got);
        }
    }
    co_return std::string();
}

void http_call::cancel() {
    beast::error_code ignored;
    state_->stream_.socket().close(ignored);
}

asio::awaitable<fetch_result> fetch(
    asio::any_io_executor executor, ip_address to, http_request request,
    std::chrono::milliseconds timeout) {
    http_call call(std::move(executor));
    fetch_result result;
    if (!co_await call.connect(to, timeout)) {
        co_return result;
    }
    result.how = call_result::lost;
    if (!co_await call.send(std::move(request), timeout)) {
        co_return result;
    }
    result.response.status = call.status();
    while (auto piece = co_await call.next_piece(timeout)) {
        if (piece->empty()) {
            result.how = call_result::answered;
            break;
        }
        result.response.body += *piece;
    }
    co_return result;
}

} // namespace camphorpoint
