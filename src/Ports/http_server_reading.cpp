#include "Core/time.hpp"
#include "Ports/cancel_guard.hpp"
#include "Ports/http_server_connection.hpp"
#include "Ports/request_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr int status_bad_request = 400;
constexpr int status_timeout = 408;
constexpr int status_too_large = 413;
constexpr int status_not_implemented = 501;
constexpr int status_unavailable = 503;
/// In seconds. In this time callers take many answers, which releases memory,
/// and bodies that no longer arrive count as such.
constexpr std::string_view retry_after = "1";
constexpr std::size_t longest_id = 128;
constexpr std::size_t read_size = 4U << 10U;

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

} // namespace

asio::awaitable<void>
http_exchange::connection::refuse_with(int status, std::string_view why) {
    keep_alive_ = false;
    own_status_ = status;
    bool const handled = why_ == connection_end::handler_failed;
    http_response response =
        error_response(status, handled ? "unknown" : "not-run", why);
    if (status == status_unavailable) {
        response.fields.add("Retry-After", std::string(retry_after));
    }
    co_await respond(std::move(response));
}

asio::awaitable<void>
http_exchange::connection::refuse(request_refusal refusal) {
    if (refusal == request_refusal::no_memory) {
        why_ = connection_end::body_budget;
        body_memory_.reset();
        co_await refuse_with(status_unavailable, "limit-reached");
        broken_ = true;
        co_return;
    }
    bool const too_large = refusal == request_refusal::head_too_large ||
                           refusal == request_refusal::body_too_large;
    why_ = too_large ? connection_end::too_large : connection_end::bad_request;
    if (too_large) {
        co_await refuse_with(status_too_large, "request-too-large");
    } else if (refusal == request_refusal::unsupported_coding) {
        co_await refuse_with(status_not_implemented, "bad-request");
    } else {
        co_await refuse_with(status_bad_request, "bad-request");
    }
    broken_ = true;
}

// Guards against a caller that sends its header byte by byte: it holds a
// connection for read_timeout at the most.
asio::awaitable<void>
http_exchange::connection::give_up_request(beast::error_code error) {
    why_ = connection_end::half_request;
    if (error == asio::error::operation_aborted) {
        why_ = connection_end::read_timeout;
        co_await refuse_with(status_timeout, "bad-request");
    }
    broken_ = true;
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
        buffer_.prepare(read_size), use_result);
    idle_ = false;
    buffer_.commit(size);
    skip_empty_lines();
    broken_ = broken_ || !stream_.socket().is_open() ||
              (error && error != asio::error::operation_aborted);
}

// An empty line behind a request does not begin another one.
void http_exchange::connection::skip_empty_lines() {
    buffer_.consume(size_of_empty_lines(arrived()));
}

std::string_view http_exchange::connection::arrived() const {
    auto const bytes = buffer_.data();
    return {static_cast<char const*>(bytes.data()), bytes.size()};
}

// Reads without waiting.
void http_exchange::connection::read_arrived() {
    beast::error_code error;
    stream_.socket().non_blocking(true, error);
    std::size_t const size =
        stream_.socket().read_some(buffer_.prepare(read_size), error);
    buffer_.commit(size);
}

asio::awaitable<bool> http_exchange::connection::await_request() {
    skip_empty_lines();
    if (buffer_.size() == 0 && !closing_) {
        co_await await_bytes();
    }
    // A cancelled read leaves bytes that have arrived in the kernel. To close
    // now would drop a request that came in time.
    if (buffer_.size() == 0 && !broken_) {
        read_arrived();
        skip_empty_lines();
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

/// Reads on until the reader takes something or refuses.
/// @returns the reason when no more can be read
asio::awaitable<beast::error_code>
http_exchange::connection::read_more(request_reader& reader, instant limit) {
    beast::error_code failure;
    bool stuck = true;
    while (stuck && !failure) {
        std::size_t const taken = reader.read(arrived());
        buffer_.consume(taken);
        request_bytes_ += taken;
        stuck =
            taken == 0 && reader.state() != request_reader::progress::refused;
        if (stuck && boot_clock::now() >= limit) {
            failure = asio::error::operation_aborted;
        } else if (stuck) {
            auto const [error, size] = co_await stream_.async_read_some(
                buffer_.prepare(read_size), use_result);
            buffer_.commit(size);
            if (body_memory_ != nullptr && size > 0) {
                body_memory_->note_arrival(boot_clock::now());
            }
            failure = size > 0 ? beast::error_code() : error;
        }
    }
    co_return failure;
}

bool http_exchange::connection::take_memory(std::size_t bytes) {
    if (body_memory_ == nullptr) {
        body_memory_ = std::make_shared<body_budget::share>(*bodies_, [this] {
            reader_->give_up_body();
            stream_.cancel();
        });
    }
    return body_memory_->resize(bytes, boot_clock::now());
}

asio::awaitable<std::optional<http_request>>
http_exchange::connection::read_request() {
    bool const begun = co_await await_request();
    if (!begun) {
        co_return std::nullopt;
    }
    request_reader reader(
        limits_->header_bytes, limits_->body_bytes,
        [this](std::size_t bytes) { return take_memory(bytes); });
    reader_ = &reader;
    auto request = co_await read_whole(reader);
    body_memory_.reset();
    reader_ = nullptr;
    co_return request;
}

asio::awaitable<std::optional<http_request>>
http_exchange::connection::read_whole(request_reader& reader) {
    using progress = request_reader::progress;
    instant const limit = boot_clock::now() + limits_->read_timeout;
    stream_.expires_never();
    cancel_guard const guard(stream_, limits_->read_timeout);
    while (reader.state() != progress::whole) {
        bool const in_head = reader.state() == progress::head;
        beast::error_code const error = co_await read_more(reader, limit);
        if (in_head) {
            http_request const& head = reader.request();
            request_id_ = std::string(head.fields.get("X-Request-Id"));
            request_id_.resize(std::min(request_id_.size(), longest_id));
            head_only_ = head.method == "HEAD";
        }
        if (in_head && reader.state() != progress::refused &&
            !bodies_->may_fit(reader.named_length())) {
            reader.give_up_body();
        }
        // A body that yields ends a read in progress.
        if (reader.state() == progress::refused) {
            co_await refuse(reader.refusal());
            co_return std::nullopt;
        }
        if (error) {
            co_await give_up_request(error);
            co_return std::nullopt;
        }
    }
    request_whole_ = true;
    keep_alive_ = reader.keep_alive();
    if (body_memory_ != nullptr) {
        body_memory_->complete();
    }
    co_return reader.release(std::move(body_memory_));
}

bool http_exchange::connection::request_waits() {
    beast::error_code ignored;
    skip_empty_lines();
    return buffer_.size() > 0 || stream_.socket().available(ignored) > 0;
}

} // namespace camphorpoint
