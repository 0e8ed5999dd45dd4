#include <Camphorpoint/Holding>

#include <doctest/doctest.h>

namespace camphorpoint {

// 99 of 195 nodes held none of 96 partitions and renewed a membership by which
// they were given nothing, 16 calls a second.
TEST_CASE("as many nodes hold partitions as there are partitions") {
    CHECK(holds_partitions(0, 96, false));
    CHECK(holds_partitions(95, 96, false));
    CHECK_FALSE(holds_partitions(96, 96, false));

    SUBCASE("a member stays while few have come before it") {
        CHECK(holds_partitions(96, 96, true));
        CHECK(holds_partitions(107, 96, true));
        CHECK_FALSE(holds_partitions(108, 96, true));
    }
    SUBCASE("one that waited joins when another is gone") {
        CHECK_FALSE(holds_partitions(96, 96, false));
        CHECK(holds_partitions(95, 96, false));
    }
}

} // namespace camphorpoint
