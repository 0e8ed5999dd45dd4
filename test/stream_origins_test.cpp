#include "Delivery/stream_keepers.hpp"
#include "Delivery/stream_origins.hpp"
#include "Fleet/software_history.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr software_key first_version{11};
constexpr software_key second_version{12};
constexpr stream_key stream{5};
constexpr view_evidence current{true, true};

instant at(seconds time) {
    return instant{} + std::chrono::hours(1) + time;
}

replica_record record_of(std::string id, std::string software) {
    replica_record record;
    record.id = endpoint_id(std::move(id));
    record.service = service_id("llm");
    record.software = software_version(std::move(software));
    record.heartbeat = 1;
    return record;
}

origin_evidence known(software_key software) {
    return {{origin_state::known, software}, {}};
}

origin_evidence only(software_key software) {
    return {{}, {version_knowledge::observed, software}};
}

origin_evidence seen(software_key software) {
    return {{}, {version_knowledge::seen, software}};
}

} // namespace

TEST_CASE("the origin of a stream is kept while callers may resume it") {
    stream_origins origins;
    origins.add({stream, first_version}, at(seconds(0)));
    SUBCASE("it is found") {
        CHECK(origins.find(stream, at(seconds(59))).software == first_version);
    }
    SUBCASE("it is forgotten after its lifetime") {
        CHECK(
            origins.find(stream, at(seconds(60))).state ==
            origin_state::unknown);
        origins.add({stream_key{6}, first_version}, at(seconds(60)));
        CHECK(origins.size() == 1);
    }
    SUBCASE("a resumption keeps it longer") {
        origins.add({stream, first_version}, at(seconds(30)));
        CHECK(
            origins.find(stream, at(seconds(89))).state == origin_state::known);
    }
    SUBCASE("the number of entries is limited") {
        stream_origins few(default_stream_lifetime, 3);
        for (std::uint64_t each = 0; each < 10; ++each) {
            few.add({stream_key{each}, first_version}, at(seconds(0)));
        }
        CHECK(few.size() <= 3);
        CHECK(
            few.find(stream_key{9}, at(seconds(0))).state ==
            origin_state::known);
    }
}

// Guards against a caller that uses one request id twice: the streams may have
// begun at different software versions.
TEST_CASE("a stream that began at two software versions is not resumed") {
    stream_origins origins;
    origins.add({stream, first_version}, at(seconds(0)));
    origins.add({stream, second_version}, at(seconds(1)));
    origins.add({stream, second_version}, at(seconds(2)));
    CHECK(
        origins.find(stream, at(seconds(3))).state == origin_state::ambiguous);
}

TEST_CASE("the evidence of several nodes decides where a stream goes on") {
    std::vector<origin_evidence> evidence(2);
    SUBCASE("no node knows the stream") {
        CHECK_FALSE(choose_resumption(evidence, current).software);
    }
    SUBCASE("one node knows it") {
        evidence.push_back(known(second_version));
        CHECK(choose_resumption(evidence, current).software == second_version);
    }
    SUBCASE("a record goes before the only version that a node has seen") {
        evidence.push_back(only(first_version));
        evidence.push_back(known(second_version));
        CHECK(choose_resumption(evidence, current).software == second_version);
    }
    SUBCASE("one version alone has served for long enough") {
        evidence.back() = only(first_version);
        CHECK(choose_resumption(evidence, current).software == first_version);
    }
    SUBCASE("one peer knows it to be alone, another knows of no version") {
        evidence.push_back(only(first_version));
        CHECK_FALSE(choose_resumption(evidence, current).software);
    }
    SUBCASE("two nodes disagree") {
        evidence.push_back(known(first_version));
        evidence.push_back(known(second_version));
        CHECK_FALSE(choose_resumption(evidence, current).software);
    }
}

