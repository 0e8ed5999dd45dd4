#include "Ports/http_client.hpp"

#include "Ports/http_connection.hpp"
#include "Ports/http_status.hpp"
#include "Ports/send_watch.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <limits>
#include <random>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using internal::http_connection;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_1_1 = 11;
constexpr std::size_t piece_bytes = 16U << 10U;

instant now() noexcept {
    return boot_clock::now();
}

using body_view = http::span_body<char const>;

/// @param request must outlive the message
http::request<body_view> message_of(http_request const& request) {
    http::request<body_view> message;
    message.version(http_1_1);
    message.method_string(request.method);
    message.target(request.target);
    if (request.fields.get("Host").empty()) {
        message.set(http::field::host, "camphorpoint");
    }
    for (http_field const& each : request.fields.all()) {
        message.insert(each.name, each.value);
    }
    message.body() = {request.body.text().data(), request.body.size()};
    message.prepare_payload();
    return message;
}

/// @returns an id that no other call has, of this process or another
std::string make_call_id() {
    static std::uint64_t const process = [] {
        std::random_device source;
        return std::uniform_int_distribution<std::uint64_t>()(source);
    }();
    static std::atomic<std::uint64_t> last{0};
    return fmt::format("{:016x}-{}", process, ++last);
}

/// A longer request may not fit into the receive buffer of a server that does
/// not read.
constexpr std::size_t watched_request = 32U << 10U;

/// @returns how long a server keeps an idle connection, as its answer tells,
///          less the time that a request may take on its way
duration kept_by_server(std::string_view keep_alive) {
    constexpr std::string_view name = "timeout=";
    constexpr duration margin = std::chrono::milliseconds(400);
    // Below the time after which servers commonly close an idle connection.
    constexpr duration untold = std::chrono::seconds(4);
    std::size_t const place = keep_alive.find(name);
    if (place == std::string_view::npos) {
        return untold;
    }
    std::string_view const number = keep_alive.substr(place + name.size());
    int seconds = 0;
    std::from_chars(number.data(), number.data() + number.size(), seconds);
    return std::chrono::seconds(seconds) - margin;
}

/// @returns what an error that ended an answer tells of the connection
connection_state connection_state_of(beast::error_code const& error) {
    if (error == asio::error::timed_out ||
        error == asio::error::host_unreachable ||
        error == asio::error::network_unreachable) {
        return connection_state::dead;
    }
    bool const was_reset = error == asio::error::connection_reset ||
                           error == asio::error::broken_pipe;
    return was_reset ? connection_state::reset : connection_state::closed;
}

} // namespace

class http_call::state : public std::enable_shared_from_this<state> {
public:
    state(asio::any_io_executor executor, http_pool* pool)
        : executor_(std::move(executor))
        , pool_(pool) {
        begin_answer();
    }

    /// A parser reads one answer.
    void begin_answer() {
        parser_.emplace();
        parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
        parser_->skip(head_only_);
    }

    /// @returns when a step that begins now must have ended
    instant step_end(instant limit) const {
        return std::min({now() + times_.each_step, times_.close_at, limit});
    }
    asio::awaitable<bool> make_connection();
    asio::awaitable<bool> write(http_request request);
    void watch_sending();
    static asio::awaitable<void> watch_sending(std::shared_ptr<state> self);
    asio::awaitable<bool> read_header();
    asio::awaitable<std::optional<std::string>> read_piece();
    asio::awaitable<std::optional<std::string>> read_some();
    asio::awaitable<bool> read_own_header();
    asio::awaitable<bool> skip_stray();
    /// @returns true when the answer whose header was read may be this call's
    bool is_own_answer();
    /// @returns true when a further answer has arrived behind the one whose
    ///          header was read
    bool another_follows() const;
    void reject();
    /// @returns true when the answer announces a body that its status excludes,
    ///          so that bytes may follow that are no answer
    bool announces_excluded_body() const;
    void give_back();
    void close();
    void note_loss(beast::error_code const& error);
    /// Notes the end of a wait for the server.
    void note_wait(beast::error_code const& error, bool answered);

