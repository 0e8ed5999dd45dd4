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

TEST_CASE("a version binds some time after it was named") {
    declared_versions versions;
    CHECK(versions.min_version(hot, start) == 0);
    CHECK_FALSE(versions.newest(hot));

    REQUIRE(versions.declare({hot, 2}, start, grace));
    CHECK(versions.newest(hot) == 2);
    CHECK(versions.min_version(hot, start + seconds(2)) == 0);
    CHECK(versions.min_version(hot, start + seconds(3)) == 2);

    SUBCASE("an older one is no news") {
        CHECK_FALSE(versions.declare({hot, 1}, start, grace));
        CHECK_FALSE(versions.declare({hot, 2}, start, grace));
        CHECK(versions.newest(hot) == 2);
    }
    SUBCASE("others are not bound by it") {
        CHECK(
            versions.min_version(adapter_id("m/other"), start + seconds(9)) ==
            0);
    }
    SUBCASE("all that is known adds up") {
        versions.declare({adapter_id("m/other"), 5}, start, grace);
        CHECK(versions.total() == 7);
        CHECK(versions.all().size() == 2);
    }
}

// Two versions are named two seconds apart. With one time for both, which the
// second begins anew, callers are answered by the first of all three versions
// for two seconds after it should have been out of use everywhere.
TEST_CASE("a version that is named before the last one binds") {
    declared_versions versions;
    versions.declare({hot, 2}, start, grace);
    versions.declare({hot, 3}, start + seconds(2), grace);
    CHECK(versions.min_version(hot, start + seconds(2)) == 0);
    CHECK(versions.min_version(hot, start + seconds(3)) == 2);
    CHECK(versions.min_version(hot, start + seconds(4)) == 2);
    CHECK(versions.min_version(hot, start + seconds(5)) == 3);
    CHECK(versions.newest(hot) == 3);

    SUBCASE("a row of them without an end binds one after the other") {
        for (std::uint32_t each = 4; each < 60; ++each) {
            instant const now = start + seconds(each - 1);
            versions.declare({hot, each}, now, grace);
            CHECK(versions.min_version(hot, now) == std::max(2U, each - 3));
        }
    }
}

} // namespace camphorpoint
