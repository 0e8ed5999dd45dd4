#include "Ports/http_server_connection.hpp"

#include "Core/time.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_failure = 500;
constexpr int status_unavailable = 503;
constexpr std::size_t longest_id = 128;
constexpr std::size_t first_read = 4U << 10U;
/// How long a caller has to read the last answer before its connection is
/// closed.
constexpr std::chrono::milliseconds reader_patience{500};

/// @param outcome of the request: "not-run", or "unknown" when its handler may
///        have sent it on
http_response
error_response(int status, std::string_view outcome, std::string_view what) {
    http_response response;
    response.status = status;
    response.fields.add("Content-Type", "application/json");
    response.fields.add("X-Outcome", std::string(outcome));
    response.fields.add("X-Reason", std::string(what));
    response.body = fmt::format(
        "{{\"error\":{{\"outcome\":\"{}\",\"reason\":\"{}\"}}}}\n", outcome,
        what);
    return response;
}

/// @returns why a request that could not be read has no answer of the handler
connection_end reason_of(beast::error_code error, bool anything_read) {
    if (error == http::error::body_limit ||
        error == http::error::header_limit) {
        return connection_end::too_large;
    }
    if (error == asio::error::operation_aborted && anything_read) {
        return connection_end::read_timeout;
    }
    bool const not_http =
        error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    return not_http ? connection_end::bad_request
                    : connection_end::half_request;
}

http_request plain_request(http::request<http::string_body> message) {
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (auto const& field : message) {
        request.fields.add(
            std::string(field.name_string()), std::string(field.value()));
    }
    request.body = std::move(message.body());
    return request;
}

/// Ends what a stream waits for when a time has passed. Beast's own timeout
/// closes the socket, which leaves no way to tell the caller why.
class cancel_guard {
public:
    cancel_guard(beast::tcp_stream& stream, std::chrono::milliseconds time)
        : timer_(stream.get_executor(), time)
        , passed_(std::make_shared<bool>(false)) {
        timer_.async_wait([passed = passed_, &stream](beast::error_code error) {
            if (!error && !*passed) {
                *passed = true;
                stream.cancel();
            }
        });
    }
    ~cancel_guard() {
        // A timer that has already fired can't be cancelled; its handler must
        // not touch a stream that is gone.
        *passed_ = true;
    }
    cancel_guard(cancel_guard const&) = delete;
    cancel_guard& operator=(cancel_guard const&) = delete;

private:
    asio::steady_timer timer_;
    std::shared_ptr<bool> passed_;
};

} // namespace

http_exchange::connection::connection(
    tcp::socket socket, std::shared_ptr<http_limits const> limits,
    std::shared_ptr<byte_budget> bodies)
    : stream_(std::move(socket))
    , limits_(std::move(limits))
    , first_idle_timeout_(limits_->idle_timeout)
    , bodies_(std::move(bodies)) {}

void http_exchange::connection::close_socket() {
    beast::error_code ignored;
    stream_.socket().close(ignored);
}

std::optional<connection_end_report> http_exchange::connection::close() {
    std::optional<connection_end_report> end;
    if (in_request_) {
        why_ = why_.value_or(connection_end::closed);
        end = take_report();
        discard_behind_request();
    }
    close_socket();
    return end;
}

std::optional<connection_end_report> http_exchange::connection::take_report() {
    if (!why_ && answer_ == answer_state::whole && request_waits()) {
        why_ = connection_end::behind_last;
    }
    if (!why_ || reported_) {
        return std::nullopt;
    }
    reported_ = true;
    beast::error_code ignored;
    connection_end_report end;
    end.why = *why_;
    end.id = request_id_;
    end.status = own_status_;
    end.bytes_read = request_bytes_ + buffer_.size();
    end.bytes_unread = stream_.socket().available(ignored);
    return end;
}

asio::awaitable<void>
http_exchange::connection::refuse_with(int status, std::string_view why) {
    keep_alive_ = false;
    own_status_ = status;
    bool const handled = why_ == connection_end::handler_failed;
    http_response response =
        error_response(status, handled ? "unknown" : "not-run", why);
    co_await respond(std::move(response));
}

asio::awaitable<void>
http_exchange::connection::refuse(beast::error_code error, bool anything_read) {
    why_ = reason_of(error, anything_read);
    if (why_ == connection_end::too_large) {
        co_await refuse_with(status_too_large, "request-too-large");
    } else if (why_ == connection_end::read_timeout) {
        // A caller that sends its header byte by byte holds a connection for
        // read_timeout at the most.
        co_await refuse_with(status_timeout, "bad-request");
    } else if (why_ == connection_end::bad_request) {
        co_await refuse_with(status_bad_request, "bad-request");
    }
    broken_ = true;
}

