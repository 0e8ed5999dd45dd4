#include "Gateway/peer_datagram.hpp"
#include "Ports/probe_link.hpp"
#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::gateway_fixture;
using testing::within;

namespace {

/// Longer than a view counts as current, and a read of the registry waits.
constexpr milliseconds view_lifetime{12'000};

/// A peer of the node that keeps the last message of each kind.
class recording_peer {
public:
    explicit recording_peer(gateway_fixture& world)
        : world_(&world)
        , address_(testing::unused_address())
        , link_(world.loop.executor(), [this](std::string const& bytes) {
            auto const message = decode_peer_datagram(bytes);
            REQUIRE(message);
            for (auto const& each : message->stream_questions) {
                question = each;
            }
            for (auto const& each : message->stream_answers) {
                answer = each;
            }
            for (auto const& each : message->registry_updates) {
                known = each.to;
            }
        }) {
        REQUIRE(link_.listen(address_).empty());
    }

    void send(peer_datagram message) {
        message.from = fmt::format("{}:{}", address_.host, address_.port);
        link_.send(world_->settings.peer_address, encode(message));
    }

    /// Asks the node what it knows of the versions of a service.
    version_knowledge ask(peer_stream_question const& about) {
        answer.reset();
        peer_datagram message;
        message.stream_questions = {about};
        send(std::move(message));
        REQUIRE(within(
            *world_, milliseconds(500), [this] { return answer.has_value(); }));
        return answer->versions;
    }

    std::optional<peer_stream_question> question;
    std::optional<peer_stream_answer> answer;
    std::optional<store_position> known;

private:
    gateway_fixture* world_;
    ip_address address_;
    probe_link link_;
};

} // namespace

// Guards against a node without the store that has missed a registry update,
// and takes its view for current with each later one: it has not seen the
// software version that the missed one named.
TEST_CASE("a node that has missed an update lets its view grow old") {
    gateway_fixture world([](gateway_fixture& before) {
        before.settings.stream_lifetime = milliseconds(500);
    });
    REQUIRE(world.loop.run_until([&] { return world.node->ready(); }));
    recording_peer peer(world);
    peer.send({});
    REQUIRE(within(
        world, milliseconds(1'500), [&] { return peer.known.has_value(); }));
    world.stream_from_node(0, "/gen/a", 2);
    REQUIRE(peer.question);
    peer_stream_question const question = *peer.question;
    REQUIRE(peer.ask(question) == version_knowledge::observed);

    world.metadata.turns_away = true;
    peer_registry_update update;
    update.from = *peer.known;
    auto expected = version_knowledge::observed;
    SUBCASE("when the later ones leave a gap") {
        constexpr unsigned missed = 10;
        update.from.offset += missed;
        expected = version_knowledge::none;
    }
    SUBCASE("not when they go on where it stands") {}
    update.to = update.from;
    instant const end = boot_clock::now() + view_lifetime;
    while (boot_clock::now() < end) {
        peer_datagram message;
        message.registry_updates = {update};
        peer.send(std::move(message));
        within(world, milliseconds(100), [] { return false; });
    }
    CHECK(peer.ask(question) == expected);
}

} // namespace camphorpoint
