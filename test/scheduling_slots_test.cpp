#include "scheduling_fixture.hpp"

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");
adapter_ref const licences = adapter("licences");

/// Past the time in which a former owner's grants could still be sent.
constexpr milliseconds grants_expired{1'600};

} // namespace

TEST_CASE("an owner swaps adapters") {
    scheduler_fixture fixture;
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.advance(milliseconds(20));
    fixture.request_grant("a", audit);
    fixture.request_grant("l", labels);
    fixture.release("l");

    SUBCASE("nothing is evicted before a load is allowed") {
        fixture.report({audit, labels}, {audit});
        fixture.request_grant("new", licences);
        CHECK(fixture.all<send_load_request>().size() == 1);
        CHECK(fixture.all<engine_order>().empty());

        SUBCASE("then the idle adapter makes room, and the load follows") {
            fixture.permit_load(licences);
            engine_order const evict = fixture.last<engine_order>();
            CHECK(evict.kind == engine_order_kind::evict);
            CHECK(evict.adapter == labels);
            fixture.complete_command(evict, order_result::done);
            engine_order const load = fixture.last<engine_order>();
            CHECK(load.kind == engine_order_kind::load);
            CHECK(load.adapter == licences);
            fixture.complete_command(load, order_result::done);
            CHECK(fixture.granted().back() == "new");
            CHECK(fixture.last<send_load_result>().message.ok);
        }

        // An adapter that was just evicted is granted again: an older report,
        // which came late, still names it.
        SUBCASE("a report from before the eviction doesn't bring it back") {
            fixture.permit_load(licences);
            engine_order const evict = fixture.last<engine_order>();
            fixture.advance(milliseconds(40));
            fixture.complete_command(evict, order_result::done);
            fixture.report({audit, labels}, {audit}, 1, milliseconds(20));
            fixture.request_grant("late", labels);
            CHECK(fixture.granted() == names{"a", "l"});
        }

        SUBCASE("a second permission for it is given back") {
            fixture.permit_load(licences, 1);
            fixture.permit_load(licences, 2);
            load_result const returned =
                fixture.last<send_load_result>().message;
            CHECK(returned.permission == 2);
            CHECK_FALSE(returned.started);
        }

        // A caller's stream breaks off because its adapter vanished. The
        // adapter was chosen for eviction while idle, and a request for it
        // came before the eviction had taken place.
        SUBCASE("a request that meets the eviction waits for it") {
            fixture.permit_load(licences);
            engine_order const evict = fixture.last<engine_order>();
            fixture.request_grant("late", labels);
            CHECK(fixture.granted() == names{"a", "l"});

            SUBCASE("and is granted when the engine refused to evict") {
                fixture.complete_command(evict, order_result::refused_busy);
                CHECK(fixture.granted().back() == "late");
            }
        }
    }

    // As above, but the engine's report is older than the last grant's end: it
    // can't tell whether the engine has finished.
    SUBCASE("a report from before the last release confirms nothing") {
        fixture.report({audit, labels}, {audit}, 1, milliseconds(10));
        fixture.request_grant("new", licences);
        CHECK(fixture.all<send_load_request>().empty());
        fixture.report({audit, labels}, {audit, labels});
        CHECK(fixture.all<send_load_request>().empty());
        fixture.report({audit, labels}, {audit});
        CHECK(fixture.all<send_load_request>().size() == 1);
    }

    // Reports overtake each other on the way.
    SUBCASE("an older report that comes later confirms nothing") {
        fixture.advance(milliseconds(100));
        fixture.report({audit, labels}, {audit, labels});
        fixture.report({audit, labels}, {audit}, 1, milliseconds(50));
        fixture.request_grant("new", licences);
        CHECK(fixture.all<send_load_request>().empty());
    }

    SUBCASE("a permission that can't be used is given back") {
        fixture.report({audit, labels}, {audit});
        fixture.request_grant("new", licences);
        fixture.request_grant("again", labels);
        fixture.permit_load(licences);
        CHECK(fixture.all<engine_order>().empty());
        fixture.advance(milliseconds(520));
        CHECK_FALSE(fixture.last<send_load_result>().message.started);
    }

    // A request for a cold adapter waits until its caller gives up, while the
    // engine is busy with others: adapters in steady use never get idle.
    SUBCASE("one that waits too long takes a slot in use") {
        fixture.request_grant("l2", labels);
        fixture.report({audit, labels}, {audit, labels});
        fixture.request_grant("new", licences);
        fixture.advance(milliseconds(500));
        fixture.clear_actions();
        fixture.request_grant("a2", audit);
        fixture.request_grant("l3", labels);
        CHECK(fixture.granted().empty());
        fixture.release("a");
        CHECK(fixture.granted() == names{"l3"});
        fixture.report({audit, labels}, {labels});
        engine_order const evict = fixture.last<engine_order>();
        CHECK(evict.kind == engine_order_kind::evict);
        CHECK(evict.adapter == audit);
    }
}