// Guards against a node with an old view of the replicas, whose only version
// is taken for that of a stream although another node has seen a second one.
TEST_CASE("a single version counts only if no node has seen another one") {
    std::vector<origin_evidence> evidence{only(first_version)};
    SUBCASE("another node has seen several") {
        evidence.push_back({{}, {version_knowledge::several, {}}});
        CHECK_FALSE(choose_resumption(evidence, current).software);
    }
    SUBCASE("another node has just started and has seen another one") {
        evidence.push_back(seen(second_version));
        CHECK_FALSE(choose_resumption(evidence, current).software);
    }
    SUBCASE("another node knows another one to be single") {
        evidence.push_back(only(second_version));
        CHECK_FALSE(choose_resumption(evidence, current).software);
    }
    SUBCASE("another node has just started and has seen the same") {
        evidence.push_back(seen(first_version));
        CHECK(choose_resumption(evidence, current).software == first_version);
    }
    SUBCASE("nodes that have just started know of no other time") {
        evidence = {seen(first_version), seen(first_version)};
        CHECK_FALSE(choose_resumption(evidence, current).software);
    }
}

// Guards against a node that was cut off when a second version appeared: what
// it has not seen proves nothing.
TEST_CASE("a single version counts only by views that are current") {
    std::vector<origin_evidence> evidence{only(first_version)};
    auto const choose = [&](bool confirmed, bool all_answered) {
        return choose_resumption(evidence, {confirmed, all_answered});
    };
    SUBCASE("by this node's own, if the store confirms it") {
        CHECK(choose(true, false).software == first_version);
        CHECK(choose(false, false).source == origin_source::unconfirmed);
    }
    SUBCASE("by those of all nodes that were asked") {
        evidence.push_back(seen(first_version));
        CHECK(choose(false, true).software == first_version);
        CHECK_FALSE(choose(false, false).software);
    }
    SUBCASE("by a peer's, if all nodes that were asked have answered") {
        evidence = {seen(first_version), only(first_version)};
        CHECK(choose(false, true).software == first_version);
        CHECK(choose(true, false).source == origin_source::unconfirmed);
    }
    SUBCASE("a record needs no view") {
        evidence.push_back(known(second_version));
        CHECK(choose(false, false).software == second_version);
    }
}

// Guards against a stream that goes on by an old view, since nodes that have
// just started and know of no version count as nodes that confirm it.
TEST_CASE("a node that knows of no version confirms no single version") {
    origin_evidence const just_started;
    constexpr view_evidence by_answers{false, true};
    std::vector<origin_evidence> evidence{only(first_version)};
    SUBCASE("all peers have just started") {
        evidence.insert(evidence.end(), 2, just_started);
    }
    SUBCASE("one of two has") {
        evidence.push_back(only(first_version));
        evidence.push_back(just_started);
    }
    SUBCASE("one of two has, the other has read the store since its start") {
        evidence.push_back(just_started);
        evidence.push_back(seen(first_version));
    }
    SUBCASE("the version is known by a peer") {
        evidence = {seen(first_version), only(first_version), just_started};
    }
    CHECK(
        choose_resumption(evidence, by_answers).source ==
        origin_source::unconfirmed);
}

TEST_CASE("streams of a time with one version are announced when it ends") {
    stream_origins origins;
    service_id const service("llm");
    origins.defer_announcement(
        service, {stream, first_version}, at(seconds(0)));
    origins.defer_announcement(
        service, {stream_key{6}, first_version}, at(seconds(1)));
    REQUIRE(origins.deferred_services().size() == 1);
    SUBCASE("each of them once") {
        CHECK(origins.take_deferred(service, 1, at(seconds(2))).size() == 1);
        CHECK(origins.take_deferred(service, 9, at(seconds(2))).size() == 1);
        CHECK(origins.deferred_services().empty());
    }
    SUBCASE("but not those that are complete") {
        origins.cancel_announcement(stream);
        auto const taken = origins.take_deferred(service, 9, at(seconds(2)));
        REQUIRE(taken.size() == 1);
        CHECK(taken.front().stream == stream_key{6});
    }
    SUBCASE("nor those that are too old to be resumed") {
        CHECK(origins.take_deferred(service, 9, at(seconds(61))).empty());
    }
}

