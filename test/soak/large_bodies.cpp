#include "test/soak/large_bodies.hpp"

#include "common/standin_main.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace camphorpoint::soak {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/// In bytes. Almost as much as the nodes take by default.
constexpr std::size_t body_size = (std::size_t{4} << 20U) - 1'024;
/// A caller that waits in vain leaves after this.
constexpr milliseconds patience{2'500};
constexpr std::size_t kinds = 4;
constexpr milliseconds pause{50};

std::string const& text_of_body() {
    static std::string const text(body_size, 'b');
    return text;
}

asio::awaitable<void>
close_after(std::shared_ptr<tcp::socket> socket, milliseconds time) {
    asio::steady_timer timer(socket->get_executor(), time);
    co_await timer.async_wait(use_result);
    boost::system::error_code ignored;
    socket->close(ignored);
}

} // namespace

large_body_caller::large_body_caller(
    deployment const& target, std::size_t number)
    : to_(number % kinds == kinds - 1
              ? target.nodes[number % target.nodes.size()].peers
              : target.nodes[number % target.nodes.size()].callers)
    , whole_(number % kinds < 2)
    , number_(number) {}

asio::awaitable<void> large_body_caller::run(bool const& stopping) {
    std::string const name = fmt::format("l{}", number_);
    for (; !stopping; ++sent_) {
        co_await send(name);
        co_await standins::wait_for(pause);
    }
}

asio::awaitable<void> large_body_caller::send(std::string const& name) const {
    std::string const& body = text_of_body();
    std::string const head = fmt::format(
        "POST /look/large HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}-{}\r\n"
        "X-Request-Deadline: {}\r\nContent-Length: {}\r\n\r\n",
        name, sent_, patience.count(), body.size());
    auto const executor = co_await asio::this_coro::executor;
    auto const socket = std::make_shared<tcp::socket>(executor);
    tcp::endpoint const remote(asio::ip::make_address(to_.host), to_.port);
    asio::co_spawn(executor, close_after(socket, patience), asio::detached);
    // What becomes of each step does not matter to this caller.
    co_await socket->async_connect(remote, use_result);
    std::array const parts{
        asio::buffer(head),
        asio::buffer(body.data(), body.size() - (whole_ ? 0 : 1))};
    co_await asio::async_write(*socket, parts, use_result);
    std::array<char, 512> answer{};
    co_await socket->async_read_some(asio::buffer(answer), use_result);
    boost::system::error_code ignored;
    socket->close(ignored);
}

} // namespace camphorpoint::soak
