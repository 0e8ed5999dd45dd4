#include "test/support/cluster.hpp"

#include <doctest/doctest.h>

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

} // namespace camphorpoint
