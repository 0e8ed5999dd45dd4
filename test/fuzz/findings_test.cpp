// Counterexamples that the fuzzer found, each as a short story.

#include "test/scheduling_fixture.hpp"

#include <doctest/doctest.h>

namespace camphorpoint::test {

// What one would see: a node takes a whole core and answers nothing more. Its
// leave to evict was missing just after a takeover, so the eviction wasn't
// sent; a report taken at that very moment passed for a proof from after it,
// and the same eviction was ordered again at once, without end.
TEST_CASE("an eviction that was not sent is not ordered again at once") {
    replica_story story;
    adapter_ref const audit = adapter("audit");
    adapter_ref const labels = adapter("labels");
    story.report({audit, labels});
    story.ask("r", adapter("bids"));
    story.pass(seconds(1));
    story.report({audit, labels});
    story.allow(adapter("bids"));
    story.report({audit, labels});
    std::size_t const ordered = story.orders(engine_order_kind::evict).size();
    REQUIRE(ordered == 1);
    engine_order const evict = story.last<engine_order>();
    story.end_order(evict, order_result::not_sent);
    CHECK(story.orders(engine_order_kind::evict).size() == ordered);

    SUBCASE("but again once a later report confirms that nothing runs") {
        story.pass(milliseconds(20));
        story.report({audit, labels});
        CHECK(story.orders(engine_order_kind::evict).size() == ordered + 1);
    }
}

} // namespace camphorpoint::test
