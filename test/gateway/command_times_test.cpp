#include "Gateway/command_times.hpp"
#include "Ports/http_connection.hpp"
#include "test/ports/loopback.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::seconds;
using testing::loopback;
using testing::raw_server;

namespace {

asio::awaitable<void> read_header(
    raw_server::socket_type& socket, std::shared_ptr<std::string> into) {
    *into = co_await testing::read_until(socket, "\r\n\r\n");
}

} // namespace

// A holder looks at its lease, connects to the replica and is suspended there
// for seven seconds. Another holder has taken over and ordered; the first one
// wakes and sends its order, so that two holders take turns at one replica.
TEST_CASE("an order does not leave on a lease that has ended") {
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
    SUBCASE("granted seven seconds ago: not a byte of it") {
        CHECK(send(now - seconds(7)) == call_result::not_sent);
        CHECK(seen->empty());
    }
    SUBCASE("granted just now: it is sent") {
        CHECK(send(now) != call_result::not_sent);
        CHECK_FALSE(seen->empty());
    }
}

} // namespace camphorpoint
