#include "test/soak/caller.hpp"

#include "common/standin_main.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace camphorpoint::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/// A caller waits for its answer this much longer than its deadline.
constexpr milliseconds grace{1'000};
constexpr int resends = 3;

bool is_promise(int status) {
    constexpr std::array promises{408, 421, 429, 503};
    return std::ranges::find(promises, status) != promises.end();
}

/// Closes a socket when a time has passed.
class time_limit {
public:
    time_limit(tcp::socket& socket, milliseconds time)
        : timer_(socket.get_executor(), time) {
        timer_.async_wait([&socket, active = active_](auto const& error) {
            if (!error && *active) {
                // A cancellation would miss a wait that begins right after it.
                boost::system::error_code ignored;
                socket.close(ignored);
            }
        });
    }
    ~time_limit() { *active_ = false; }
    time_limit(time_limit const&) = delete;
    time_limit& operator=(time_limit const&) = delete;

private:
    std::shared_ptr<bool> active_ = std::make_shared<bool>(true);
    asio::steady_timer timer_;
};

/// @returns true when the peer's kernel has reset the connection
bool was_reset(tcp::socket& socket) {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error != 0;
}

} // namespace

caller::caller(
    deployment const& target, caller_records& records, std::string name,
    soak_settings const& settings, std::uint64_t seed)
    : target_(&target)
    , records_(&records)
    , name_(std::move(name))
    , settings_(settings)
    , random_(seed) {}

asio::awaitable<void> caller::run() {
    ++records_->callers;
    for (unsigned number = 0; !records_->stopping; ++number) {
        co_await run_operation(number);
        constexpr std::uint64_t longest_pause_ms = 60;
        milliseconds const rest(draw(longest_pause_ms));
        co_await standins::wait_for(rest);
    }
    --records_->callers;
}

caller::request caller::draw_request() {
    constexpr std::uint64_t kinds = 10;
    std::uint64_t const kind = draw(kinds);
    request wanted;
    wanted.patience = settings_.time_out;
    wanted.path = kind < 6 ? "/book/" : kind < 8 ? "/look/" : "/once/";
    wanted.events = kind >= 8;
    if (wanted.events) {
        wanted.fields =
            fmt::format("X-Model: m/a{}\r\nX-Token-Count: 10,40\r\n", draw(6));
    }
    return wanted;
}

asio::awaitable<void> caller::run_operation(unsigned number) {
    constexpr std::uint64_t whole = 100;
    std::uint64_t const drawn =
        settings_.streams + settings_.pipelined == 0 ? whole : draw(whole);
    if (drawn < settings_.streams) {
        co_await run_stream(number);
        co_return;
    }
    if (drawn < settings_.streams + settings_.pipelined) {
        co_await run_pair(number);
        co_return;
    }
    request wanted = draw_request();
    bool const once = wanted.path != "/look/";
    for (int attempt = 0; attempt <= resends; ++attempt) {
        wanted.id = fmt::format("{}-{}-{}", name_, number, attempt);
        if (once) {
            records_->once_only.insert(wanted.id);
        }
        fate const what = co_await send(wanted);
        if (what == fate::final) {
            co_return;
        }
        // Each request that is sent again has a connection of its own.
        socket_.reset();
        constexpr std::uint64_t longest_wait_ms = 400;
        milliseconds const wait(draw(longest_wait_ms));
        co_await standins::wait_for(wait);
    }
}

asio::awaitable<void> caller::run_pair(unsigned number) {
    bool const connected = co_await connect();
    if (!connected) {
        co_return;
    }
    std::string text;
    std::array<request, 2> pair;
    for (std::size_t each = 0; each < pair.size(); ++each) {
        request& wanted = pair.at(each);
        wanted.path = "/book/";
        wanted.patience = settings_.time_out;
        wanted.id = fmt::format("{}-{}-p{}", name_, number, each);
        records_->once_only.insert(wanted.id);
        text += text_of(wanted);
    }
    time_limit const limit(*socket_, pair.front().patience * 2 + grace);
    instant const begun = boot_clock::now();
    // What becomes of a write that fails is seen by the reads.
    auto const [error, size] =
        co_await asio::async_write(*socket_, asio::buffer(text), use_result);
    instant const sent = boot_clock::now();
    for (std::size_t each = 0; each < pair.size(); ++each) {
        request const& wanted = pair.at(each);
        sent_request const former = std::exchange(
            sent_, {wanted.id, node_, begun, wanted.patience, sent});
        if (socket_) {
            // The second one is on this connection also when the first one's
            // answer announces its end.
            co_await read_answer(wanted, each + 1 < pair.size());
        } else {
            sent_.ended = former.ended;
            sent_.reset = former.reset;
        }
        if (!error) {
            records_->sent.push_back(sent_);
        }
    }
}