// A request waits for an adapter that never comes, or a second load of it is
// paid for: the engine's answer to the order was lost on the way.
TEST_CASE("a lost answer is settled by a later report") {
    scheduler_fixture fixture;
    fixture.report({});
    fixture.request_grant("a", audit);
    fixture.permit_load(audit);
    engine_order const load = fixture.last<engine_order>();
    fixture.complete_command(load, order_result::lost);
    fixture.advance(milliseconds(100));

    SUBCASE("the load had taken effect") {
        fixture.report({audit});
        CHECK(fixture.granted() == names{"a"});
        CHECK(fixture.last<send_load_result>().message.ok);
        CHECK(fixture.commands(engine_order_kind::load).size() == 1);
    }

    SUBCASE("while it may still come, it is not ordered again") {
        fixture.report({});
        CHECK(fixture.all<send_load_request>().size() == 1);

        SUBCASE("afterwards it is") {
            fixture.advance(milliseconds(15'100));
            fixture.clear_actions();
            fixture.report({});
            CHECK(fixture.all<send_load_request>().size() == 1);
        }
    }

    SUBCASE("a report from before the loss settles nothing") {
        fixture.report({audit}, {}, 1, milliseconds(200));
        CHECK(fixture.granted().empty());
    }
}

// A caller's stream breaks off: an eviction whose answer was lost was given up,
// its adapter granted again, and then the order arrived after all.
TEST_CASE("a lost eviction blocks its adapter until it can't arrive") {
    scheduler_fixture fixture;
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.request_grant("new", licences);
    fixture.permit_load(licences);
    engine_order const evict = fixture.last<engine_order>();
    REQUIRE(evict.adapter == audit);
    fixture.complete_command(evict, order_result::lost);
    fixture.request_grant("a", audit);
    fixture.advance(milliseconds(500));
    fixture.report({audit, labels});
    CHECK(fixture.granted().empty());

    SUBCASE("it is granted once the order's time is over") {
        fixture.advance(milliseconds(600));
        fixture.report({audit, labels});
        CHECK(fixture.granted() == names{"a"});
    }

    SUBCASE("its slot is free when it had taken effect") {
        fixture.report({labels});
        fixture.advance(milliseconds(20));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).queued == 2);
        CHECK_FALSE(fixture.scheduler()
                        .feedback(audit, fixture.now())
                        .adapter_resident);
    }
}

// As above: a report that was taken before the eviction was ordered must not
// free the slot, or a further load finds none.
TEST_CASE("a report from before a lost eviction settles nothing") {
    scheduler_fixture fixture;
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.advance(milliseconds(100));
    fixture.request_grant("new", licences);
    fixture.permit_load(licences);
    engine_order const evict = fixture.last<engine_order>();
    REQUIRE(evict.adapter == audit);
    fixture.complete_command(evict, order_result::lost);
    fixture.advance(milliseconds(100));
    fixture.report({labels}, {}, 1, milliseconds(150));
    CHECK(fixture.commands(engine_order_kind::load).empty());
    fixture.report({labels});
    CHECK(fixture.commands(engine_order_kind::load).size() == 1);
}

