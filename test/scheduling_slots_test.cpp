#include "scheduling_fixture.hpp"

namespace camphorpoint::test {

namespace {

adapter_ref const audit = adapter("audit");
adapter_ref const labels = adapter("labels");
adapter_ref const licences = adapter("licences");

/// Longer than the time within which grants of a former owner can be used.
constexpr milliseconds grants_expired{1'600};

} // namespace

TEST_CASE("an owner evicts one adapter to load another") {
    scheduler_fixture fixture;
    fixture.advance(grants_expired);
    fixture.report({audit, labels});
    fixture.advance(milliseconds(20));
    fixture.request_grant("a", audit);
    fixture.request_grant("l", labels);
    fixture.release("l");

    SUBCASE("nothing is evicted before the load is permitted") {
        fixture.report({audit, labels}, {audit});
        fixture.request_grant("new", licences);
        CHECK(fixture.all<send_load_request>().size() == 1);
        CHECK(fixture.all<engine_order>().empty());

        SUBCASE("then the idle adapter is evicted, and the load follows") {
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

        // Guards against a grant for an adapter that was just evicted, because
        // an older report that arrives late still lists it.
        SUBCASE("a report measured before the eviction does not restore it") {
            fixture.permit_load(licences);
            engine_order const evict = fixture.last<engine_order>();
            fixture.advance(milliseconds(40));
            fixture.complete_command(evict, order_result::done);
            fixture.report({audit, labels}, {audit}, 1, milliseconds(20));
            fixture.request_grant("late", labels);
            CHECK(fixture.granted() == names{"a", "l"});
        }

        SUBCASE("a second permission for the adapter is returned") {
            fixture.permit_load(licences, 1);
            fixture.permit_load(licences, 2);
            load_result const returned =
                fixture.last<send_load_result>().message;
            CHECK(returned.permission == 2);
            CHECK_FALSE(returned.started);
        }

        // Guards against aborted streams: an idle adapter is chosen for
        // eviction, and a request for it arrives before the eviction has taken
        // effect.
        SUBCASE("a request that arrives during the eviction waits for it") {
            fixture.permit_load(licences);
            engine_order const evict = fixture.last<engine_order>();
            fixture.request_grant("late", labels);
            CHECK(fixture.granted() == names{"a", "l"});

            SUBCASE("and is granted if the engine refuses to evict") {
                fixture.complete_command(evict, order_result::refused_busy);
                CHECK(fixture.granted().back() == "late");
            }
        }
    }

    // As above, but the report was measured before the last grant ended, so it
    // cannot show whether the engine has completed the request.
    SUBCASE("a report measured before the last release proves nothing") {
        fixture.report({audit, labels}, {audit}, 1, milliseconds(10));
        fixture.request_grant("new", licences);
        CHECK(fixture.all<send_load_request>().empty());
        fixture.report({audit, labels}, {audit, labels});
        CHECK(fixture.all<send_load_request>().empty());
        fixture.report({audit, labels}, {audit});
        CHECK(fixture.all<send_load_request>().size() == 1);
    }

    // Reports can overtake each other in transit.
    SUBCASE("an older report that arrives late proves nothing") {
        fixture.advance(milliseconds(100));
        fixture.report({audit, labels}, {audit, labels});
        fixture.report({audit, labels}, {audit}, 1, milliseconds(50));
        fixture.request_grant("new", licences);
        CHECK(fixture.all<send_load_request>().empty());
    }

    SUBCASE("a permission that cannot be used is returned") {
        fixture.report({audit, labels}, {audit});
        fixture.request_grant("new", licences);
        fixture.request_grant("again", labels);
        fixture.permit_load(licences);
        CHECK(fixture.all<engine_order>().empty());
        fixture.advance(milliseconds(520));
        CHECK_FALSE(fixture.last<send_load_result>().message.started);
    }

    // Guards against a request for an adapter that is not resident and waits
    // until its deadline, because all resident adapters are in steady use and
    // never become idle.
    SUBCASE("a request that waits too long causes an adapter in use to drain") {
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

// Guards against requests that wait for an adapter that is never loaded, and
// against a second load of the same adapter: the engine's answer to a load
// command is lost.
TEST_CASE("a later report resolves a lost command result") {
    scheduler_fixture fixture;
    fixture.report({});
    fixture.request_grant("a", audit);
    fixture.permit_load(audit);
    engine_order const load = fixture.last<engine_order>();
    fixture.complete_command(load, order_result::lost);
    fixture.advance(milliseconds(100));

    SUBCASE("the load has succeeded") {
        fixture.report({audit});
        CHECK(fixture.granted() == names{"a"});
        CHECK(fixture.last<send_load_result>().message.ok);
        CHECK(fixture.commands(engine_order_kind::load).size() == 1);
    }

    SUBCASE("the load command is not repeated while it may still arrive") {
        fixture.report({});
        CHECK(fixture.all<send_load_request>().size() == 1);

        SUBCASE("the load is requested again afterwards") {
            fixture.advance(milliseconds(15'100));
            fixture.clear_actions();
            fixture.report({});
            CHECK(fixture.all<send_load_request>().size() == 1);
        }
    }

    SUBCASE("a report measured before the loss resolves nothing") {
        fixture.report({audit}, {}, 1, milliseconds(200));
        CHECK(fixture.granted().empty());
    }
}

// Guards against aborted streams: the result of an evict command is lost, the
// adapter is granted again, and the command reaches the engine afterwards.
TEST_CASE("a lost evict command blocks its adapter until it has expired") {
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

    SUBCASE("the adapter is granted once the command has expired") {
        fixture.advance(milliseconds(600));
        fixture.report({audit, labels});
        CHECK(fixture.granted() == names{"a"});
    }

    SUBCASE("the slot is free if the eviction has taken effect") {
        fixture.report({labels});
        fixture.advance(milliseconds(20));
        CHECK(fixture.scheduler().feedback(audit, fixture.now()).queued == 2);
        CHECK_FALSE(fixture.scheduler()
                        .feedback(audit, fixture.now())
                        .adapter_resident);
    }
}

// As above: a report measured before the evict command was sent must not free
// the slot, or the load that follows finds no free slot.
TEST_CASE("a report measured before a lost eviction resolves nothing") {
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

// Guards against requests that wait until their deadlines for an adapter that
// repeatedly fails to load at this replica, although another replica could
// serve them.
TEST_CASE("a failed load is retried, and then requests are refused") {
    scheduler_fixture fixture;
    fixture.report({});
    fixture.request_grant("a", audit);
    fixture.permit_load(audit);
    fixture.complete_command(
        fixture.last<engine_order>(), order_result::failed);
    CHECK_FALSE(fixture.last<send_load_result>().message.ok);
    CHECK(fixture.refused("a") == reason::none);

    SUBCASE("no retry before the backoff has passed") {
        fixture.clear_actions();
        fixture.advance(milliseconds(240));
        CHECK(fixture.all<send_load_request>().empty());
        fixture.advance(milliseconds(300));
        CHECK_FALSE(fixture.all<send_load_request>().empty());

        SUBCASE("after the second failure queued requests are refused") {
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

// Guards against minutes of refused or delayed requests after a restart of the
// engine, because the owner assumes that the adapters are still resident.
TEST_CASE("a restarted engine is treated as empty") {
    scheduler_fixture fixture;
    fixture.report({audit, labels});
    fixture.request_grant("a", audit);
    fixture.report({}, {}, 2);
    CHECK(fixture.scheduler().feedback(audit, fixture.now()).running == 0);
    fixture.clear_actions();
    fixture.request_grant("b", audit);
    CHECK(fixture.granted().empty());
    CHECK(fixture.last<send_load_request>().message.waiting == 1);

    SUBCASE("adapters that were resident are prefetched") {
        names prefetched;
        fixture.advance(milliseconds(600));
        for (send_load_request const& each : fixture.all<send_load_request>()) {
            prefetched.push_back(each.message.adapter.id.str());
        }
        CHECK(std::ranges::count(prefetched, "labels") > 0);
    }

    SUBCASE("a late report of the earlier incarnation is ignored") {
        fixture.report({audit, labels}, {}, 1);
        CHECK(fixture.granted().empty());
    }
}

// Guards against two failures after a new version is published: all its callers
// wait for the load, or requests that were admitted before find their version
// evicted.
TEST_CASE("a new version is loaded before the old one is evicted") {
    scheduler_fixture fixture;
    fixture.advance(grants_expired);
    adapter_ref const next = adapter("audit", 2);
    fixture.report({audit, labels});
    fixture.request_grant("l", labels);
    fixture.release("l");
    fixture.report({audit, labels});
    // Without the rollout the old version would have the lowest demand.
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

    SUBCASE("both versions serve their requests in the meantime") {
        fixture.request_grant("old", audit);
        CHECK(fixture.granted() == names{"new", "old"});
    }

    SUBCASE("then the old version is evicted first") {
        fixture.release("new");
        fixture.report({audit, next});
        fixture.request_grant("l3", labels);
        fixture.permit_load(labels);
        CHECK(fixture.last<engine_order>().adapter == audit);
    }
}

} // namespace camphorpoint::test
