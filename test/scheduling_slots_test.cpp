#include "scheduling_fixture.hpp"

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");
adapter_ref const licences = adapter("licences");

/// Past the time in which a former owner's grants could still be sent.
constexpr milliseconds settled{1'600};

} // namespace

TEST_CASE("an owner swaps adapters") {
    replica_story story;
    story.pass(settled);
    story.report({audit, labels});
    story.pass(milliseconds(20));
    story.ask("a", audit);
    story.ask("l", labels);
    story.release("l");

    SUBCASE("nothing is evicted before a load is allowed") {
        story.report({audit, labels}, {audit});
        story.ask("new", licences);
        CHECK(story.all<want_load>().size() == 1);
        CHECK(story.all<engine_order>().empty());

        SUBCASE("then the idle adapter makes room, and the load follows") {
            story.allow(licences);
            engine_order const evict = story.last<engine_order>();
            CHECK(evict.kind == engine_order_kind::evict);
            CHECK(evict.adapter == labels);
            story.end_order(evict, order_result::done);
            engine_order const load = story.last<engine_order>();
            CHECK(load.kind == engine_order_kind::load);
            CHECK(load.adapter == licences);
            story.end_order(load, order_result::done);
            CHECK(story.granted().back() == "new");
            CHECK(story.last<report_load>().message.ok);
        }

        // An adapter that was just evicted is granted again: an older report,
        // which came late, still names it.
        SUBCASE("a report from before the eviction doesn't bring it back") {
            story.allow(licences);
            engine_order const evict = story.last<engine_order>();
            story.pass(milliseconds(40));
            story.end_order(evict, order_result::done);
            story.report({audit, labels}, {audit}, 1, milliseconds(20));
            story.ask("late", labels);
            CHECK(story.granted() == names{"a", "l"});
        }

        SUBCASE("a second permission for it is given back") {
            story.allow(licences, 1);
            story.allow(licences, 2);
            load_ended const back = story.last<report_load>().message;
            CHECK(back.permission == 2);
            CHECK_FALSE(back.started);
        }

        // A caller's stream breaks off because its adapter vanished. The
        // adapter was chosen for eviction while idle, and a request for it
        // came before the eviction had taken place.
        SUBCASE("a request that meets the eviction waits for it") {
            story.allow(licences);
            engine_order const evict = story.last<engine_order>();
            story.ask("late", labels);
            CHECK(story.granted() == names{"a", "l"});

            SUBCASE("and is granted when the engine refused to evict") {
                story.end_order(evict, order_result::refused_busy);
                CHECK(story.granted().back() == "late");
            }
        }
    }

    // As above, but the engine's report is older than the last grant's end: it
    // can't tell whether the engine has finished.
    SUBCASE("a report from before the last release confirms nothing") {
        story.report({audit, labels}, {audit}, 1, milliseconds(10));
        story.ask("new", licences);
        CHECK(story.all<want_load>().empty());
        story.report({audit, labels}, {audit, labels});
        CHECK(story.all<want_load>().empty());
        story.report({audit, labels}, {audit});
        CHECK(story.all<want_load>().size() == 1);
    }

    // Reports overtake each other on the way.
    SUBCASE("an older report that comes later confirms nothing") {
        story.pass(milliseconds(100));
        story.report({audit, labels}, {audit, labels});
        story.report({audit, labels}, {audit}, 1, milliseconds(50));
        story.ask("new", licences);
        CHECK(story.all<want_load>().empty());
    }

    SUBCASE("a permission that can't be used is given back") {
        story.report({audit, labels}, {audit});
        story.ask("new", licences);
        story.ask("again", labels);
        story.allow(licences);
        CHECK(story.all<engine_order>().empty());
        story.pass(milliseconds(520));
        CHECK_FALSE(story.last<report_load>().message.started);
    }

    // A request for a cold adapter waits until its caller gives up, while the
    // engine is busy with others: adapters in steady use never get idle.
    SUBCASE("one that waits too long takes a slot in use") {
        story.ask("l2", labels);
        story.report({audit, labels}, {audit, labels});
        story.ask("new", licences);
        story.pass(milliseconds(500));
        story.forget();
        story.ask("a2", audit);
        story.ask("l3", labels);
        CHECK(story.granted().empty());
        story.release("a");
        CHECK(story.granted() == names{"l3"});
        story.report({audit, labels}, {labels});
        engine_order const evict = story.last<engine_order>();
        CHECK(evict.kind == engine_order_kind::evict);
        CHECK(evict.adapter == audit);
    }
}

