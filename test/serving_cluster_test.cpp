#include "test/support/cluster.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

namespace {

using test::milliseconds;

profile make_profile(std::uint32_t version, bool idempotent = true) {
    profile result;
    result.name = profile_name("audit-note");
    result.model = model_id("base");
    result.adapter = {adapter_id("audit"), version};
    result.idempotent = idempotent;
    return result;
}

caller_request make_request(std::string const& id) {
    caller_request result;
    result.id = request_id(id);
    result.profile = profile_name("audit-note");
    result.deadline = milliseconds(10'000);
    return result;
}

/// Three nodes and two engines with one profile, after startup has settled.
struct settled_cluster : test::cluster {
    explicit settled_cluster(bool idempotent = true)
        : cluster(3, 2) {
        publish(make_profile(1, idempotent));
        run(milliseconds(30'000));
    }
    /// @returns a node that owns neither engine
    std::size_t non_owner() const {
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            if (node != owner_of(0) && node != owner_of(1)) {
                return node;
            }
        }
        return 0;
    }
    std::size_t owner_running(std::string const& id) const {
        for (std::size_t engine = 0; engine < engines.size(); ++engine) {
            if (engines[engine].running.contains(request_id(id))) {
                return owner_of(engine);
            }
        }
        FAIL(id << " does not run");
        return 0;
    }
};

} // namespace

TEST_CASE("entry node and replica owner serve a request together") {
    settled_cluster all;

    SUBCASE("an entry node that owns no replica; the adapter is loaded first") {
        all.post(all.non_owner(), make_request("r"));
        all.run(milliseconds(3'000));
        CHECK(all.ended("r").how == outcome::done);
        CHECK(all.begun("r") == 1);
        CHECK(
            all.attempts.at(0).adapter == adapter_ref{adapter_id("audit"), 1});
    }

    SUBCASE("a request keeps the version it was admitted under") {
        all.engines[0].load_time = milliseconds(2'000);
        all.engines[1].load_time = milliseconds(2'000);
        all.post(0, make_request("before"));
        all.publish(make_profile(2), 1);
        all.run(milliseconds(1'900));
        all.post(0, make_request("after"));
        all.run(milliseconds(9'000));
        CHECK(all.ended("before").how == outcome::done);
        CHECK(all.ended("after").how == outcome::done);
        CHECK(all.attempts.front().adapter.version == 1);
        CHECK(all.attempts.back().adapter.version == 2);
    }

    SUBCASE("requests are refused until a configuration is known") {
        all.kill(1);
        all.kill(2);
        all.kill(0);
        all.log.down = true;
        all.start(0);
        all.run(milliseconds(1'000));
        all.post(0, make_request("r"));
        CHECK(all.ended("r").how == outcome::not_run);
        CHECK(all.ended("r").why == reason::not_ready);
    }
}

// Guards against a stream that breaks off because another instance died. The
// owner of the replica dies while the answer streams through a different node.
// The owner only issued the grant and does not forward the stream.
TEST_CASE("a stream continues when the replica's owner dies") {
    settled_cluster all;
    for (auto& engine : all.engines) {
        engine.tokens = 200;
    }
    std::size_t const entry = all.non_owner();
    all.post(entry, make_request("r"));
    all.run(milliseconds(1'000));
    std::size_t const owner = all.owner_running("r");
    REQUIRE(owner != entry);
    all.kill(owner);
    all.run(milliseconds(8'000));

    CHECK(all.ended("r").how == outcome::done);
    CHECK(all.begun("r") == 1);
    SUBCASE("the successor serves the replica and evicts no adapter in use") {
        all.run(milliseconds(20'000));
        all.post(entry, make_request("next"));
        all.run(milliseconds(5'000));
        CHECK(all.ended("next").how == outcome::done);
        CHECK(all.engines[0].evicted_in_use == 0);
        CHECK(all.engines[1].evicted_in_use == 0);
    }
}

// Guards against answers that are truncated by a rolling restart. A node that
// shuts down as planned must complete its streams, refuse new requests as not
// run, and hand over the resources that it owns.
TEST_CASE("a planned shutdown truncates no answer") {
    settled_cluster all;
    for (auto& engine : all.engines) {
        engine.tokens = 200;
    }
    std::size_t const leaver = all.owner_of(0);
    std::size_t const other = (leaver + 1) % 3;
    all.post(leaver, make_request("own"));
    all.post(other, make_request("others"));
    all.run(milliseconds(1'000));
    all.bring(leaver, drain_started{});
    CHECK_FALSE(all.nodes[leaver].core->status({}).ready);
    all.post(leaver, make_request("late"));
    CHECK(all.ended("late").how == outcome::not_run);
    CHECK(all.ended("late").why == reason::draining);
    all.run(milliseconds(20'000));

    CHECK(all.ended("own").how == outcome::done);
    CHECK(all.ended("others").how == outcome::done);
    CHECK(all.nodes[leaver].drained);
    all.kill(leaver);
    all.post(other, make_request("after"));
    all.run(milliseconds(6'000));
    CHECK(all.ended("after").how == outcome::done);
}

// Guards against a booking that is made twice: the caller's connection breaks,
// and the caller sends the booking again with the same key through another
// node.
TEST_CASE("a booking repeated through another node runs once") {
    settled_cluster all(false);
    caller_request first = make_request("first");
    first.key = all.new_key();
    caller_request again = make_request("again");
    again.key = first.key;
    again.body_digest = first.body_digest;

    SUBCASE("while it runs: the repeat gets the same answer") {
        all.post(0, first);
        all.run(milliseconds(100));
        all.post(1, again);
        all.run(milliseconds(5'000));
    }
    SUBCASE("after completion: the repeat gets the stored answer") {
        all.post(0, first);
        all.run(milliseconds(5'000));
        all.post(1, again);
        all.run(milliseconds(5'000));
    }
    SUBCASE(
        "after its caller disconnected: it continues, the repeat joins it") {
        all.post(0, first);
        all.run(milliseconds(300));
        all.bring(0, caller_disconnected{request_id("first")});
        all.post(1, again);
        all.run(milliseconds(5'000));
    }
    CHECK(all.ended("first").how == outcome::done);
    CHECK(all.ended("again").how == outcome::done);
    CHECK(all.ended("again").kept_answer == "answer");
    CHECK(all.begun("first") + all.begun("again") == 1);
}

} // namespace camphorpoint
