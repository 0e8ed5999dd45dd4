#include <Camphorpoint/Routing>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>

namespace camphorpoint {

using std::chrono::seconds;

namespace {

constexpr instant start = instant() + seconds(100);
constexpr seconds grace{3};
adapter_id const hot("m/hot");

} // namespace

TEST_CASE("a version takes effect some time after its declaration") {
    declared_versions versions;
    CHECK(versions.min_version(hot, start) == 0);
    CHECK_FALSE(versions.newest(hot));

    REQUIRE(versions.declare({hot, 2}, start, grace));
    CHECK(versions.newest(hot) == 2);
    CHECK(versions.min_version(hot, start + seconds(2)) == 0);
    CHECK(versions.min_version(hot, start + seconds(3)) == 2);

    SUBCASE("an older one changes nothing") {
        CHECK_FALSE(versions.declare({hot, 1}, start, grace));
        CHECK_FALSE(versions.declare({hot, 2}, start, grace));
        CHECK(versions.newest(hot) == 2);
    }
    SUBCASE("other adapters are not affected") {
        CHECK(
            versions.min_version(adapter_id("m/other"), start + seconds(9)) ==
            0);
    }
    SUBCASE("the total is the sum of the newest versions") {
        versions.declare({adapter_id("m/other"), 5}, start, grace);
        CHECK(versions.total() == 7);
        CHECK(versions.all().size() == 2);
    }
}

// Two versions are declared two seconds apart. Guards against a single grace
// period for both that the second restarts: callers would be answered by the
// first of all three versions for two seconds after it should have been out of
// use everywhere.
TEST_CASE("a version that is declared before the last one takes effect") {
    declared_versions versions;
    versions.declare({hot, 2}, start, grace);
    versions.declare({hot, 3}, start + seconds(2), grace);
    CHECK(versions.min_version(hot, start + seconds(2)) == 0);
    CHECK(versions.min_version(hot, start + seconds(3)) == 2);
    CHECK(versions.min_version(hot, start + seconds(4)) == 2);
    CHECK(versions.min_version(hot, start + seconds(5)) == 3);
    CHECK(versions.newest(hot) == 3);

    SUBCASE("in a long series of declarations each takes effect after its own "
            "time") {
        for (std::uint32_t each = 4; each < 60; ++each) {
            instant const now = start + seconds(each - 1);
            versions.declare({hot, each}, now, grace);
            CHECK(versions.min_version(hot, now) == std::max(2U, each - 3));
        }
    }
}

} // namespace camphorpoint
