#include "Gateway/peer_datagram.hpp"
#include "Ports/probe_link.hpp"
#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::gateway_fixture;
using testing::within;

namespace {

/// A peer of the node that keeps the questions which it is asked.
class silent_peer {
public:
    explicit silent_peer(gateway_fixture& world)
        : world_(&world)
        , address_(testing::unused_address())
        , link_(world.loop.executor(), [this](std::string const& bytes) {
            auto const message = decode_peer_datagram(bytes);
            REQUIRE(message);
            std::ranges::copy(
                message->stream_questions, std::back_inserter(asked));
        }) {
        REQUIRE(link_.listen(address_).empty());
    }

    void send(peer_datagram message) {
        message.from = fmt::format("{}:{}", address_.host, address_.port);
        link_.send(world_->settings.peer_address, encode(message));
    }

    std::vector<peer_stream_question> asked;

private:
    gateway_fixture* world_;
    ip_address address_;
    probe_link link_;
};

/// Makes the node ask its peer for the origin of a stream.
/// @returns the question
peer_stream_question
ask_origin(gateway_fixture& world, silent_peer& peer, std::string path) {
    peer.send({});
    within(world, milliseconds(20), [] { return false; });
    peer.asked.clear();
    world.stream_from_node(0, std::move(path), 2);
    REQUIRE_FALSE(peer.asked.empty());
    return peer.asked.front();
}

} // namespace

// Guards against an answer to a question of a node's earlier process: a peer
// that was suspended answers seconds later, and the node, which numbers its
// questions from one again, takes the origin of another stream for this one's.
TEST_CASE("questions of a restarted node have numbers of their own") {
    gateway_fixture world;
    silent_peer peer(world);
    std::vector<std::uint64_t> numbers;
    for (int start = 0; start < 4; ++start) {
        auto const question =
            ask_origin(world, peer, fmt::format("/gen/{}", start));
        CHECK(std::ranges::find(numbers, question.number) == numbers.end());
        numbers.push_back(question.number);
        world.restart_nodes();
    }
}

} // namespace camphorpoint