// Guards against a stream that cannot be resumed at another node, because the
// announcement of its resumption was dropped with that of its beginning.
TEST_CASE("a stream that was resumed is announced after its first minute") {
    stream_origins origins;
    service_id const service("llm");
    stream_record const record{stream, first_version};
    origins.defer_announcement(service, record, at(seconds(0)));
    origins.defer_announcement(service, record, at(seconds(40)));
    SUBCASE("when a second version appears then") {
        CHECK(origins.take_deferred(service, 9, at(seconds(70))).size() == 1);
    }
    SUBCASE("also when other streams have begun before that") {
        origins.defer_announcement(
            service, {stream_key{6}, first_version}, at(seconds(65)));
        CHECK(origins.take_deferred(service, 9, at(seconds(70))).size() == 2);
    }
    SUBCASE("and again when it was resumed a second time") {
        origins.defer_announcement(service, record, at(seconds(80)));
        origins.defer_announcement(service, record, at(seconds(120)));
        CHECK(origins.take_deferred(service, 9, at(seconds(150))).size() == 1);
    }
    SUBCASE("once, however often it was resumed") {
        origins.defer_announcement(service, record, at(seconds(50)));
        CHECK(origins.take_deferred(service, 9, at(seconds(55))).size() == 1);
        CHECK(origins.take_deferred(service, 9, at(seconds(55))).empty());
    }
    SUBCASE("unless its caller has all of it") {
        origins.cancel_announcement(stream);
        CHECK(origins.take_deferred(service, 9, at(seconds(70))).empty());
    }
    SUBCASE("or it is too old to be resumed again") {
        CHECK(origins.take_deferred(service, 9, at(seconds(100))).empty());
    }
}

TEST_CASE("one version alone has served a service") {
    fleet replicas;
    software_history history(replicas);
    service_id const service("llm");
    replicas.apply(record_of("a", "v1"), at(seconds(0)));
    for (int second = 0; second <= 60; ++second) {
        history.note_current(at(seconds(second)));
    }
    software_key const expected = make_software_key(software_version("v1"));

    SUBCASE("as long as streams last") {
        CHECK(
            history.only_version(
                service, default_stream_lifetime, at(seconds(60))) == expected);
    }
    SUBCASE("but the node has not observed that long") {
        CHECK_FALSE(history.only_version(
            service, default_stream_lifetime, at(seconds(59))));
    }
    SUBCASE("but the node's view is old") {
        CHECK_FALSE(history.only_version(
            service, default_stream_lifetime, at(seconds(71))));
    }
    SUBCASE("until a second one joins") {
        replicas.apply(record_of("b", "v2"), at(seconds(60)));
        CHECK_FALSE(history.only_version(
            service, default_stream_lifetime, at(seconds(61))));
    }
    // Guards against streams of a replica that has just left, whose version
    // serves no more.
    SUBCASE("not while streams of a replica that has left may be resumed") {
        replicas.apply(record_of("b", "v2"), at(seconds(60)));
        replicas.mark_unlisted(endpoint_id("a"), false, at(seconds(60)));
        replicas.expire_missing(true, at(seconds(61)));
        CHECK_FALSE(history.only_version(
            service, default_stream_lifetime, at(seconds(61))));
        replicas.expire_missing(true, at(seconds(121)));
        for (int second = 61; second <= 121; ++second) {
            history.note_current(at(seconds(second)));
        }
        CHECK(
            history.only_version(
                service, default_stream_lifetime, at(seconds(121))) ==
            make_software_key(software_version("v2")));
    }
}

