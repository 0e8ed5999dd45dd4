#include "test/gateway/gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::gateway_fixture;
using testing::with_key;
using testing::within;

namespace {

/// A cluster of three nodes with two teams.
struct team_world {
    team_world() {
        publish(R"([{"name":"a","api_keys":["ka"]},)"
                R"({"name":"b","api_keys":["kb"],"unit":"tokens",)"
                R"("plain_tokens":100,"rate_per_s":400,"burst":400}])");
        world.add_node();
        world.add_node();
        REQUIRE(in_force(0));
    }

    /// Writes a configuration with these teams, and waits until it is in force
    /// on the first node.
    void publish(std::string const& teams) {
        world.teams = teams;
        world.configure(++version);
        REQUIRE(in_force(0));
    }
    bool in_force(std::size_t node) {
        return within(world, seconds(4), [&] {
            return world.node_at(node).configuration_version() == version;
        });
    }
    int
    status(std::size_t node, std::string const& id, std::string const& key) {
        return world.ask_with_fields(node, "/look/b", id, with_key(key))
            .response.status;
    }

    gateway_fixture world;
    unsigned version = 1;
};

} // namespace

// Guards against a replica that runs a request of an unknown caller, or that
// gets the caller's key or a team of the caller's choice.
TEST_CASE("requests run for the team that holds their API key") {
    team_world teams;
    gateway_fixture& world = teams.world;
    http_fields fields = with_key("ka");
    fields.add("X-Tenant", "b");
    CHECK(
        world.ask_with_fields(0, "/look/b", "q1", fields).response.status ==
        200);
    http_fields const& seen = world.plain.engine.run_fields["q1"];
    CHECK(seen.get("X-Tenant") == "a");
    CHECK(seen.get("Authorization").empty());
    SUBCASE("an unknown key, or none, is denied and runs nowhere") {
        CHECK(teams.status(0, "q2", "unknown") == 401);
        CHECK(world.ask("/look/b", "", "q3").response.status == 401);
        CHECK(world.runs("q2") + world.runs("q3") == 0);
    }
    SUBCASE("a key that was taken away is denied") {
        teams.publish(R"([{"name":"a","api_keys":[]}])");
        CHECK(teams.status(0, "q4", "ka") == 401);
        SUBCASE("and runs for its new team once it is declared there") {
            teams.publish(R"([{"name":"c","api_keys":["ka"]}])");
            CHECK(teams.status(0, "q5", "ka") == 200);
            CHECK(world.plain.engine.run_fields["q5"].get("X-Tenant") == "c");
        }
    }
    SUBCASE("without declared teams nobody needs a key") {
        teams.publish("");
        CHECK(world.ask("/look/b", "", "q6").response.status == 200);
    }
}

// Guards against nodes that each grant the whole cap, and against a refusal
// that costs anything behind the cap.
TEST_CASE("the usage cap of a team holds over all nodes") {
    team_world teams;
    gateway_fixture& world = teams.world;
    // The counting node begins without a burst.
    within(world, milliseconds(2'500), [] { return false; });
    REQUIRE(teams.in_force(1));
    REQUIRE(teams.in_force(2));
    std::vector<int> answers;
    for (unsigned each = 0; each < 15; ++each) {
        answers.push_back(
            teams.status(each % 3, "b" + std::to_string(each), "kb"));
    }
    auto const served = std::ranges::count(answers, 200);
    // Four requests of 100 tokens make the burst.
    CHECK(served >= 4);
    CHECK(served <= 7);
    CHECK(std::ranges::count(answers, 429) == 15 - served);
    SUBCASE("another team is not affected") {
        CHECK(teams.status(1, "a1", "ka") == 200);
    }
    SUBCASE("a refused request passes when its answer says so") {
        auto const refused =
            world.ask_with_fields(1, "/look/b", "r1", with_key("kb"));
        REQUIRE(refused.response.status == 429);
        double const wait =
            std::stod(std::string(refused.response.fields.get("Retry-After")));
        CHECK(wait <= 1);
        within(world, milliseconds(static_cast<int>(1'000 * wait) + 5), [] {
            return false;
        });
        CHECK(teams.status(1, "r2", "kb") == 200);
    }
    SUBCASE("a restart of all nodes grants no second burst") {
        world.restart_nodes();
        REQUIRE(teams.in_force(0));
        std::size_t const before = world.plain.engine.runs.size();
        instant const began = boot_clock::now();
        for (unsigned each = 0; boot_clock::now() < began + milliseconds(500);
             ++each) {
            teams.status(0, "s" + std::to_string(each), "kb");
        }
        // The rate alone allows two requests in half a second.
        CHECK(world.plain.engine.runs.size() <= before + 3);
    }
}

} // namespace camphorpoint
