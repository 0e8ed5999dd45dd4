#include "Core/time.hpp"
#include "Ports/send_watch.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <list>
#include <string>
#include <thread>

namespace camphorpoint {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

/// A connection whose receiving process stands still while its host
/// acknowledges what arrives.
class stalled_connection {
public:
    stalled_connection() {
        tcp::acceptor acceptor(
            io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        sender_.connect(acceptor.local_endpoint());
        receiver_ = acceptor.accept();
        internal::bound_silence(handle());
        sender_.non_blocking(true);
        std::string const data(std::size_t{1} << 20U, 'a');
        boost::system::error_code full;
        while (!full) {
            sender_.write_some(asio::buffer(data), full);
        }
        REQUIRE(full == asio::error::would_block);
    }

    int handle() { return sender_.native_handle(); }
    /// @returns false when the kernel has ended the connection
    bool open() {
        boost::system::error_code error;
        char byte = 0;
        sender_.receive(
            asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == asio::error::would_block;
    }

private:
    asio::io_context io_{1};
    tcp::socket sender_{io_};
    tcp::socket receiver_{io_};
};

struct watched_connection {
    stalled_connection connection;
    internal::send_watch watch{boot_clock::now()};
};

} // namespace

// Guards against a request that is given up although the host of its server
// answers: a busy node checks its connections later than it has planned, and
// took each acknowledgement for too old.
TEST_CASE("a connection whose host answers stays open") {
    milliseconds interval{};
    SUBCASE("when its node is on time") {
        interval = internal::send_watch::period;
    }
    SUBCASE("when its node is a little late each time") {
        interval = internal::send_watch::period + milliseconds(30);
    }
    SUBCASE("when its node is very late") {
        interval = milliseconds(600);
    }
    CAPTURE(interval.count());
    // The kernel's window probes fall at other times between two checks for
    // each of them.
    constexpr int connections = 12;
    constexpr milliseconds shift{50};
    std::list<watched_connection> all;
    for (int each = 0; each < connections; ++each) {
        all.emplace_back();
        std::this_thread::sleep_for(shift);
    }
    constexpr milliseconds longer_than_limit{5'000};
    instant const end = boot_clock::now() + longer_than_limit;
    while (boot_clock::now() < end) {
        std::this_thread::sleep_for(interval);
        for (watched_connection& each : all) {
            each.watch.check(each.connection.handle(), boot_clock::now());
        }
    }
    CHECK(std::ranges::all_of(
        all, [](watched_connection& each) { return each.connection.open(); }));
}

} // namespace camphorpoint
