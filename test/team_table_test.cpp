#include <Camphorpoint/Teams>

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

namespace {

team_definition team(std::string name, std::vector<std::string> keys) {
    team_definition result;
    result.name = team_id(std::move(name));
    result.api_keys = std::move(keys);
    return result;
}

/// @returns the name of the key's team, empty when there is none
std::string owner(team_table const& teams, std::string_view key) {
    team_definition const* const found = teams.find_by_key(key);
    return found == nullptr ? std::string() : found->name.str();
}

} // namespace

TEST_CASE("an API key belongs to one team") {
    team_table teams({team("a", {"k1", "k2"}), team("b", {"k3"})});
    CHECK(owner(teams, "k1") == "a");
    CHECK(owner(teams, "k2") == "a");
    CHECK(owner(teams, "k3") == "b");
    SUBCASE("and an unknown one to none") {
        CHECK(owner(teams, "k").empty());
        CHECK(owner(teams, "k11").empty());
        CHECK(owner(teams, "K1").empty());
        CHECK(owner(teams, "").empty());
        CHECK(owner(teams, std::string(10'000, 'k')).empty());
        CHECK(owner(teams, "\xff\xfe").empty());
    }
    SUBCASE("a key that moves belongs to its new team only") {
        teams = team_table({team("a", {"k2"}), team("b", {"k3", "k1"})});
        CHECK(owner(teams, "k1") == "b");
        CHECK(owner(teams, "k2") == "a");
        SUBCASE("and to the former one after its return") {
            teams = team_table({team("a", {"k1", "k2"}), team("b", {"k3"})});
            CHECK(owner(teams, "k1") == "a");
        }
    }
    SUBCASE("a key that two teams declare belongs to the first") {
        teams = team_table({team("a", {"k1"}), team("b", {"k1", "k3"})});
        CHECK(owner(teams, "k1") == "a");
        CHECK(owner(teams, "k3") == "b");
        REQUIRE(teams.shared_keys().size() == 1);
        CHECK(teams.shared_keys().front().owner.str() == "a");
        CHECK(teams.shared_keys().front().other.str() == "b");
    }
    SUBCASE("a key that one team declares twice is no conflict") {
        teams = team_table({team("a", {"k1", "k1"})});
        CHECK(teams.shared_keys().empty());
    }
    SUBCASE("a team that has lost all keys is known, but reached by none") {
        teams = team_table({team("a", {}), team("b", {"k3"})});
        CHECK(owner(teams, "k1").empty());
        CHECK(teams.find_by_hash(team_table::hash_of(team_id("a"))) != nullptr);
    }
}

TEST_CASE("what a request uses of a cap") {
    usage_cap cap;
    cap.default_tokens = 200;
    SUBCASE("counted in requests is one, whatever its tokens") {
        CHECK(cap.units_of(5'000) == 1);
    }
    SUBCASE("counted in tokens") {
        cap.unit = usage_unit::tokens;
        CHECK(cap.units_of(1'540) == 1'540);
        SUBCASE("is the default without a statement") {
            CHECK(cap.units_of(std::nullopt) == 200);
        }
    }
    SUBCASE("is unlimited without a rate") {
        cap.burst = 10;
        CHECK_FALSE(cap.limited());
    }
}

} // namespace camphorpoint
