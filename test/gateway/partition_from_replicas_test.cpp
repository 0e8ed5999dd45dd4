#include "test/gateway/partitioned_node.hpp"

#include <doctest/doctest.h>

namespace camphorpoint {

using testing::gateway_fixture;
using testing::partition_kind;
using testing::partitioned_node;

// Guards against callers of a node that are refused while this node alone
// reaches no replica: its links to all replicas are cut, and other nodes reach
// them.
TEST_CASE("a node that reaches no replica serves its callers through a peer") {
    gateway_fixture world;
    partitioned_node cut_off(world);
    REQUIRE(cut_off.ask("/look/b", "", "before").response.status == 200);

    SUBCASE("new connections to replicas are refused") {
        cut_off.cut(partition_kind::refused);
        REQUIRE(cut_off.await_service("/look/b", ""));
        CHECK(cut_off.ask("/look/b", "", "plain").response.status == 200);
        CHECK(world.runs("plain") == 1);
        auto const stream = cut_off.ask("/gen/a", "m/a", "stream");
        CHECK(stream.response.status == 200);
        CHECK(world.runs("stream") == 1);
    }
    SUBCASE("new connections to replicas hang") {
        cut_off.cut(partition_kind::hanging);
        REQUIRE(cut_off.await_service("/look/b", ""));
        CHECK(cut_off.ask("/book/b", "", "booking").response.status == 200);
        CHECK(world.runs("booking") == 1);
        CHECK(cut_off.ask("/gen/a", "m/a", "stream").response.status == 200);
    }
}

} // namespace camphorpoint
