#include "Ports/peer_link.hpp"
#include "Ports/probe_link.hpp"
#include "test/ports/loopback.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace camphorpoint {

namespace asio = boost::asio;
using testing::loopback;
using testing::raw_server;

namespace {

struct test_node {
    test_node(
        loopback& loop, std::string const& name, std::uint64_t incarnation,
        peer_link_limits limits = {})
        : link(
              loop.executor(), {node_id(name), incarnation}, limits, 1,
              [this](peer_identity const& from, std::string message) {
                  senders.push_back(from);
                  messages.push_back(std::move(message));
              },
              [this](node_id const& peer) { lost.push_back(peer.str()); }) {
        REQUIRE(link.listen(testing::local(0)).empty());
    }

    ip_address address() const { return testing::local(link.port()); }

    std::vector<peer_identity> senders;
    std::vector<std::string> messages;
    std::vector<std::string> lost;
    peer_link link;
};

} // namespace

TEST_CASE("nodes send each other messages") {
    loopback loop;
    test_node graz(loop, "graz", 7);
    node_id const leoben_id("leoben");

    SUBCASE("they come in order, with their sender's name and incarnation") {
        test_node leoben(loop, "leoben", 1);
        std::string const large(300'000, 'x');
        graz.link.send(leoben_id, leoben.address(), "one");
        graz.link.send(leoben_id, leoben.address(), large);
        graz.link.send(leoben_id, leoben.address(), "");
        REQUIRE(loop.run_until([&] { return leoben.messages.size() == 3; }));
        CHECK(leoben.messages[0] == "one");
        CHECK(leoben.messages[1] == large);
        CHECK(leoben.messages[2].empty());
        CHECK(leoben.senders[0].id == node_id("graz"));
        CHECK(leoben.senders[0].incarnation == 7);
        CHECK(graz.lost.empty());
    }

    // An owner's instance is replaced. An entry node that waited for its answer
    // until the deadline would fail requests that another owner could take.
    SUBCASE("nothing listens: the loss is reported at once") {
        graz.link.send(leoben_id, testing::unused_address(), "one");
        CHECK(loop.run_until([&] { return !graz.lost.empty(); }));
        CHECK(graz.lost.front() == "leoben");
        CHECK(graz.link.queued_bytes() == 0);
    }

    // A new instance gets the address of one that is gone, before the
    // platform's list says so: messages for the old one must not count.
    SUBCASE("another node listens there: it takes nothing") {
        test_node other(loop, "graz-b", 1);
        graz.link.send(leoben_id, other.address(), "one");
        CHECK(loop.run_until([&] { return !graz.lost.empty(); }));
        CHECK(other.messages.empty());
    }

    SUBCASE("a peer that dies after it got a message is reported") {
        auto leoben = std::make_unique<test_node>(loop, "leoben", 1);
        ip_address const address = leoben->address();
        graz.link.send(leoben_id, address, "one");
        REQUIRE(loop.run_until([&] { return !leoben->messages.empty(); }));
        CHECK(graz.lost.empty());
        leoben->link.close();
        CHECK(loop.run_until([&] { return !graz.lost.empty(); }));
    }

    SUBCASE("a message that is too long ends the connection") {
        peer_link_limits small;
        small.message_bytes = 100;
        test_node leoben(loop, "leoben", 1, small);
        graz.link.send(leoben_id, leoben.address(), std::string(101, 'x'));
        CHECK(loop.run_until([&] { return !graz.lost.empty(); }));
        CHECK(leoben.messages.empty());
    }

    // A peer's process is stopped but its kernel still takes bytes for a while.
    SUBCASE("what waits for a peer that takes nothing is bounded") {
        raw_server stuck(
            loop,
            [&](raw_server::socket_type& socket) -> asio::awaitable<void> {
                asio::steady_timer timer(
                    loop.io(), asio::steady_timer::time_point::max());
                co_await timer.async_wait(asio::use_awaitable);
                socket.close();
            });
        std::string const piece(1U << 20U, 'x');
        bool const given_up = [&] {
            for (int i = 0; i < 64 && graz.lost.empty(); ++i) {
                graz.link.send(leoben_id, stuck.address(), piece);
                CHECK(
                    graz.link.queued_bytes() <= peer_link_limits().queue_bytes);
                loop.io().restart();
                loop.io().poll();
            }
            return !graz.lost.empty();
        }();
        CHECK(given_up);
    }

    SUBCASE("a stranger's bytes reach nobody") {
        loop.run([&]() -> asio::awaitable<void> {
            raw_server::socket_type socket =
                co_await testing::connect_to(graz.address());
            co_await testing::write_text(socket, "GET / HTTP/1.1\r\n\r\n");
            std::string const answer = co_await testing::read_until(socket, "");
            CHECK(answer.empty());
        });
        CHECK(graz.messages.empty());
    }
}

TEST_CASE("nodes probe each other with datagrams") {
    loopback loop;
    std::vector<std::string> came;
    probe_link left(loop.executor(), [](std::string const&) {});
    probe_link right(loop.executor(), [&](std::string datagram) {
        came.push_back(std::move(datagram));
    });
    REQUIRE(left.listen(testing::local(0)).empty());
    REQUIRE(right.listen(testing::local(0)).empty());
    ip_address const to = testing::local(right.port());

    SUBCASE("a datagram comes as it was sent") {
        CHECK(left.send(to, std::string("a\0b", 3)));
        REQUIRE(loop.run_until([&] { return came.size() == 1; }));
        CHECK(came.front() == std::string("a\0b", 3));
    }
    SUBCASE("one that would be split up is not sent") {
        CHECK(left.send(to, std::string(largest_datagram, 'x')));
        CHECK_FALSE(left.send(to, std::string(largest_datagram + 1, 'x')));
    }
    // The peer's process is gone, and its host answers "port unreachable".
    SUBCASE("an unreachable peer doesn't end the socket") {
        CHECK(left.send(testing::unused_address(), "x"));
        CHECK(right.send(testing::local(left.port()), "x"));
        CHECK(left.send(to, "y"));
        CHECK(loop.run_until([&] { return came.size() == 1; }));
    }
}

} // namespace camphorpoint
