#include <Camphorpoint/Delivery>

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

namespace {

using std::chrono::seconds;

constexpr instant begin{std::chrono::hours(1)};
constexpr request_fingerprint fingerprint{7};

} // namespace

// Guards against running copies of a poison request at the same time while no
// node remembers that it crashes its replicas.
TEST_CASE("attempts of a request are admitted one at a time") {
    request_gate gate;
    CHECK(gate.try_admit(fingerprint, 1, begin));
    CHECK_FALSE(gate.try_admit(fingerprint, 2, begin));

    SUBCASE("a repeated request for admission is granted again") {
        CHECK(gate.try_admit(fingerprint, 1, begin));
    }
    SUBCASE("requests with other fingerprints do not wait") {
        CHECK(gate.try_admit(request_fingerprint{8}, 3, begin));
    }
    SUBCASE("until the attempt has ended") {
        gate.release(fingerprint, 2);
        CHECK_FALSE(gate.try_admit(fingerprint, 2, begin));
        gate.release(fingerprint, 1);
        CHECK(gate.try_admit(fingerprint, 2, begin));
    }
    SUBCASE("until it has produced part of its answer, then all") {
        gate.mark_safe(fingerprint, begin);
        CHECK(gate.try_admit(fingerprint, 2, begin));
        CHECK(gate.try_admit(fingerprint, 3, begin));
        gate.revoke(fingerprint);
        CHECK(gate.try_admit(fingerprint, 4, begin));
        CHECK_FALSE(gate.try_admit(fingerprint, 5, begin));
    }
    SUBCASE("until its admission has expired") {
        CHECK(gate.try_admit(fingerprint, 2, begin + seconds(2)));
    }
}

// Guards against a node that has just started and treats a request as safe only
// because it has not yet received its quarantine entry.
TEST_CASE("a starting node does not know the quarantined requests") {
    quarantine_sync sync;
    CHECK_FALSE(sync.complete(begin));

    SUBCASE("until a node that knows them has sent its entries") {
        sync.on_message_from_synced_node(begin);
        sync.on_message_from_synced_node(begin + seconds(1));
        CHECK_FALSE(sync.complete(begin));
        CHECK(sync.complete(begin + seconds(1)));
    }
    SUBCASE("or until it has served for some time") {
        sync.on_serving_started(begin);
        CHECK_FALSE(sync.complete(begin + seconds(19)));
        CHECK(sync.complete(begin + seconds(20)));
    }
}

} // namespace camphorpoint
