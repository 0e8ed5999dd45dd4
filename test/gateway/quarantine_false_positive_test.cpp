#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace camphorpoint {

using standins::replica_fault;
using testing::gateway_fixture;
using testing::served_replica;

// Guards against a wrong quarantine. Three replicas of a faulty build answer
// without their signature and keep running. If these answers counted as
// crashes, the request would be refused everywhere for an hour, also by healthy
// replicas.
TEST_CASE("an invalid answer does not count as a crash") {
    gateway_fixture world;
    std::vector<std::unique_ptr<served_replica>> more;
    for (char const* const name : {"p2", "p3"}) {
        more.push_back(
            std::make_unique<served_replica>(world.loop, name, "", 0));
        world.list(*more.back(), "app");
        REQUIRE(world.loop.run_until(
            [&] { return world.node->knows_replica(endpoint_id(name)); }));
    }
    for (int each = 0; each < 12; ++each) {
        world.plain.engine.faults = {replica_fault::unsigned_answer};
        more[0]->engine.faults = {replica_fault::unsigned_answer};
        more[1]->engine.faults = {replica_fault::unsigned_answer};
        auto const got = world.ask("/book/b", "", "q" + std::to_string(each));
        CHECK(got.response.status == 502);
    }
    for (auto* const each :
         {&world.plain.engine, &more[0]->engine, &more[1]->engine}) {
        CHECK_FALSE(each->runs.empty());
        each->faults.clear();
    }
    CHECK(world.ask("/book/b", "", "last").response.status == 200);
}

// Guards against a wrong quarantine of a look-up that many callers send with
// the same content and that breaks off now and then. Its crashes were summed up
// for ten minutes, whatever succeeded in between.
TEST_CASE("a request that succeeds between crashes is not quarantined") {
    gateway_fixture world;
    world.add_node();
    std::vector<std::unique_ptr<served_replica>> more;
    for (char const* const name : {"p2", "p3", "p4"}) {
        more.push_back(
            std::make_unique<served_replica>(world.loop, name, "", 0));
        world.list(*more.back(), "app");
        REQUIRE(world.loop.run_until(
            [&] { return world.node->knows_replica(endpoint_id(name)); }));
    }
    instant const known = boot_clock::now() + std::chrono::seconds(3);
    world.loop.run_until([&] { return boot_clock::now() >= known; });
    int asked = 0;
    for (auto const& each : more) {
        each->engine.faults = {replica_fault::answer_lost};
        constexpr int most_tries = 60;
        for (int tries = 0; !each->engine.faults.empty(); ++tries) {
            REQUIRE(tries < most_tries);
            auto const got =
                world.ask("/look/b", "", "q" + std::to_string(asked++));
            CHECK(got.response.status == 200);
        }
    }
    CHECK(world.ask("/look/b", "", "last").response.status == 200);
}

} // namespace camphorpoint
