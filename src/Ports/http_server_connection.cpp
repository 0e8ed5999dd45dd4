#include "Ports/http_server_connection.hpp"

#include "Ports/cancel_guard.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <exception>
#include <poll.h>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr int status_failure = 500;
/// How long a caller has to read the last answer before its connection is
/// closed.
constexpr std::chrono::milliseconds reader_patience{500};
/// How often a connection with unread bytes is looked at for its end. Replicas
/// have to be told within 500 ms.
constexpr std::chrono::milliseconds look_interval{200};

} // namespace

http_exchange::connection::connection(
    tcp::socket socket, std::shared_ptr<http_limits const> limits,
    std::shared_ptr<body_budget> bodies)
    : stream_(std::move(socket))
    , limits_(std::move(limits))
    , first_idle_timeout_(limits_->idle_timeout)
    , bodies_(std::move(bodies))
    , look_timer_(stream_.get_executor()) {}

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
        reset_half_read();
    } else {
        reset_unread();
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

void http_exchange::connection::end_soon(bool idle_too, instant limit) {
    ending_ = true;
    waiting_limit_ = limit;
    closing_ = closing_ || idle_too;
    if (idle_ && idle_too) {
        stream_.cancel();
    }
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
    while (may_read_on()) {
        head_only_ = false;
        std::optional<http_request> request = co_await read_request();
        if (request) {
            co_await run_handler(handler, std::move(*request));
        }
        if (!why_) {
            in_request_ = false;
            request_bytes_ = 0;
            request_id_.clear();
        }
    }
    co_await finish();
    std::optional<connection_end_report> end = take_report();
    discard_behind_request();
    reset_unread();
    close_socket();
    co_return end;
}

bool http_exchange::connection::may_read_on() const {
    bool const too_late = closing_ && boot_clock::now() >= waiting_limit_;
    return keep_alive_ && !broken_ && (!too_late || exchange_number_ == 0);
}

// The kernel resets a connection that is closed with unread bytes, and drops
// what its caller has not acknowledged. A request in the buffer counts as
// unread, unless the reset would drop a part of the answer in front of it.
void http_exchange::connection::reset_unread() {
    skip_empty_lines();
    if (answer_ == answer_state::whole && request_whole_ && !write_error_ &&
        buffer_.size() > 0 && answers_arrived()) {
        reset_at_close();
    }
}

// A connection that ends without a reset may have been read to the end of the
// request: its caller could not send a request again that may run once.
void http_exchange::connection::reset_half_read() {
    if (!request_whole_ && answer_ == answer_state::none && answers_arrived()) {
        reset_at_close();
    }
}

bool http_exchange::connection::answers_arrived() {
    // The end of what is sent counts as a byte, and is acknowledged later.
    int const end_of_sent = sent_all_ ? 1 : 0;
    int unacknowledged = 0;
    return stream_.socket().is_open() &&
           ::ioctl(
               stream_.socket().native_handle(), SIOCOUTQ, &unacknowledged) ==
               0 &&
           unacknowledged <= end_of_sent;
}

void http_exchange::connection::reset_at_close() {
    beast::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
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
        sent_all_ = !ignored;
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

// The kernel tells of the end also while bytes in front of it are unread.
bool http_exchange::connection::closed_by_peer() {
    pollfd state{stream_.socket().native_handle(), POLLRDHUP, 0};
    return !stream_.socket().is_open() || ::poll(&state, 1, 0) > 0;
}

void http_exchange::connection::watch(std::function<void()> gone) {
    gone_ = std::move(gone);
    // Readable with nothing to read is how a closed connection shows.
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), number = exchange_number_](auto error) {
            if (!error && number == self->exchange_number_) {
                self->look_again_for_caller(number);
            }
        });
}

// Bytes to read are the caller's next request, which stays unread until its
// turn. The socket is readable from then on, and no wait tells of its end.
void http_exchange::connection::look_again_for_caller(std::uint64_t exchange) {
    check_caller();
    if (!gone_) {
        return;
    }
    look_timer_.expires_after(look_interval);
    look_timer_.async_wait([self = shared_from_this(), exchange](auto error) {
        if (!error && exchange == self->exchange_number_) {
            self->look_again_for_caller(exchange);
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