// A request waits for an adapter that never comes, or a second load of it is
// paid for: the engine's answer to the order was lost on the way.
TEST_CASE("a lost answer is settled by a later report") {
    replica_story story;
    story.report({});
    story.ask("a", audit);
    story.allow(audit);
    engine_order const load = story.last<engine_order>();
    story.end_order(load, order_result::lost);
    story.pass(milliseconds(100));

    SUBCASE("the load had taken effect") {
        story.report({audit});
        CHECK(story.granted() == names{"a"});
        CHECK(story.last<report_load>().message.ok);
        CHECK(story.orders(engine_order_kind::load).size() == 1);
    }

    SUBCASE("while it may still come, it is not ordered again") {
        story.report({});
        CHECK(story.all<want_load>().size() == 1);

        SUBCASE("afterwards it is") {
            story.pass(milliseconds(15'100));
            story.forget();
            story.report({});
            CHECK(story.all<want_load>().size() == 1);
        }
    }

    SUBCASE("a report from before the loss settles nothing") {
        story.report({audit}, {}, 1, milliseconds(200));
        CHECK(story.granted().empty());
    }
}

// A caller's stream breaks off: an eviction whose answer was lost was given up,
// its adapter granted again, and then the order arrived after all.
TEST_CASE("a lost eviction blocks its adapter until it can't arrive") {
    replica_story story;
    story.pass(settled);
    story.report({audit, labels});
    story.ask("new", licences);
    story.allow(licences);
    engine_order const evict = story.last<engine_order>();
    REQUIRE(evict.adapter == audit);
    story.end_order(evict, order_result::lost);
    story.ask("a", audit);
    story.pass(milliseconds(500));
    story.report({audit, labels});
    CHECK(story.granted().empty());

    SUBCASE("it is granted once the order's time is over") {
        story.pass(milliseconds(600));
        story.report({audit, labels});
        CHECK(story.granted() == names{"a"});
    }

    SUBCASE("its slot is free when it had taken effect") {
        story.report({labels});
        story.pass(milliseconds(20));
        CHECK(story.scheduler().feedback(audit, story.now()).queued == 2);
        CHECK_FALSE(
            story.scheduler().feedback(audit, story.now()).adapter_resident);
    }
}

// As above: a report that was taken before the eviction was ordered must not
// free the slot, or a further load finds none.
TEST_CASE("a report from before a lost eviction settles nothing") {
    replica_story story;
    story.pass(settled);
    story.report({audit, labels});
    story.pass(milliseconds(100));
    story.ask("new", licences);
    story.allow(licences);
    engine_order const evict = story.last<engine_order>();
    REQUIRE(evict.adapter == audit);
    story.end_order(evict, order_result::lost);
    story.pass(milliseconds(100));
    story.report({labels}, {}, 1, milliseconds(150));
    CHECK(story.orders(engine_order_kind::load).empty());
    story.report({labels});
    CHECK(story.orders(engine_order_kind::load).size() == 1);
}

// All requests of one adapter wait until their deadlines, though another
// replica could have served them: its load fails on this one again and again.
TEST_CASE("a load that fails is tried again, and then elsewhere") {
    replica_story story;
    story.report({});
    story.ask("a", audit);
    story.allow(audit);
    story.end_order(story.last<engine_order>(), order_result::failed);
    CHECK_FALSE(story.last<report_load>().message.ok);
    CHECK(story.refused("a") == reason::none);

    SUBCASE("not before its backoff has passed") {
        story.forget();
        story.pass(milliseconds(240));
        CHECK(story.all<want_load>().empty());
        story.pass(milliseconds(300));
        CHECK_FALSE(story.all<want_load>().empty());

        SUBCASE("after the second failure waiting requests go elsewhere") {
            story.allow(audit, 2);
            story.end_order(story.last<engine_order>(), order_result::failed);
            CHECK(story.refused("a") == reason::load_failed);
            story.ask("b", audit);
            CHECK(story.refused("b") == reason::load_failed);
            CHECK(
                story.last<reply_refusal>().message.retry_after ==
                milliseconds(0));
        }
    }
}

// For minutes after an engine's restart its requests are refused or stall: the
// owner believes that the engine still holds what it held.
TEST_CASE("an engine that restarted is taken as empty") {
    replica_story story;
    story.report({audit, labels});
    story.ask("a", audit);
    story.report({}, {}, 2);
    CHECK(story.scheduler().feedback(audit, story.now()).running == 0);
    story.forget();
    story.ask("b", audit);
    CHECK(story.granted().empty());
    CHECK(story.last<want_load>().message.waiting == 1);

    SUBCASE("what it held is wanted again ahead of demand") {
        names wanted;
        story.pass(milliseconds(600));
        for (want_load const& each : story.all<want_load>()) {
            wanted.push_back(each.message.adapter.id.str());
        }
        CHECK(std::ranges::count(wanted, "labels") > 0);
    }

    SUBCASE("a report of the earlier run that comes late is skipped") {
        story.report({audit, labels}, {}, 1);
        CHECK(story.granted().empty());
    }
}

// Right after a new version is published every caller of it stalls, or those
// admitted before it find their version gone.
TEST_CASE("a new version is warmed before the old one is let go") {
    replica_story story;
    story.pass(settled);
    adapter_ref const next = adapter("audit", 2);
    story.report({audit, labels});
    story.ask("l", labels);
    story.release("l");
    story.report({audit, labels});
    // Without the rollout the old version is in the least demand.
    story.ask("a", audit);
    story.release("a");
    story.ask("l2", labels);
    story.release("l2");
    story.report({audit, labels});
    story.forget();
    story.scheduler().on_version_change(audit, next, story.now());
    story.ask("new", next);
    CHECK(story.last<want_load>().message.adapter == next);
    story.allow(next);
    engine_order const evict = story.last<engine_order>();
    CHECK(evict.kind == engine_order_kind::evict);
    CHECK(evict.adapter == labels);
    story.end_order(evict, order_result::done);
    story.end_order(story.last<engine_order>(), order_result::done);

    SUBCASE("both serve their requests meanwhile") {
        story.ask("old", audit);
        CHECK(story.granted() == names{"new", "old"});
    }

    SUBCASE("then the old one goes first") {
        story.release("new");
        story.report({audit, next});
        story.ask("l3", labels);
        story.allow(labels);
        CHECK(story.last<engine_order>().adapter == audit);
    }
}

} // namespace camphorpoint::test