    asio::any_io_executor executor_;
    http_pool* pool_;
    ip_address to_;
    call_times times_;
    /// What names the request; empty for nothing.
    std::string id_;
    // Stays allocated until the call ends, since a read may still refer to it
    // while it is being closed.
    std::unique_ptr<http_connection> link_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    std::array<char, piece_bytes> piece_{};
    /// The answer has no body, whatever its head tells.
    bool head_only_ = false;
    /// The sending of the request is watched.
    bool watched_ = false;
    bool reused_ = false;
    std::uint64_t connection_ = 0;
    bool cancelled_ = false;
    bool timed_out_ = false;
    bool broke_off_ = false;
    bool invalid_ = false;
    /// The answer names the request, or need not.
    bool named_ = false;
    unsigned strays_ = 0;
    answer_trace trace_;
    instant silent_since_;
};

asio::awaitable<bool> http_call::state::make_connection() {
    if (pool_ != nullptr && !times_.fresh) {
        link_ =
            pool_->take(to_, now(), times_.idle_at_most, id_, times_.own_id);
    }
    reused_ = link_ != nullptr;
    if (reused_) {
        connection_ = link_->number;
        co_return true;
    }
    beast::error_code failure;
    auto const host = asio::ip::make_address(to_.host, failure);
    if (failure) {
        co_return false;
    }
    link_ = std::make_unique<http_connection>(executor_);
    connection_ = link_->number;
    link_->stream.socket().open(tcp::v4(), failure);
    if (!failure) {
        internal::bound_silence(link_->stream.socket().native_handle());
    }
    instant const limit = std::min(times_.send_before, now() + times_.connect);
    link_->stream.expires_after(time_until(step_end(limit)));
    auto const [error] = co_await link_->stream.async_connect(
        tcp::endpoint(host, to_.port), use_result);
    if (!error) {
        link_->stream.socket().set_option(tcp::no_delay(true), failure);
    }
    co_return !error && !cancelled_;
}

void http_call::state::watch_sending() {
    asio::co_spawn(
        executor_, watch_sending(shared_from_this()), asio::detached);
}

asio::awaitable<void>
http_call::state::watch_sending(std::shared_ptr<state> self) {
    asio::steady_timer timer(self->executor_);
    internal::send_watch watch(now());
    bool goes_on = true;
    while (goes_on) {
        timer.expires_after(internal::send_watch::period);
        co_await timer.async_wait(use_result);
        // A connection that was given back is another call's.
        goes_on =
            self->link_ != nullptr && self->link_->stream.socket().is_open() &&
            watch.check(self->link_->stream.socket().native_handle(), now());
    }
}

asio::awaitable<bool> http_call::state::write(http_request request) {
    head_only_ = request.method == "HEAD";
    watched_ = request.body.size() > watched_request;
    begin_answer();
    auto const message = message_of(request);
    trace_ = {};
    silent_since_ = now();
    link_->stream.expires_after(time_until(step_end(times_.send_before)));
    if (watched_) {
        watch_sending();
    }
    auto const [error, size] =
        co_await http::async_write(link_->stream, message, use_result);
    note_wait(error, false);
    co_return !error;
}

asio::awaitable<bool> http_call::state::read_header() {
    // Whoever sends more means no end of them.
    constexpr int most_interim = 8;
    for (int interim = 0; interim <= most_interim; ++interim) {
        link_->stream.expires_after(time_until(step_end(instant::max())));
        auto const [error, size] = co_await http::async_read_header(
            link_->stream, link_->buffer, *parser_, use_result);
        note_wait(error, true);
        if (error) {
            co_return false;
        }
        auto const kind = status_kind_of(parser_->get().result_int());
        if (kind == status_kind::final) {
            co_return true;
        }
        if (kind == status_kind::invalid) {
            break;
        }
        begin_answer();
    }
    invalid_ = true;
    co_return false;
}

// The length of an answer to an earlier request is not limited by what this
// request's caller awaits.
asio::awaitable<bool> http_call::state::skip_stray() {
    std::size_t skipped = 0;
    invalid_ = parser_->need_eof();
    while (!invalid_ && !parser_->is_done()) {
        auto const piece = co_await read_some();
        if (!piece) {
            co_return false;
        }
        skipped += piece->size();
        invalid_ = skipped > largest_answer;
    }
    co_return !invalid_ && link_ != nullptr;
}

void http_call::state::reject() {
    invalid_ = true;
    close();
}

