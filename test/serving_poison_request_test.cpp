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
constexpr unsigned max_crashes = 6;
constexpr std::size_t node_count = 3;
constexpr std::size_t engine_count = 12;
constexpr std::uint64_t poison_body = 7;

caller_request make_request(std::string const& id, std::uint64_t body) {
    caller_request result;
    result.id = request_id(id);
    result.profile = profile_name("audit-note");
    result.body_digest = body;
    result.deadline = milliseconds(5'000);
    return result;
}

/// Three nodes before twelve engines that end when they run one body.
struct poison_request_cluster : test::cluster {
    poison_request_cluster()
        : cluster(node_count, engine_count) {
        profile result;
        result.name = profile_name("audit-note");
        result.model = model_id("base");
        result.adapter = {adapter_id("audit"), 1};
        result.idempotent = true;
        publish(result);
        run(milliseconds(30'000));
    }
    /// Sends the body as a new request and waits for its end.
    void send(std::size_t node) {
        std::string const id = "deadly" + std::to_string(sent++);
        post(node, make_request(id, poison_body));
        while (!has_ended(id)) {
            run(milliseconds(20));
            for (std::size_t each = 0; each < engines.size(); ++each) {
                if (engines[each].running.contains(request_id(id))) {
                    ++crashed_engines;
                    restart_engine(each);
                }
            }
        }
    }
    /// Lets time pass; engines that run the body end within 20 ms.
    void advance(milliseconds time) {
        constexpr milliseconds step(20);
        for (milliseconds elapsed{0}; elapsed < time; elapsed += step) {
            run(step);
            for (std::size_t each = 0; each < engines.size(); ++each) {
                auto const is_poison = [](auto const& running) {
                    return running.first.str().starts_with("deadly");
                };
                if (std::ranges::any_of(engines[each].running, is_poison)) {
                    ++crashed_engines;
                    restart_engine(each);
                }
            }
        }
    }
    /// Sends the body as a new request and goes on.
    void send_async(std::size_t node) {
        post(
            node, make_request("deadly" + std::to_string(sent++), poison_body));
    }
    unsigned sent = 0;
    unsigned crashed_engines = 0;
};

} // namespace

// Guards against engines that end one after the other: retries looked at one
// request, and its caller sends it again under a new id to any node.
TEST_CASE("a request that ends its engines is soon run no more") {
    poison_request_cluster all;
    constexpr unsigned request_count = 18;

    SUBCASE("sent to one node") {
        for (unsigned each = 0; each < request_count; ++each) {
            all.send(0);
        }
        CHECK(all.crashed_engines <= max_crashes);
    }
    SUBCASE("sent by turns to each node") {
        for (unsigned each = 0; each < request_count; ++each) {
            all.send(each % node_count);
        }
        CHECK(all.crashed_engines <= max_crashes);
    }
    SUBCASE("others are served") {
        for (unsigned each = 0; each < request_count; ++each) {
            all.send(each % node_count);
        }
        all.run(milliseconds(5'000));
        all.post(0, make_request("other", poison_body + 1));
        all.run(milliseconds(5'000));
        CHECK(all.ended("other").how == outcome::done);
    }
}

// Guards against what is known of the request at one node only, or for one
// request only: engines are back before it comes again, so that nothing else
// keeps their number down.
TEST_CASE("what a request has done to engines is known at every node") {
    constexpr unsigned request_count = 24;
    for (unsigned const seed : {1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U}) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        poison_request_cluster all;
        for (unsigned each = 0; each < request_count; ++each) {
            all.send_async(random() % node_count);
            all.advance(milliseconds(200 + random() % 3'000));
        }
        CHECK(all.crashed_engines <= max_crashes);
    }
}

// Guards against an act on what is known here while the others' word is on its
// way: the request comes to each node at the same moment.
TEST_CASE("a request that ends engines comes to all nodes at once") {
    constexpr unsigned request_count = 8;
    // Three that are under way besides when the third of the first ones ends.
    constexpr unsigned max_concurrent_crashes = max_crashes + node_count;
    poison_request_cluster all;
    for (unsigned each = 0; each < request_count; ++each) {
        for (std::size_t node = 0; node < node_count; ++node) {
            all.send_async(node);
        }
        all.advance(milliseconds(2'000));
    }
    CHECK(all.crashed_engines <= max_concurrent_crashes);
}

// Guards against others' requests that are taken for the deadly one since they
// were under way at engines that ended.
TEST_CASE("requests beside one that ends engines are served") {
    constexpr unsigned request_count = 18;
    constexpr unsigned max_unserved = 1;
    poison_request_cluster all;
    for (unsigned each = 0; each < request_count; ++each) {
        all.send_async(each % node_count);
        all.post(
            (each + 1) % node_count,
            make_request("other" + std::to_string(each), poison_body + 1));
        all.advance(milliseconds(2'000));
    }
    all.advance(milliseconds(5'000));
    unsigned served = 0;
    for (unsigned each = 0; each < request_count; ++each) {
        std::string const id = "other" + std::to_string(each);
        served += all.ended(id).how == outcome::done ? 1 : 0;
    }
    CHECK(served + max_unserved >= request_count);
    CHECK(all.crashed_engines <= max_crashes);
}

// Guards against a memory that ends with its node's process.
TEST_CASE("a node that begins anew runs no request that others hold") {
    constexpr unsigned request_count = 6;
    for (std::size_t node = 0; node < node_count; ++node) {
        CAPTURE(node);
        poison_request_cluster all;
        auto const send_all = [&] {
            for (unsigned each = 0; each < request_count; ++each) {
                all.send_async(node);
                all.advance(milliseconds(2'000));
            }
        };
        send_all();
        all.kill(node);
        all.advance(milliseconds(500));
        all.start(node);
        send_all();
        CHECK(all.crashed_engines <= max_crashes);
    }
}

} // namespace camphorpoint