void http_exchange::connection::end_soon(bool idle_too) {
    ending_ = true;
    closing_ = closing_ || idle_too;
    if (idle_ && idle_too) {
        stream_.cancel();
    }
}

// A caller may have been told the idle time of an earlier configuration.
std::chrono::milliseconds http_exchange::connection::idle_timeout() const {
    return std::max(first_idle_timeout_, limits_->idle_timeout);
}

asio::awaitable<void> http_exchange::connection::await_bytes() {
    answer_ = answer_state::none;
    instant const since = boot_clock::now();
    auto const left = [&] {
        return std::chrono::ceil<std::chrono::milliseconds>(
            since + idle_timeout() - boot_clock::now());
    };
    // The idle time may have been raised during the wait.
    while (buffer_.size() == 0 && !broken_ && !closing_ && left().count() > 0) {
        co_await read_within(left());
    }
}

asio::awaitable<void>
http_exchange::connection::read_within(std::chrono::milliseconds time) {
    stream_.expires_never();
    cancel_guard const guard(stream_, time);
    idle_ = true;
    auto const [error, size] = co_await stream_.async_read_some(
        buffer_.prepare(first_read), use_result);
    idle_ = false;
    buffer_.commit(size);
    broken_ = broken_ || !stream_.socket().is_open() ||
              (error && error != asio::error::operation_aborted);
}

// Reads without waiting.
void http_exchange::connection::read_arrived() {
    beast::error_code error;
    stream_.socket().non_blocking(true, error);
    std::size_t const size =
        stream_.socket().read_some(buffer_.prepare(first_read), error);
    buffer_.commit(size);
}

asio::awaitable<bool> http_exchange::connection::await_request() {
    if (buffer_.size() == 0 && !closing_) {
        co_await await_bytes();
    }
    // A cancelled read leaves bytes that have arrived in the kernel. To close
    // now would drop a request that came in time.
    if (buffer_.size() == 0 && !broken_) {
        read_arrived();
    }
    if (!stream_.socket().is_open() || buffer_.size() == 0) {
        if (stream_.socket().is_open() && !broken_) {
            why_ = closing_ ? connection_end::shutdown : connection_end::idle;
        }
        broken_ = true;
        co_return false;
    }
    in_request_ = true;
    answer_ = answer_state::none;
    request_whole_ = false;
    co_return true;
}

asio::awaitable<std::optional<http_request>>
http_exchange::connection::read_request() {
    bool const begun = co_await await_request();
    if (!begun) {
        co_return std::nullopt;
    }
    http::request_parser<http::string_body> parser;
    parser.body_limit(limits_->body_bytes);
    parser.header_limit(limits_->header_bytes);
    stream_.expires_never();
    cancel_guard const guard(stream_, limits_->read_timeout);
    auto const [header_error, header_size] =
        co_await http::async_read_header(stream_, buffer_, parser, use_result);
    request_bytes_ += header_size;
    request_id_ = std::string(parser.get()["X-Request-Id"]);
    request_id_.resize(std::min(request_id_.size(), longest_id));
    if (header_error) {
        bool const anything = buffer_.size() > 0 || header_size > 0;
        co_await refuse(header_error, anything);
        co_return std::nullopt;
    }
    head_only_ = parser.get().method() == http::verb::head;
    // Thousands of connections with a large body each would add up to more
    // than a node has; a chunked body counts as the largest.
    std::uint64_t const expected = parser.chunked()
                                       ? limits_->body_bytes
                                       : parser.content_length().value_or(0);
    if (!bodies_->has(expected)) {
        why_ = connection_end::body_budget;
        co_await refuse_with(status_unavailable, "limit-reached");
        broken_ = true;
        co_return std::nullopt;
    }
    body_share_.emplace(*bodies_, expected);
    auto const [error, size] =
        co_await http::async_read(stream_, buffer_, parser, use_result);
    request_bytes_ += size;
    if (error) {
        co_await refuse(error, true);
        co_return std::nullopt;
    }
    request_whole_ = true;
    http::request<http::string_body> message = parser.release();
    keep_alive_ = message.keep_alive();
    co_return plain_request(std::move(message));
}

