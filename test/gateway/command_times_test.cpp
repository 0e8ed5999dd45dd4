#include "Gateway/command_times.hpp"
#include "Ports/http_connection.hpp"
#include "test/ports/loopback.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::loopback;
using testing::raw_server;

namespace {

asio::awaitable<void> read_header(
    raw_server::socket_type& socket, std::shared_ptr<std::string> into) {
    *into = co_await testing::read_until(socket, "\r\n\r\n");
}

} // namespace

// Guards against a command that is sent on an expired lease: a lease holder
// checks its lease, connects to the replica and is suspended for seven seconds.
// Another node takes the lease over and sends commands; when the first one
// resumes and sends its command, two nodes control one replica.
TEST_CASE("a command is not sent on an expired lease") {
    loopback loop;
    http_pool pool;
    partition_leases leases{lease_times{}};
    auto const seen = std::make_shared<std::string>();
    raw_server server(loop, [seen](raw_server::socket_type& socket) {
        return read_header(socket, seen);
    });
    auto const send = [&](instant granted) {
        leases.on_renewal_granted(granted, 1, {4}, granted);
        fetch_result result;
        loop.run([&]() -> asio::awaitable<void> {
            http_call call(loop.executor(), &pool);
            http_request request;
            request.method = "POST";
            call_times const times = command_times(leases);
            result = co_await fetch(call, server.address(), request, times);
        });
        return result.how;
    };
    instant const now = boot_clock::now();
    SUBCASE("granted seven seconds ago: no byte is sent") {
        CHECK(send(now - seconds(7)) == call_result::not_sent);
        CHECK(seen->empty());
    }
    SUBCASE("granted just now: the command is sent") {
        CHECK(send(now) != call_result::not_sent);
        CHECK_FALSE(seen->empty());
    }
}

// Guards against a replica that gets no further command because the answer to
// one comes a byte at a time, without end: no pause is long enough to end it.
TEST_CASE("a command ends although its answer goes on") {
    constexpr milliseconds pause{20};
    loopback loop;
    http_pool pool;
    partition_leases leases{lease_times{}};
    instant const now = boot_clock::now();
    leases.on_renewal_granted(now, 1, {4}, now);
    raw_server server(
        loop, [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
            asio::steady_timer timer(loop.io());
            co_await testing::read_request(socket);
            co_await testing::write_text(
                socket,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            boost::system::error_code closed;
            while (!closed) {
                timer.expires_after(pause);
                co_await timer.async_wait(asio::use_awaitable);
                co_await testing::write_text(socket, "1\r\na\r\n");
                // A connection that was reset has no remote end.
                socket.remote_endpoint(closed);
            }
        });
    fetch_result got;
    loop.run([&]() -> asio::awaitable<void> {
        http_call call(loop.executor(), &pool);
        http_request request;
        request.method = "POST";
        call_times const times = command_times(leases);
        got = co_await fetch(call, server.address(), request, times);
    });
    CHECK(got.how == call_result::lost);
    CHECK(boot_clock::now() < now + seconds(2));
}

} // namespace camphorpoint
