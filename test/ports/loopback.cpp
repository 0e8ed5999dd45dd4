#include "test/ports/loopback.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <unistd.h>
#include <utility>

namespace camphorpoint::testing {

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace {

// Only a test that hangs waits so long.
constexpr std::chrono::seconds patience{20};

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

/// Below the ports that the kernel gives to outgoing connections.
constexpr std::uint16_t first_port = 20'000;
constexpr std::uint16_t last_port = 30'000;

/// @returns a loopback address that no other process of these tests uses
std::string own_host() {
    auto const id = static_cast<unsigned>(::getpid());
    constexpr unsigned byte = 256;
    constexpr unsigned first_network = 64;
    constexpr unsigned networks = 128;
    return fmt::format(
        "127.{}.{}.{}", first_network + id / (byte * byte) % networks,
        id / byte % byte, id % byte);
}

template <class Protocol>
bool is_free(ip_address const& address) {
    asio::io_context io;
    typename Protocol::socket socket(io, Protocol::v4());
    boost::system::error_code error;
    socket.bind({asio::ip::make_address(address.host), address.port}, error);
    return !error;
}

asio::awaitable<void> accept_all(
    std::shared_ptr<tcp::acceptor> acceptor, std::shared_ptr<std::size_t> count,
    raw_server::script what) {
    for (;;) {
        auto [error, socket] = co_await acceptor->async_accept(use_result);
        if (error) {
            co_return;
        }
        ++*count;
        co_await what(socket);
    }
}

} // namespace

bool loopback::run_until(std::function<bool()> const& holds) {
    auto const end = boot_clock::now() + patience;
    while (!holds()) {
        io_.restart();
        io_.run_one_until(end);
        if (boot_clock::now() >= end) {
            return false;
        }
    }
    return true;
}

void loopback::run(std::function<asio::awaitable<void>()> work) {
    bool done = false;
    asio::co_spawn(io_, std::move(work), [&](std::exception_ptr failure) {
        done = true;
        CHECK(failure == nullptr);
    });
    REQUIRE(run_until([&] { return done; }));
}

raw_server::raw_server(loopback& loop, script what)
    : acceptor_(std::make_shared<tcp::acceptor>(
          loop.io(), tcp::endpoint(asio::ip::address_v4::loopback(), 0)))
    , connections_(std::make_shared<std::size_t>(0)) {
    asio::co_spawn(
        loop.io(), accept_all(acceptor_, connections_, std::move(what)),
        asio::detached);
}

ip_address raw_server::address() const {
    return local(acceptor_->local_endpoint().port());
}

asio::awaitable<std::string> read_request(raw_server::socket_type& socket) {
    std::string text;
    co_await asio::async_read_until(
        socket, asio::dynamic_buffer(text), "\r\n\r\n", use_result);
    co_return text;
}

asio::awaitable<void>
write_text(raw_server::socket_type& socket, std::string text) {
    co_await asio::async_write(socket, asio::buffer(text), use_result);
}

asio::awaitable<std::string>
read_until(raw_server::socket_type& socket, std::string text) {
    std::string all;
    std::array<char, 4'096> piece{};
    while (text.empty() || all.find(text) == std::string::npos) {
        auto const [error, size] =
            co_await socket.async_read_some(asio::buffer(piece), use_result);
        all.append(piece.data(), size);
        if (error) {
            break;
        }
    }
    co_return all;
}

asio::awaitable<raw_server::socket_type> connect_to(ip_address address) {
    tcp::socket socket(co_await asio::this_coro::executor);
    tcp::endpoint const remote(
        asio::ip::make_address(address.host), address.port);
    co_await socket.async_connect(remote, asio::use_awaitable);
    co_return socket;
}

ip_address local(std::uint16_t port) {
    return {"127.0.0.1", port};
}

ip_address unused_address() {
    static std::uint16_t next = first_port;
    for (;;) {
        ip_address address{own_host(), next};
        next = next == last_port ? first_port : next + 1;
        if (is_free<tcp>(address) && is_free<asio::ip::udp>(address)) {
            return address;
        }
    }
}

} // namespace camphorpoint::testing