bool http_call::state::is_own_answer() {
    std::string_view const got = parser_->get()[times_.echoed];
    // An answer with a name is not the answer to a request without one.
    named_ = got == id_;
    bool const only_unnamed =
        !reused_ || (times_.own_id && !link_->carried.unnamed());
    // A server answers in the order of the requests, so that of several answers
    // without an id the last one is this call's.
    bool const own = named_ || (got.empty() && only_unnamed &&
                                !(reused_ && another_follows()));
    if (got.empty() && !times_.own_id) {
        link_->carried.note_unnamed();
    }
    return own;
}

bool http_call::state::another_follows() const {
    auto const body = parser_->content_length_remaining();
    return body && link_->buffer.size() > *body;
}

asio::awaitable<bool> http_call::state::read_own_header() {
    // More than one answer too many is no accident of timing.
    constexpr unsigned most_strays = 2;
    while (strays_ <= most_strays) {
        bool const read = co_await read_header();
        if (!read) {
            co_return false;
        }
        if (!times_.echoed.empty() && parser_->get().count(times_.echoed) > 1) {
            // The head of one answer, cut by the head of another one.
            break;
        }
        if (is_own_answer()) {
            co_return true;
        }
        ++strays_;
        bool const skipped = co_await skip_stray();
        if (!skipped) {
            co_return false;
        }
        begin_answer();
    }
    invalid_ = true;
    co_return false;
}

asio::awaitable<std::optional<std::string>> http_call::state::read_some() {
    while (!parser_->is_done()) {
        if (link_ == nullptr) {
            co_return std::nullopt;
        }
        auto& body = parser_->get().body();
        body.data = piece_.data();
        body.size = piece_.size();
        body.more = true;
        silent_since_ = now();
        link_->stream.expires_after(time_until(step_end(instant::max())));
        auto [error, size] = co_await http::async_read_some(
            link_->stream, link_->buffer, *parser_, use_result);
        if (error == http::error::need_buffer) {
            error = {};
        }
        note_wait(error, true);
        if (error) {
            close();
            co_return std::nullopt;
        }
        std::size_t const got = piece_.size() - body.size;
        if (got > 0) {
            co_return std::string(piece_.data(), got);
        }
    }
    co_return std::string();
}

asio::awaitable<std::optional<std::string>> http_call::state::read_piece() {
    auto piece = co_await read_some();
    if (piece && piece->empty()) {
        give_back();
    }
    co_return piece;
}

bool http_call::state::announces_excluded_body() const {
    bool const announced =
        parser_->chunked() || parser_->content_length().value_or(0) > 0;
    return announced && parser_->get().result() == http::status::no_content;
}

void http_call::state::give_back() {
    if (link_ == nullptr || cancelled_) {
        return;
    }
    if (pool_ != nullptr && parser_->keep_alive() &&
        !announces_excluded_body()) {
        if (watched_) {
            internal::bound_silence(link_->stream.socket().native_handle());
        }
        link_->stream.expires_never();
        duration const kept = kept_by_server(parser_->get()["Keep-Alive"]);
        pool_->give(to_, std::move(link_), now(), kept);
    }
    link_ = nullptr;
}

void http_call::state::note_loss(beast::error_code const& error) {
    timed_out_ = timed_out_ || error == beast::error::timeout;
    bool const in_answer =
        error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream &&
        error != http::error::partial_message;
    invalid_ = invalid_ || in_answer;
    broke_off_ = broke_off_ || (error && !in_answer && !timed_out_ &&
                                !cancelled_ && !invalid_);
}

void http_call::state::note_wait(
    beast::error_code const& error, bool answered) {
    instant const at = now();
    duration const silence = at - silent_since_;
    trace_.longest_silence = std::max(trace_.longest_silence, silence);
    trace_.silence = error ? silence : duration(0);
    if (error) {
        note_loss(error);
        if (broke_off_) {
            trace_.connection = connection_state_of(error);
        }
    } else if (answered) {
        trace_.answered = true;
        silent_since_ = at;
    }
}

void http_call::state::close() {
    if (link_ != nullptr) {
        link_->abort();
    }
}

http_call::http_call(asio::any_io_executor executor, http_pool* pool)
    : state_(std::make_shared<state>(std::move(executor), pool)) {}

http_call::~http_call() {
    cancel();
}