// Guards against streams that are joined since the earlier version of a replica
// is forgotten when its entry names another one.
TEST_CASE("a replica that changes its version was of two versions") {
    fleet replicas;
    software_history history(replicas);
    service_id const service("llm");
    replicas.apply(record_of("a", "v1"), at(seconds(0)));
    for (int second = 0; second <= 100; ++second) {
        history.note_current(at(seconds(second)));
    }
    auto const only = [&](seconds time) {
        history.note_current(at(time));
        replicas.expire_missing(true, at(time));
        return history.only_version(service, default_stream_lifetime, at(time));
    };
    replica_record changed = record_of("a", "v2");
    changed.heartbeat = 2;
    SUBCASE("while streams of the earlier one may be resumed") {
        replicas.apply(changed, at(seconds(100)));
        CHECK_FALSE(history.only_version(
            service, default_stream_lifetime, at(seconds(101))));
        for (int second = 101; second < 160; ++second) {
            CHECK_FALSE(only(seconds(second)));
        }
        CHECK(only(seconds(160)) == make_software_key(software_version("v2")));
    }
    SUBCASE("also if it changes back") {
        replicas.apply(changed, at(seconds(100)));
        replicas.apply(record_of("a", "v1"), at(seconds(102)));
        CHECK_FALSE(only(seconds(103)));
    }
    SUBCASE("also if it moves to another service") {
        replicas.apply(record_of("b", "v2"), at(seconds(100)));
        changed = record_of("b", "v2");
        changed.service = service_id("other");
        replicas.apply(changed, at(seconds(101)));
        CHECK_FALSE(only(seconds(102)));
        for (int second = 103; second <= 161; ++second) {
            history.note_current(at(seconds(second)));
        }
        CHECK(only(seconds(161)) == make_software_key(software_version("v1")));
    }
    SUBCASE("also if it comes back after its removal") {
        replicas.apply(record_of("b", "v2"), at(seconds(100)));
        replicas.mark_unlisted(endpoint_id("b"), false, at(seconds(101)));
        replicas.expire_missing(true, at(seconds(101)));
        replica_record back = record_of("b", "v1");
        back.heartbeat = 2;
        replicas.apply(back, at(seconds(102)));
        CHECK_FALSE(only(seconds(103)));
    }
}

// Guards against a stream that goes on at a version which is no longer alone,
// since what was found of the replicas is a moment old.
TEST_CASE("a version that has just joined is found when it matters") {
    fleet replicas;
    software_history history(replicas);
    service_id const service("llm");
    replicas.apply(record_of("a", "v1"), at(seconds(0)));
    history.note_current(at(seconds(0)));
    auto const knowledge = [&] {
        return history
            .versions(service, default_stream_lifetime, at(seconds(1)))
            .knowledge;
    };
    REQUIRE(knowledge() == version_knowledge::seen);
    replicas.apply(record_of("b", "v2"), at(seconds(1)));
    history.forget_cached(service);
    CHECK(knowledge() == version_knowledge::several);
}

// Guards against a version that came and went while a node could not read the
// registry: what the store stated before the pause no longer holds.
TEST_CASE("what the store stated of a service holds until the view pauses") {
    fleet replicas;
    software_history history(replicas);
    service_id const service("llm");
    software_key const v1 = make_software_key(software_version("v1"));
    replicas.apply(record_of("a", "v1"), at(seconds(0)));
    history.note_current(at(seconds(0)));
    history.adopt(service, v1);
    auto const only = [&](seconds time) {
        return history.only_version(service, default_stream_lifetime, at(time));
    };
    REQUIRE(only(seconds(1)) == v1);
    SUBCASE("a short pause") {
        history.note_current(at(seconds(9)));
        CHECK(only(seconds(9)) == v1);
    }
    SUBCASE("a long pause") {
        history.note_current(at(seconds(11)));
        CHECK_FALSE(only(seconds(11)));
    }
    SUBCASE("another version is seen") {
        replicas.apply(record_of("b", "v2"), at(seconds(2)));
        CHECK_FALSE(only(seconds(2)));
    }
}

TEST_CASE("nodes agree on the keepers of a stream") {
    std::map<std::string, int> peers;
    for (int each = 0; each < 50; ++each) {
        peers["node" + std::to_string(each)] = each;
    }
    auto const keepers = rank_stream_keepers(stream, peers, 2);
    REQUIRE(keepers.size() == 2);
    SUBCASE("when another node has stopped") {
        for (int each = 0; each < 50; ++each) {
            std::string const name = "node" + std::to_string(each);
            auto fewer = peers;
            fewer.erase(name);
            if (name != keepers[0] && name != keepers[1]) {
                CHECK(rank_stream_keepers(stream, fewer, 2) == keepers);
            }
        }
    }
    SUBCASE("when a keeper has stopped, the other one remains") {
        peers.erase(keepers[0]);
        CHECK(rank_stream_keepers(stream, peers, 3).front() == keepers[1]);
    }
    SUBCASE("with fewer peers than keepers") {
        std::map<std::string, int> const one{{"node", 0}};
        CHECK(rank_stream_keepers(stream, one, 2).size() == 1);
        CHECK(rank_stream_keepers(stream, std::map<std::string, int>(), 2)
                  .empty());
    }
}

} // namespace camphorpoint
