// Counterexamples that the fuzzer found, each as a short story.

#include "test/scheduling_fixture.hpp"
#include "test/support/cluster.hpp"

#include <doctest/doctest.h>

namespace camphorpoint::test {

// What one would see: a node takes a whole core and answers nothing more. Its
// leave to evict was missing just after a takeover, so the eviction wasn't
// sent; a report taken at that very moment passed for a proof from after it,
// and the same eviction was ordered again at once, without end.
TEST_CASE("an eviction that was not sent is not ordered again at once") {
    scheduler_fixture story;
    // Until then an earlier owner's grants may still run.
    story.advance(seconds(600));
    adapter_ref const audit = adapter("audit");
    adapter_ref const labels = adapter("labels");
    story.report({audit, labels});
    story.advance(milliseconds(20));
    story.request_grant("r", adapter("bids"));
    story.report({audit, labels});
    story.permit_load(adapter("bids"));
    // One order for each of the two adapters, and no more.
    constexpr std::size_t adapters = 2;
    for (std::size_t count = 1; count <= adapters; ++count) {
        REQUIRE(story.commands(engine_order_kind::evict).size() == count);
        story.complete_command(
            story.last<engine_order>(), order_result::not_sent);
    }
    CHECK(story.commands(engine_order_kind::evict).size() == adapters);

    SUBCASE("but again once a later report confirms that nothing runs") {
        story.advance(milliseconds(20));
        story.report({audit, labels});
        CHECK(story.commands(engine_order_kind::evict).size() == adapters + 1);
    }
}

// What one would see: while the last live node stops, its log fills with peers
// that cannot be found. It had no successor for its keys and sent them all the
// same, to a node without a name.
TEST_CASE("the last node of all stops without a word to nobody") {
    cluster alone(1, 1);
    alone.run(seconds(30));
    std::size_t to_nobody = 0;
    alone.filter = [&](std::size_t, node_action const& action) {
        auto const* const sent = std::get_if<send_peer>(&action);
        bool const nobody = sent != nullptr && sent->to.empty();
        to_nobody += nobody ? 1 : 0;
        return !nobody;
    };
    alone.bring(0, drain_started{});
    alone.run(seconds(30));
    CHECK(to_nobody == 0);
    CHECK(alone.nodes[0].drained);
}

} // namespace camphorpoint::test
