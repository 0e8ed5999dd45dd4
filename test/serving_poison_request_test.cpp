#include "test/support/cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

namespace camphorpoint {

namespace {

using test::milliseconds;

/// Maximum number of engines that one request may crash: three before it is
/// quarantined, and three more by attempts that are running at that time or
/// come from a node without the update.
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

/// Three nodes and twelve engines that crash when they run one specific body.
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
    /// Sends the poison body as a new request and waits for its outcome.
    void send(std::size_t node) {
        std::string const id = "crash" + std::to_string(sent++);
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
    /// Lets time pass. Engines that run the poison body crash within 20 ms.
    void advance(milliseconds time) {
        constexpr milliseconds step(20);
        for (milliseconds elapsed{0}; elapsed < time; elapsed += step) {
            run(step);
            for (std::size_t each = 0; each < engines.size(); ++each) {
                auto const is_poison = [](auto const& running) {
                    return running.first.str().starts_with("crash");
                };
                if (std::ranges::any_of(engines[each].running, is_poison)) {
                    ++crashed_engines;
                    restart_engine(each);
                }
            }
        }
    }
    /// Sends the poison body as a new request without waiting for its outcome.
    void send_async(std::size_t node) {
        post(node, make_request("crash" + std::to_string(sent++), poison_body));
    }
    unsigned sent = 0;
    unsigned crashed_engines = 0;
};

} // namespace

// Guards against a request that crashes one engine after another: retry limits
// apply to one request, but its caller sends it again under a new id to any
// node.
TEST_CASE("a request that crashes engines is quarantined") {
    poison_request_cluster all;
    constexpr unsigned request_count = 18;

    SUBCASE("sent to one node") {
        for (unsigned each = 0; each < request_count; ++each) {
            all.send(0);
        }
        CHECK(all.crashed_engines <= max_crashes);
    }
    SUBCASE("sent to the nodes in turn") {
        for (unsigned each = 0; each < request_count; ++each) {
            all.send(each % node_count);
        }
        CHECK(all.crashed_engines <= max_crashes);
    }
    SUBCASE("other requests are served") {
        for (unsigned each = 0; each < request_count; ++each) {
            all.send(each % node_count);
        }
        all.run(milliseconds(5'000));
        all.post(0, make_request("other", poison_body + 1));
        all.run(milliseconds(5'000));
        CHECK(all.ended("other").how == outcome::done);
    }
}

// Guards against crash counts that are kept only by one node, or only for one
// request id. The engines have restarted before the request is repeated, so
// nothing else limits the number of crashes.
TEST_CASE("all nodes know the crashes that a request has caused") {
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

// Guards against nodes that act on their own counts while updates of other
// nodes are in transit: each node receives the request at the same moment.
TEST_CASE("a poison request arrives at all nodes at once") {
    constexpr unsigned request_count = 8;
    // Attempts of the other nodes may be running when the third engine crashes.
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

// Guards against the quarantine of other requests that were running on engines
// when the poison request crashed them.
TEST_CASE("requests that run beside a poison request are served") {
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

// Guards against a quarantine that is lost when the process of a node restarts.
TEST_CASE("a restarted node runs no request that others have quarantined") {
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
