#include "link/faulty_link.hpp"

#include "common/standin_main.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <poll.h>
#include <string_view>
#include <utility>

namespace standins {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t piece_bytes = 16U << 10U;

tcp::endpoint endpoint_of(camphorpoint::ip_address const& address) {
    return {asio::ip::make_address(address.host), address.port};
}

bool begins_answer(std::string_view piece) {
    return piece.starts_with("HTTP/1.1 ");
}

/// @returns true when the piece is an answer with a length, and all of it
bool is_whole_answer(std::string_view piece) {
    constexpr std::string_view end_of_head = "\r\n\r\n";
    constexpr std::string_view length_field = "\r\nContent-Length: ";
    std::size_t const head = piece.find(end_of_head);
    std::size_t const length = piece.find(length_field);
    if (!begins_answer(piece) || head == std::string_view::npos ||
        length >= head) {
        return false;
    }
    std::string const digits(piece.substr(length + length_field.size(), 10));
    std::size_t const body = piece.size() - head - end_of_head.size();
    return std::strtoull(digits.c_str(), nullptr, 10) == body;
}

} // namespace

struct faulty_link::connection {
    explicit connection(socket_type from)
        : client(std::move(from))
        , server(client.get_executor()) {}

    /// @param reset the peers see a reset instead of an end
    void close(bool reset) {
        boost::system::error_code ignored;
        asio::socket_base::linger const at_once(true, 0);
        for (socket_type* each : {&client, &server}) {
            if (reset) {
                each->set_option(at_once, ignored);
            }
            each->close(ignored);
        }
    }

    socket_type client;
    socket_type server;
    /// An answer that is to arrive a second time.
    std::string copy;
};

faulty_link::faulty_link(
    asio::io_context& io, link_faults faults, std::uint64_t seed)
    : io_(&io)
    , faults_(faults)
    , random_(seed) {}

std::string faulty_link::listen(
    camphorpoint::ip_address const& at, camphorpoint::ip_address const& target,
    way_faults of_way) {
    auto const acceptor = std::make_shared<tcp::acceptor>(*io_);
    boost::system::error_code error;
    acceptor->open(tcp::v4(), error);
    acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    acceptor->bind(endpoint_of(at), error);
    if (!error) {
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return error.message();
    }
    asio::co_spawn(*io_, accept_all(acceptor, target, of_way), asio::detached);
    return {};
}

asio::awaitable<void> faulty_link::accept_all(
    std::shared_ptr<tcp::acceptor> acceptor, camphorpoint::ip_address target,
    way_faults of_way) {
    while (true) {
        auto [error, socket] = co_await acceptor->async_accept(use_result);
        if (error) {
            continue;
        }
        auto const link = std::make_shared<connection>(std::move(socket));
        asio::co_spawn(
            *io_, forward_requests(link, target, of_way), asio::detached);
    }
}

asio::awaitable<void> faulty_link::forward_requests(
    std::shared_ptr<connection> link, camphorpoint::ip_address target,
    way_faults of_way) {
    if (of_way.deaf) {
        co_await read_nothing(link);
        co_return;
    }
    tcp::endpoint const remote = endpoint_of(target);
    auto const [refused] =
        co_await link->server.async_connect(remote, use_result);
    if (refused) {
        link->close(true);
        co_return;
    }
    boost::system::error_code ignored;
    link->client.set_option(tcp::no_delay(true), ignored);
    link->server.set_option(tcp::no_delay(true), ignored);
    asio::co_spawn(*io_, forward_answers(link), asio::detached);
    std::array<char, piece_bytes> bytes{};
    for (bool first = true;; first = false) {
        auto const [error, size] = co_await link->client.async_read_some(
            asio::buffer(bytes), use_result);
        if (error) {
            break;
        }
        if (!first && occurs(faults_.stray)) {
            std::string const text = stray_answer();
            co_await asio::async_write(
                link->client, asio::buffer(text), use_result);
        }
        if (of_way.endless && occurs(faults_.endless)) {
            co_await answer_without_end(link);
            break;
        }
        co_await delay();
        bool const cut = occurs(faults_.cut);
        if (cut && occurs(50)) {
            break;
        }
        auto const [failed, written] = co_await asio::async_write(
            link->server, asio::buffer(bytes.data(), size), use_result);
        if (failed || cut) {
            break;
        }
    }
    link->close(occurs(50));
}

