#include <Camphorpoint/Delivery>

#include <doctest/doctest.h>

#include <chrono>

namespace camphorpoint {

namespace {

using std::chrono::seconds;

constexpr instant begin{std::chrono::hours(1)};
constexpr request_fingerprint fingerprint{7};

} // namespace

// Guards against requests of one content that go out side by side while nobody
// remembers that it ends its replicas.
TEST_CASE("runs of a content begin one at a time") {
    request_gate gate;
    CHECK(gate.try_admit(fingerprint, 1, begin));
    CHECK_FALSE(gate.try_admit(fingerprint, 2, begin));

    SUBCASE("an ask that is repeated is the same run's") {
        CHECK(gate.try_admit(fingerprint, 1, begin));
    }
    SUBCASE("others do not wait for it") {
        CHECK(gate.try_admit(request_fingerprint{8}, 3, begin));
    }
    SUBCASE("until it has ended") {
        gate.release(fingerprint, 2);
        CHECK_FALSE(gate.try_admit(fingerprint, 2, begin));
        gate.release(fingerprint, 1);
        CHECK(gate.try_admit(fingerprint, 2, begin));
    }
    SUBCASE("until it has shown a part of its answer, then all at once") {
        gate.mark_safe(fingerprint, begin);
        CHECK(gate.try_admit(fingerprint, 2, begin));
        CHECK(gate.try_admit(fingerprint, 3, begin));
        gate.revoke(fingerprint);
        CHECK(gate.try_admit(fingerprint, 4, begin));
        CHECK_FALSE(gate.try_admit(fingerprint, 5, begin));
    }
    SUBCASE("until its node has been silent for a while") {
        CHECK(gate.try_admit(fingerprint, 2, begin + seconds(2)));
    }
}

// Guards against a node that takes what it has not heard of for sound.
TEST_CASE("a node that begins does not know which contents are held") {
    quarantine_sync sync;
    CHECK_FALSE(sync.complete(begin));

    SUBCASE("until one that knows has told it") {
        sync.on_message_from_synced_node(begin);
        sync.on_message_from_synced_node(begin + seconds(1));
        CHECK_FALSE(sync.complete(begin));
        CHECK(sync.complete(begin + seconds(1)));
    }
    SUBCASE("or until it has served for a while") {
        sync.on_serving_started(begin);
        CHECK_FALSE(sync.complete(begin + seconds(19)));
        CHECK(sync.complete(begin + seconds(20)));
    }
}

} // namespace camphorpoint
