#include "test/support/cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

namespace camphorpoint {

namespace {

using test::milliseconds;

/// Engines that one request may end: three before it is known for it, and
/// three more that may be under way or come from a node not told yet.
constexpr unsigned most_ended = 6;
constexpr std::size_t node_count = 3;
constexpr std::size_t engine_count = 12;
constexpr std::uint64_t deadly_body = 7;

caller_request asks(std::string const& id, std::uint64_t body) {
    caller_request made;
    made.id = request_id(id);
    made.profile = profile_name("audit-note");
    made.body_digest = body;
    made.deadline = milliseconds(5'000);
    return made;
}

/// Three nodes before twelve engines that end when they run one body.
struct deadly_cluster : test::cluster {
    deadly_cluster()
        : cluster(node_count, engine_count) {
        profile made;
        made.name = profile_name("audit-note");
        made.model = model_id("base");
        made.adapter = {adapter_id("audit"), 1};
        made.idempotent = true;
        publish(made);
        run(milliseconds(30'000));
    }
    /// Sends the body as a new request and waits for its end.
    void send(std::size_t node) {
        std::string const id = "deadly" + std::to_string(sent++);
        post(node, asks(id, deadly_body));
        while (!has_ended(id)) {
            run(milliseconds(20));
            for (std::size_t each = 0; each < engines.size(); ++each) {
                if (engines[each].running.contains(request_id(id))) {
                    ++ended_engines;
                    restart_engine(each);
                }
            }
        }
    }
    /// Lets time pass; engines that run the body end within 20 ms.
    void pass(milliseconds time) {
        constexpr milliseconds look(20);
        for (milliseconds gone{0}; gone < time; gone += look) {
            run(look);
            for (std::size_t each = 0; each < engines.size(); ++each) {
                auto const deadly = [](auto const& running) {
                    return running.first.str().starts_with("deadly");
                };
                if (std::ranges::any_of(engines[each].running, deadly)) {
                    ++ended_engines;
                    restart_engine(each);
                }
            }
        }
    }
    /// Sends the body as a new request and goes on.
    void send_and_go_on(std::size_t node) {
        post(node, asks("deadly" + std::to_string(sent++), deadly_body));
    }
    unsigned sent = 0;
    unsigned ended_engines = 0;
};

} // namespace

// Guards against engines that end one after the other: retries looked at one
// request, and its caller sends it again under a new id to any node.
TEST_CASE("a request that ends its engines is soon run no more") {
    deadly_cluster all;
    constexpr unsigned times = 18;

    SUBCASE("sent to one node") {
        for (unsigned each = 0; each < times; ++each) {
            all.send(0);
        }
        CHECK(all.ended_engines <= most_ended);
    }
    SUBCASE("sent by turns to each node") {
        for (unsigned each = 0; each < times; ++each) {
            all.send(each % node_count);
        }
        CHECK(all.ended_engines <= most_ended);
    }
    SUBCASE("others are served") {
        for (unsigned each = 0; each < times; ++each) {
            all.send(each % node_count);
        }
        all.run(milliseconds(5'000));
        all.post(0, asks("other", deadly_body + 1));
        all.run(milliseconds(5'000));
        CHECK(all.ended("other").how == outcome::done);
    }
}

// Guards against what is known of the request at one node only, or for one
// request only: engines are back before it comes again, so that nothing else
// keeps their number down.
TEST_CASE("what a request has done to engines is known at every node") {
    constexpr unsigned times = 24;
    for (unsigned const seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        deadly_cluster all;
        for (unsigned each = 0; each < times; ++each) {
            all.send_and_go_on(random() % node_count);
            all.pass(milliseconds(200 + random() % 3'000));
        }
        CHECK(all.ended_engines <= most_ended);
    }
}

// Guards against an act on what is known here while the others' word is on its
// way: the request comes to each node at the same moment.
TEST_CASE("a request that ends engines comes to all nodes at once") {
    constexpr unsigned times = 8;
    // Three that are under way besides when the third of the first ones ends.
    constexpr unsigned most_at_once = most_ended + node_count;
    deadly_cluster all;
    for (unsigned each = 0; each < times; ++each) {
        for (std::size_t node = 0; node < node_count; ++node) {
            all.send_and_go_on(node);
        }
        all.pass(milliseconds(2'000));
    }
    CHECK(all.ended_engines <= most_at_once);
}

// Guards against others' requests that are taken for the deadly one since they
// were under way at engines that ended.
TEST_CASE("requests beside one that ends engines are served") {
    constexpr unsigned times = 18;
    constexpr unsigned most_unserved = 1;
    deadly_cluster all;
    for (unsigned each = 0; each < times; ++each) {
        all.send_and_go_on(each % node_count);
        all.post(
            (each + 1) % node_count,
            asks("other" + std::to_string(each), deadly_body + 1));
        all.pass(milliseconds(2'000));
    }
    all.pass(milliseconds(5'000));
    unsigned served = 0;
    for (unsigned each = 0; each < times; ++each) {
        std::string const id = "other" + std::to_string(each);
        served += all.ended(id).how == outcome::done ? 1 : 0;
    }
    CHECK(served + most_unserved >= times);
    CHECK(all.ended_engines <= most_ended);
}

// Guards against a memory that ends with its node's process.
TEST_CASE("a node that begins anew runs no request that others hold") {
    constexpr unsigned times = 6;
    for (std::size_t node = 0; node < node_count; ++node) {
        CAPTURE(node);
        deadly_cluster all;
        auto const send_all = [&] {
            for (unsigned each = 0; each < times; ++each) {
                all.send_and_go_on(node);
                all.pass(milliseconds(2'000));
            }
        };
        send_all();
        all.kill(node);
        all.pass(milliseconds(500));
        all.start(node);
        send_all();
        CHECK(all.ended_engines <= most_ended);
    }
}

} // namespace camphorpoint