asio::awaitable<call_result>
http_call::open(ip_address to, http_request request, call_times times) {
    auto const self = state_;
    self->to_ = std::move(to);
    self->times_ = times;
    if (times.own_id) {
        request.fields.add(times.echoed, make_call_id());
    }
    self->id_ = std::string(request.fields.get(self->times_.echoed));
    bool const connected = co_await self->make_connection();
    // The guard of leases and grants: a process that was paused, or that waited
    // long for its connection, finds here that its time has run out. It is the
    // last statement before the first byte, so only a pause between the two is
    // left, which the owner's margin covers.
    if (!connected || self->cancelled_ || now() >= times.send_before) {
        self->close();
        co_return call_result::not_sent;
    }
    self->link_->carried.add(self->id_);
    bool const sent = co_await self->write(std::move(request));
    bool const answered = sent && co_await self->read_own_header();
    if (!answered) {
        self->close();
        co_return call_result::lost;
    }
    co_return call_result::answered;
}

asio::awaitable<bool>
http_call::connect(ip_address const& to, std::chrono::milliseconds timeout) {
    auto const self = state_;
    self->to_ = to;
    self->times_.each_step = timeout;
    co_return co_await self->make_connection();
}

asio::awaitable<bool>
http_call::send(http_request request, std::chrono::milliseconds timeout) {
    auto const self = state_;
    self->times_.each_step = timeout;
    bool const sent = co_await self->write(std::move(request));
    co_return sent&& co_await self->read_header();
}

int http_call::status() const noexcept {
    return static_cast<int>(state_->parser_->get().result_int());
}

http_fields http_call::fields() const {
    http_fields all;
    for (auto const& each : state_->parser_->get()) {
        all.add(std::string(each.name_string()), std::string(each.value()));
    }
    return all;
}

bool http_call::ends_with_connection() const {
    return state_->parser_->need_eof();
}

std::string http_call::field(std::string_view name) const {
    return std::string(state_->parser_->get()[name]);
}

asio::awaitable<std::optional<std::string>> http_call::next_piece() {
    auto const self = state_;
    co_return co_await self->read_piece();
}

asio::awaitable<std::optional<std::string>>
http_call::next_piece(std::chrono::milliseconds timeout) {
    auto const self = state_;
    self->times_.each_step = timeout;
    co_return co_await self->read_piece();
}

asio::awaitable<void> http_call::skip_rest() {
    auto const self = state_;
    self->times_.close_at =
        std::min(self->times_.close_at, now() + longest_skipping);
    std::size_t skipped = 0;
    while (skipped <= largest_skipped_rest) {
        auto const piece = co_await self->read_piece();
        if (!piece || piece->empty()) {
            co_return;
        }
        skipped += piece->size();
    }
    self->reject();
}

void http_call::reject() {
    state_->reject();
}

answer_budget* http_call::budget() const noexcept {
    return state_->pool_ == nullptr ? nullptr : &state_->pool_->answers();
}

asio::any_io_executor const& http_call::executor() const noexcept {
    return state_->executor_;
}

std::string http_call::server() const {
    return fmt::format("{}:{}", state_->to_.host, state_->to_.port);
}

instant http_call::close_at() const noexcept {
    return state_->times_.close_at;
}

void http_call::limit_silence(std::chrono::milliseconds longest) {
    state_->times_.each_step = longest;
}

void http_call::cancel() {
    state_->cancelled_ = true;
    state_->close();
}

bool http_call::cancelled() const noexcept {
    return state_->cancelled_;
}

bool http_call::timed_out() const noexcept {
    return state_->timed_out_;
}

bool http_call::broke_off() const noexcept {
    return state_->broke_off_;
}

bool http_call::invalid() const noexcept {
    return state_->invalid_;
}

bool http_call::names_request() const {
    return state_->named_;
}

unsigned http_call::strays() const noexcept {
    return state_->strays_;
}

answer_trace const& http_call::trace() const noexcept {
    return state_->trace_;
}

bool http_call::reused() const noexcept {
    return state_->reused_;
}

std::uint64_t http_call::connection() const noexcept {
    return state_->connection_;
}

call_times reading_times_of(std::chrono::milliseconds silence) {
    call_times times;
    times.close_at = now() + longest_answer;
    times.each_step = silence;
    return times;
}

call_times short_call_times(std::chrono::milliseconds step) {
    call_times times;
    times.close_at = now() + steps_per_call * step;
    times.each_step = step;
    return times;
}

} // namespace camphorpoint