// All requests of one adapter wait until their deadlines, though another
// replica could have served them: its load fails on this one again and again.
TEST_CASE("a load that fails is tried again, and then elsewhere") {
    scheduler_fixture fixture;
    fixture.report({});
    fixture.request_grant("a", audit);
    fixture.permit_load(audit);
    fixture.complete_command(
        fixture.last<engine_order>(), order_result::failed);
    CHECK_FALSE(fixture.last<send_load_result>().message.ok);
    CHECK(fixture.refused("a") == reason::none);

    SUBCASE("not before its backoff has passed") {
        fixture.clear_actions();
        fixture.advance(milliseconds(240));
        CHECK(fixture.all<send_load_request>().empty());
        fixture.advance(milliseconds(300));
        CHECK_FALSE(fixture.all<send_load_request>().empty());

        SUBCASE("after the second failure waiting requests go elsewhere") {
            fixture.permit_load(audit, 2);
            fixture.complete_command(
                fixture.last<engine_order>(), order_result::failed);
            CHECK(fixture.refused("a") == reason::load_failed);
            fixture.request_grant("b", audit);
            CHECK(fixture.refused("b") == reason::load_failed);
            CHECK(
                fixture.last<reply_refusal>().message.retry_after ==
                milliseconds(0));
        }
    }
}

// For minutes after an engine's restart its requests are refused or stall: the
// owner believes that the engine still holds what it held.
TEST_CASE("an engine that restarted is taken as empty") {
    scheduler_fixture fixture;
    fixture.report({audit, labels});
    fixture.request_grant("a", audit);
    fixture.report({}, {}, 2);
    CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 0);
    fixture.clear_actions();
    fixture.request_grant("b", audit);
    CHECK(fixture.granted().empty());
    CHECK(fixture.last<send_load_request>().message.waiting == 1);

    SUBCASE("what it held is wanted again ahead of demand") {
        names prefetched;
        fixture.advance(milliseconds(600));
        for (send_load_request const& each : fixture.all<send_load_request>()) {
            prefetched.push_back(each.message.adapter.id.str());
        }
        CHECK(std::ranges::count(prefetched, "labels") > 0);
    }

    SUBCASE("a report of the earlier run that comes late is skipped") {
        fixture.report({audit, labels}, {}, 1);
        CHECK(fixture.granted().empty());
    }
}

// Right after a new version is published every caller of it stalls, or those
// admitted before it find their version gone.
TEST_CASE("a new version is warmed before the old one is let go") {
    scheduler_fixture fixture;
    fixture.advance(grants_expired);
    adapter_ref const next = adapter("audit", 2);
    fixture.report({audit, labels});
    fixture.request_grant("l", labels);
    fixture.release("l");
    fixture.report({audit, labels});
    // Without the rollout the old version is in the least demand.
    fixture.request_grant("a", audit);
    fixture.release("a");
    fixture.request_grant("l2", labels);
    fixture.release("l2");
    fixture.report({audit, labels});
    fixture.clear_actions();
    fixture.scheduler().on_version_change(audit, next, fixture.now());
    fixture.request_grant("new", next);
    CHECK(fixture.last<send_load_request>().message.adapter == next);
    fixture.permit_load(next);
    engine_order const evict = fixture.last<engine_order>();
    CHECK(evict.kind == engine_order_kind::evict);
    CHECK(evict.adapter == labels);
    fixture.complete_command(evict, order_result::done);
    fixture.complete_command(fixture.last<engine_order>(), order_result::done);

    SUBCASE("both serve their requests meanwhile") {
        fixture.request_grant("old", audit);
        CHECK(fixture.granted() == names{"new", "old"});
    }

    SUBCASE("then the old one goes first") {
        fixture.release("new");
        fixture.report({audit, next});
        fixture.request_grant("l3", labels);
        fixture.permit_load(labels);
        CHECK(fixture.last<engine_order>().adapter == audit);
    }
}

} // namespace camphorpoint::test