asio::awaitable<void> http_exchange::connection::run_handler(
    http_handler const& handler, http_request request) {
    http_exchange exchange(*this, std::move(request));
    bool failed = false;
    try {
        co_await handler(exchange);
    } catch (std::exception const&) {
        failed = true;
    }
    gone_ = nullptr;
    ++exchange_number_;
    // A handler that failed, or that gave no answer since the caller is gone,
    // leaves a connection whose state nobody knows.
    broken_ = broken_ || failed || answer_ != answer_state::whole;
    if (failed) {
        why_ = connection_end::handler_failed;
        co_await refuse_with(status_failure, "internal-error");
    } else if (write_error_ || answer_ != answer_state::whole) {
        why_ = end_of_answer();
    }
}

connection_end http_exchange::connection::end_of_answer() {
    if (!stream_.socket().is_open() && write_error_ != beast::error::timeout) {
        return connection_end::closed;
    }
    if (write_error_ == beast::error::timeout) {
        return connection_end::write_timeout;
    }
    if (write_error_ || closed_by_peer()) {
        return connection_end::caller_gone;
    }
    return answer_ == answer_state::none ? connection_end::unanswered
                                         : connection_end::cut;
}

asio::awaitable<std::optional<connection_end_report>>
http_exchange::connection::run(http_handler handler) {
    while (keep_alive_ && !broken_) {
        head_only_ = false;
        std::optional<http_request> request = co_await read_request();
        if (request) {
            co_await run_handler(handler, std::move(*request));
        }
        body_share_.reset();
        if (!why_) {
            in_request_ = false;
            request_bytes_ = 0;
            request_id_.clear();
        }
    }
    co_await finish();
    std::optional<connection_end_report> end = take_report();
    discard_behind_request();
    close_socket();
    co_return end;
}

// Closing with unread bytes resets the connection. To its caller a reset means
// that nothing was read, so bytes behind a request that may have run must not
// cause one. Behind an answered request they may: they are another request.
void http_exchange::connection::discard_behind_request() {
    constexpr std::size_t most_discarded = 4U << 20U;
    bool const may_have_run = request_whole_ && answer_ != answer_state::whole;
    std::size_t discarded = 0;
    while (may_have_run && discarded < most_discarded) {
        buffer_.clear();
        read_arrived();
        if (buffer_.size() == 0) {
            break;
        }
        discarded += buffer_.size();
    }
}

// A request that arrives after the last answer stays unread: closing with
// unread bytes resets the connection, which tells its caller that nothing was
// read.
asio::awaitable<void> http_exchange::connection::finish() {
    if (answer_ != answer_state::none) {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
        if (request_whole_) {
            co_await await_reader();
        } else {
            co_await discard_rest();
        }
    }
}

// Guards against a reset that overtakes the answer: the caller of an oversized
// request would never see why.
asio::awaitable<void> http_exchange::connection::discard_rest() {
    constexpr std::size_t most_discarded = 4U << 20U;
    constexpr std::size_t step = 16U << 10U;
    std::array<char, step> rest{};
    std::size_t discarded = 0;
    stream_.expires_after(reader_patience);
    while (discarded < most_discarded) {
        auto const [error, size] =
            co_await stream_.async_read_some(asio::buffer(rest), use_result);
        discarded += size;
        request_bytes_ += size;
        if (error) {
            break;
        }
    }
}

// Waits until the caller has closed its side, having read the answer. The wait
// for an error completes once both sides are shut, also when bytes are unread.
asio::awaitable<void> http_exchange::connection::await_reader() {
    stream_.expires_never();
    cancel_guard const guard(stream_, reader_patience);
    co_await stream_.socket().async_wait(tcp::socket::wait_error, use_result);
}

bool http_exchange::connection::request_waits() {
    beast::error_code ignored;
    return buffer_.size() > 0 || stream_.socket().available(ignored) > 0;
}

bool http_exchange::connection::closed_by_peer() {
    std::array<char, 1> byte{};
    beast::error_code error;
    stream_.socket().non_blocking(true, error);
    stream_.socket().receive(
        asio::buffer(byte), tcp::socket::message_peek, error);
    return error && error != asio::error::would_block;
}

void http_exchange::connection::watch(std::function<void()> gone) {
    gone_ = std::move(gone);
    std::uint64_t const number = exchange_number_;
    // Readable with nothing to read is how a closed connection shows. Bytes to
    // read are the caller's next request, which waits its turn.
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), number](beast::error_code error) {
            if (!error && number == self->exchange_number_) {
                self->check_caller();
            }
        });
}

void http_exchange::connection::check_caller() {
    if (gone_ && closed_by_peer()) {
        broken_ = true;
        std::exchange(gone_, nullptr)();
    }
}

} // namespace camphorpoint