milliseconds caller::draw_patience() {
    constexpr std::uint64_t whole = 100;
    constexpr milliseconds brief{2'500};
    constexpr std::array lengthy{milliseconds(6'000), milliseconds(9'000)};
    if (settings_.stream_patience > milliseconds(0)) {
        return settings_.stream_patience;
    }
    bool const is_long = draw(whole) < settings_.long_patience;
    return is_long ? lengthy.at(draw(lengthy.size())) : brief;
}

asio::awaitable<void> caller::run_stream(unsigned number) {
    stream_reading got;
    milliseconds const patience = draw_patience();
    constexpr std::uint64_t whole = 100;
    bool const names_all = draw(whole) < settings_.always_named;
    auto const until = boot_clock::now() + patience;
    for (int attempt = 0; !got.whole && boot_clock::now() < until; ++attempt) {
        request wanted;
        wanted.path = "/draft/";
        wanted.events = true;
        wanted.id = fmt::format("{}-{}-s{}", name_, number, attempt);
        wanted.fields = "X-Model: m\r\nX-Token-Count: 10,40\r\n";
        wanted.patience =
            names_all
                ? patience
                : std::chrono::ceil<milliseconds>(until - boot_clock::now());
        bool const resumes = !got.events.empty();
        if (resumes) {
            wanted.fields += fmt::format(
                "Last-Event-Id: {}\r\nResumes: {}\r\n",
                got.events.back().number, got.first_request);
        }
        answer_ = {};
        co_await send(wanted);
        bool const success = answer_.status == 200;
        auto const events =
            success ? parse_events(answer_.body) : std::vector<stream_event>();
        records_->told.resumed += resumes && !events.empty() ? 1 : 0;
        if (!events.empty() && got.first_request.empty()) {
            got.first_request = wanted.id;
        }
        got.events.insert(got.events.end(), events.begin(), events.end());
        got.whole = success && answer_.whole;
        if (!got.whole) {
            socket_.reset();
            constexpr std::uint64_t longest_wait_ms = 400;
            milliseconds const wait(draw(longest_wait_ms));
            co_await standins::wait_for(wait);
        }
    }
    target_->note(fmt::format(
        "stream {} patience {} {}", got.first_request, patience.count(),
        names_all ? "always named" : "named as left"));
    records_->told.streams.push_back(std::move(got));
}

asio::awaitable<bool> caller::connect() {
    if (socket_ != nullptr) {
        co_return true;
    }
    if (!settings_.same_node || !node_takes_connections_) {
        node_ = draw(target_->nodes.size());
    }
    ip_address const& to = target_->nodes[node_].callers;
    tcp::endpoint const remote(asio::ip::make_address(to.host), to.port);
    socket_ = std::make_unique<tcp::socket>(co_await asio::this_coro::executor);
    buffer_.clear();
    time_limit const limit(*socket_, milliseconds(1'000));
    auto const [error] = co_await socket_->async_connect(remote, use_result);
    if (error || !socket_->is_open()) {
        socket_.reset();
    }
    node_takes_connections_ = socket_ != nullptr;
    co_return node_takes_connections_;
}

std::string caller::text_of(request const& wanted) {
    std::string const body = "to " + wanted.id;
    return fmt::format(
        "POST {0}x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {1}\r\n"
        "X-Request-Deadline: {2}\r\n{3}Content-Length: {4}\r\n\r\n{5}",
        wanted.path, wanted.id, wanted.patience.count(), wanted.fields,
        body.size(), body);
}

asio::awaitable<caller::fate> caller::send(request const& wanted) {
    bool const connected = co_await connect();
    if (!connected) {
        co_return fate::unconnected;
    }
    std::string const text = text_of(wanted);
    sent_ = {wanted.id, node_, boot_clock::now(), wanted.patience};
    time_limit const limit(*socket_, wanted.patience + grace);
    bool const written = co_await write(text);
    if (!written) {
        co_return note(fate::reset, wanted.id);
    }
    sent_.sent = boot_clock::now();
    fate const what = co_await read_answer(wanted);
    records_->sent.push_back(sent_);
    co_return what;
}

asio::awaitable<bool> caller::write(std::string const& text) {
    constexpr std::uint64_t whole = 100;
    constexpr std::uint64_t longest_pause_ms = 2'800;
    std::size_t first = 0;
    if (settings_.two_parts > 0 && draw(whole) < settings_.two_parts) {
        first = 1 + draw(text.size() - 1);
        auto const [error, size] = co_await asio::async_write(
            *socket_, asio::buffer(text.data(), first), use_result);
        if (error) {
            co_return false;
        }
        milliseconds const pause(draw(longest_pause_ms));
        co_await standins::wait_for(pause);
    }
    auto const [error, size] = co_await asio::async_write(
        *socket_, asio::buffer(text) + first, use_result);
    co_return !error;
}

asio::awaitable<caller::fate>
caller::read_answer(request const& wanted, bool another_follows) {
    http::response_parser<http::string_body> parser;
    auto const [error, size] =
        co_await http::async_read(*socket_, buffer_, parser, use_result);
    sent_.ended = boot_clock::now();
    sent_.answered = !error;
    if (parser.is_header_done()) {
        answer_.status = static_cast<int>(parser.get().result_int());
        answer_.body = parser.get().body();
        answer_.whole = !error;
        sent_.status = answer_.status;
        auto const events = parse_events(answer_.body);
        if (!events.empty()) {
            sent_.last_event = events.back().number;
            sent_.last_run = events.back().run;
        }
    }
    target_->note(fmt::format(
        "answered {} n{} {} {}", wanted.id, node_,
        parser.is_header_done() ? answer_.status : 0,
        error ? error.message() : "whole"));
    if (!error) {
        fate const what = judge(wanted);
        if (!parser.keep_alive() && !another_follows) {
            socket_.reset();
        }
        co_return what;
    }
    fate what = fate::final;
    bool const nothing_came = !parser.got_some() && buffer_.size() == 0;
    if (nothing_came && error != asio::error::operation_aborted) {
        // The end of a connection can arrive before the reset that answers what
        // was sent at the same time.
        constexpr milliseconds step{10};
        bool reset = error == asio::error::connection_reset;
        constexpr int steps = 70;
        for (int each = 0; each < steps && !reset && socket_->is_open();
             ++each) {
            co_await standins::wait_for(step);
            reset = was_reset(*socket_);
        }
        sent_.reset = reset;
        what = reset ? fate::reset : fate::final;
    }
    target_->note(fmt::format(
        "ended {} n{} {}", wanted.id, node_, sent_.reset ? "reset" : "closed"));
    socket_.reset();
    co_return note(what, wanted.id);
}

caller::fate caller::judge(request const& wanted) {
    if (is_promise(answer_.status)) {
        return note(fate::refused, wanted.id);
    }
    constexpr int first_redirect = 300;
    bool const success = answer_.status < first_redirect;
    bool const own =
        wanted.path == "/draft/" ||
        (wanted.events
             ? parse_events(answer_.body).size() == target_->stream_events()
             : answer_.body.ends_with("to " + wanted.id));
    if (success && !own) {
        records_->told.foreign.push_back(wanted.id);
    }
    records_->told.served += success ? 1 : 0;
    return note(fate::final, wanted.id);
}

caller::fate caller::note(fate what, std::string const& id) {
    if (what == fate::refused || what == fate::reset) {
        records_->last_promise = boot_clock::now();
    }
    if (what == fate::refused) {
        records_->told.refused.insert(id);
    } else if (what == fate::reset) {
        records_->told.reset.insert(id);
    }
    return what;
}

} // namespace camphorpoint::soak