// Bytes that have arrived hide the client's end from a read; a wait for an
// error sees only a reset.
asio::awaitable<void>
faulty_link::read_nothing(std::shared_ptr<connection> link) {
    constexpr std::chrono::milliseconds step{100};
    pollfd state{link->client.native_handle(), POLLRDHUP, 0};
    while (::poll(&state, 1, 0) == 0) {
        co_await wait_for(step);
    }
    link->close(true);
}

asio::awaitable<void>
faulty_link::answer_without_end(std::shared_ptr<connection> link) {
    constexpr std::array<std::string_view, 3> lengths{
        "", "Content-Length: 999999999999\r\n",
        "Transfer-Encoding: chunked\r\n"};
    std::size_t const kind = random_() % lengths.size();
    bool const chunked = kind == 2;
    // A slow one takes a second to fill what a node keeps of one answer.
    bool const slow = random_() % 2 == 0;
    std::string text = fmt::format(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: endless\r\n{}\r\n",
        lengths.at(kind));
    std::string const bytes(piece_bytes, 'e');
    bool failed = false;
    while (!failed) {
        auto const [error, size] = co_await asio::async_write(
            link->client, asio::buffer(text), use_result);
        failed = error.failed();
        if (slow) {
            co_await wait_for(std::chrono::milliseconds(1));
        }
        text = chunked ? fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes)
                       : bytes;
    }
}

asio::awaitable<void>
faulty_link::forward_answers(std::shared_ptr<connection> link) {
    std::array<char, piece_bytes> bytes{};
    while (true) {
        auto const [error, size] = co_await link->server.async_read_some(
            asio::buffer(bytes), use_result);
        if (error) {
            break;
        }
        co_await delay();
        std::string_view const piece(bytes.data(), size);
        if (begins_answer(piece)) {
            co_await send_copy(link, std::chrono::milliseconds(0));
        }
        bool const broken = occurs(faults_.broken);
        auto const [failed, written] = co_await asio::async_write(
            link->client,
            asio::buffer(bytes.data(), broken ? random_() % size : size),
            use_result);
        if (failed || broken) {
            break;
        }
        if (is_whole_answer(piece) && occurs(faults_.copy)) {
            keep_copy(link, piece);
        }
    }
    link->close(false);
}

void faulty_link::keep_copy(
    std::shared_ptr<connection> const& link, std::string_view answer) {
    link->copy = answer;
    constexpr std::uint64_t longest_ms = 50;
    std::chrono::milliseconds after(0);
    switch (random_() % 3) {
    case 0:
        break;
    case 1:
        after = std::chrono::milliseconds(random_() % longest_ms);
        break;
    default:
        // The next answer takes it along.
        return;
    }
    asio::co_spawn(*io_, send_copy(link, after), asio::detached);
}

asio::awaitable<void> faulty_link::send_copy(
    std::shared_ptr<connection> link, std::chrono::milliseconds after) {
    if (after > std::chrono::milliseconds(0)) {
        co_await wait_for(after);
    }
    std::string const copy = std::exchange(link->copy, {});
    if (!copy.empty()) {
        co_await asio::async_write(
            link->client, asio::buffer(copy), use_result);
    }
}

asio::awaitable<void> faulty_link::delay() {
    constexpr std::uint64_t longest_ms = 400;
    if (occurs(faults_.delay)) {
        co_await wait_for(std::chrono::milliseconds(random_() % longest_ms));
    }
}

bool faulty_link::occurs(unsigned percent) {
    constexpr unsigned whole = 100;
    return random_() % whole < percent;
}

std::string faulty_link::stray_answer() {
    constexpr std::array<std::string_view, 6> heads{
        "503 Any\r\nX-Not-Executed: 1",
        "429 Any\r\nX-Not-Executed: 1",
        "421 Any\r\nX-Not-Executed: 1",
        "408 Any",
        "503 Any\r\nX-Request-Id: earlier\r\nX-Not-Executed: 1",
        "200 Any\r\nX-Response-Signature: stray"};
    return fmt::format(
        "HTTP/1.1 {}\r\nContent-Length: 0\r\n\r\n",
        heads.at(random_() % heads.size()));
}

} // namespace standins
