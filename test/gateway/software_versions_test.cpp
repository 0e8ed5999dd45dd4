#include "Gateway/peer_datagram.hpp"
#include "test/gateway/mixed_versions_fixture.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <iterator>
#include <string>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::continuations;
using testing::mixed_versions_fixture;
using testing::within;

namespace {

constexpr unsigned streams = 12;

} // namespace

// Guards against a stream whose events come from two software versions of the
// replicas: its first replica breaks off, and the stream goes on at any other.
TEST_CASE("a stream goes on only at the software version that began it") {
    mixed_versions_fixture world;
    continuations seen;

    SUBCASE("within one answer") {
        for (unsigned each = 0; each < streams; ++each) {
            auto const answer =
                world.begin_stream(0, "runs", fmt::format("s{}", each));
            world.add(answer, seen);
        }
        CHECK(seen.mixed == 0);
        CHECK(seen.complete == streams);
    }
    SUBCASE("when its caller resumes it at another node") {
        for (unsigned each = 0; each < streams; ++each) {
            std::string const id = fmt::format("s{}", each);
            world.begin_stream(0, "alone", id);
            world.add(world.resume(1, id, id), seen);
        }
        CHECK(seen.mixed == 0);
        CHECK(seen.complete == streams);
    }
    SUBCASE("when its caller resumes it more than once") {
        for (unsigned each = 0; each < streams; ++each) {
            std::string const id = fmt::format("s{}", each);
            world.begin_stream(0, "alone", id);
            world.resume(1, id, id);
            world.add(world.resume(2, id, id), seen);
        }
        CHECK(seen.mixed == 0);
        CHECK(seen.complete == streams);
    }
}

// Guards against a stream that goes on at any software version because the
// node that began it, which alone knew the version, is gone.
TEST_CASE("the software version of a stream outlives the node that began it") {
    mixed_versions_fixture world;
    continuations seen;
    std::string const id = "s";
    world.begin_stream(0, "alone", id);

    SUBCASE("the node is gone") {
        world.world().retire(std::move(world.world().node));
        world.add(world.resume(1, id, id), seen);
        CHECK(seen.mixed == 0);
        CHECK(seen.complete == 1);
    }
    SUBCASE("all nodes have restarted") {
        world.world().restart_nodes();
        for (unsigned each = 0; each < streams; ++each) {
            world.add(world.resume(each % 3, id, id), seen);
        }
        CHECK(seen.mixed == 0);
        CHECK(seen.refused == streams);
    }
}

// Guards against the refusal of all resumptions after all nodes have lost
// power, where one software version has served all along.
TEST_CASE("the only software version of a service outlives all nodes") {
    mixed_versions_fixture world(false);
    continuations seen;
    std::string const id = "s";
    world.begin_stream(0, "alone", id);
    constexpr milliseconds write_time{1'000};
    world.pass(write_time);

    SUBCASE("no other version has appeared") {
        world.world().restart_nodes();
        for (unsigned each = 0; each < 3; ++each) {
            world.add(world.resume(each, id, id), seen);
        }
        CHECK(seen.mixed == 0);
        CHECK(seen.complete == 3);
    }
    SUBCASE("another version appeared before the restart") {
        world.list_new();
        world.pass(write_time);
        SUBCASE("and serves") {}
        SUBCASE("and is gone again") {
            world.unlist("new");
        }
        SUBCASE("and is the only one that is left") {
            world.unlist("old");
        }
        world.world().restart_nodes();
        for (unsigned each = 0; each < 3; ++each) {
            world.add(world.resume(each, id, id), seen);
        }
        CHECK(seen.mixed == 0);
        CHECK(seen.refused == 3);
    }
}

// Guards against a node that takes the one version it has seen since its start
// for the only one, since it underestimates the age of a resumed stream.
TEST_CASE("a stream is not joined after all nodes were killed in a release") {
    mixed_versions_fixture world;
    continuations seen;
    constexpr milliseconds record_time{1'000};
    world.pass(record_time);
    std::string const id = "s";
    do {
        world.begin_stream(0, "alone", id);
    } while (!world.began_at_old());

    SUBCASE("the old version was gone before") {
        world.unlist("old");
        world.world().restart_nodes();
    }
    SUBCASE("the old version leaves at the same time") {
        world.unlist("old", milliseconds(0));
        world.world().restart_nodes();
    }
    SUBCASE("the old version leaves soon after") {
        world.world().restart_nodes();
        world.unlist("old");
    }
    // Longer than the time for which the nodes need to see one version alone to
    // go on with a stream that has just begun.
    world.pass(milliseconds(2'500));
    struct named {
        std::string stream;
        milliseconds patience;
    };
    named const callers[] = {
        // The rest of its patience, all of it again, more than the time-out.
        {id, milliseconds(500)},
        {id, milliseconds(3'000)},
        {id, milliseconds(15'000)},
        {"", milliseconds(3'000)}};
    for (named const& each : callers) {
        world.add(world.resume(0, id, each.stream, each.patience), seen);
        world.add(world.resume(1, id, each.stream, each.patience), seen);
    }
    CHECK(seen.mixed == 0);
    CHECK(seen.complete == 0);
    CHECK(seen.refused == 2 * std::size(callers));
}

// Guards against nodes that take the one version which they have seen since
// their start for the only one, since the store no longer states that there
// were several.
TEST_CASE("a stream is not joined when the record of its service is lost") {
    mixed_versions_fixture world;
    auto& metadata = world.world().metadata;
    continuations seen;
    std::string const id = "s";
    constexpr milliseconds write_time{1'500};
    world.pass(write_time);
    do {
        world.begin_stream(0, "alone", id);
    } while (!world.began_at_old());
    world.unlist("old");

    SUBCASE("it can't be read") {
        metadata.store().put("keyed.software", "scripted", "{\"service\":[");
        world.world().restart_nodes();
    }
    SUBCASE("it is one of another service") {
        metadata.store().put(
            "keyed.software", "scripted", R"({"service":"other"})");
        world.world().restart_nodes();
    }
    SUBCASE("the store is rolled back to a time before it") {
        world.world().restart_nodes();
        auto snapshot = metadata.store();
        snapshot.put("keyed.software", "scripted", "");
        metadata.come_back(snapshot);
    }
    world.pass(write_time);
    for (unsigned each = 0; each < 3; ++each) {
        world.add(world.resume(each, id, id), seen);
    }
    CHECK(seen.mixed == 0);
    CHECK(seen.refused == 3);
}

// Guards against the record of a single version that a node has sent before a
// second version appeared: the store has not answered, and carries the write
// out seconds later, behind the record of several versions.
TEST_CASE("a stream is not joined after a late write of an older record") {
    constexpr milliseconds lifetime{2'500};
    mixed_versions_fixture world(false, lifetime);
    auto& metadata = world.world().metadata;
    auto const record = [&] {
        return metadata.store().newest("keyed.software")["scripted"];
    };
    std::string const several = R"({"service":"scripted"})";

    SUBCASE("a newer record is written meanwhile") {
        metadata.store().put("keyed.software", "scripted", "");
    }
    SUBCASE("the record in the store is right again meanwhile") {
        metadata.store().put("keyed.software", "scripted", several);
    }
    metadata.delays_appends_to = "keyed.software";
    world.world().restart_nodes();
    REQUIRE(within(world.world(), lifetime + milliseconds(1'500), [&] {
        return metadata.delayed() > 0;
    }));
    metadata.delays_appends_to.clear();
    world.list_new();
    world.pass(milliseconds(3'000));
    REQUIRE(record() == several);
    metadata.carry_out_delayed();
    CHECK(record() == several);

    continuations seen;
    std::string const id = "s";
    do {
        world.begin_stream(0, "alone", id);
    } while (world.began_at_old());
    world.unlist("new", milliseconds(0));
    world.world().restart_nodes();
    constexpr std::size_t nodes = 3;
    for (std::size_t each = 0; each < nodes; ++each) {
        world.add(world.resume(each, id, id), seen);
    }
    CHECK(seen.mixed == 0);
    CHECK(seen.refused == nodes);
}

// Guards against a stream that goes on at another service, since the record of
// its origin is looked for under the service to which its route leads now.
TEST_CASE("a stream is not joined of two services when its route moves") {
    mixed_versions_fixture world;
    continuations seen;
    constexpr milliseconds record_time{1'500};
    world.pass(record_time);
    std::string const id = "s";
    world.begin_stream(0, "alone", id);
    SUBCASE("while the nodes run") {
        world.move_routes();
    }
    SUBCASE("and all nodes are killed then") {
        world.move_routes();
        world.world().restart_nodes();
    }
    SUBCASE("and all nodes are killed before they know it") {
        world.declare_moved_routes();
        world.world().restart_nodes();
        world.pass(milliseconds(500));
        REQUIRE(world.world().node_at(0).configuration_version() == 3);
    }
    constexpr std::size_t nodes = 3;
    for (std::size_t each = 0; each < nodes; ++each) {
        world.add(world.resume(each, id, id), seen);
    }
    CHECK(seen.refused == nodes);
}

// Guards against a stream that goes on at another software version, since the
// entries of its replicas name that version under the same ids.
TEST_CASE("a stream is not joined when its replicas change their version") {
    mixed_versions_fixture world(false);
    continuations seen;
    constexpr milliseconds record_time{1'500};
    world.pass(record_time);
    std::string const id = "s";
    world.begin_stream(0, "alone", id);
    world.change_old();
    world.pass(milliseconds(500));
    constexpr std::size_t nodes = 3;
    for (std::size_t each = 0; each < nodes; ++each) {
        world.add(world.resume(each, id, id), seen);
    }
    CHECK(seen.refused == nodes);
}

// Guards against a resumption that waits, or goes on at another software
// version, when the version of its stream is gone or unknown.
TEST_CASE("a stream that can't go on is refused at once") {
    mixed_versions_fixture world;
    continuations seen;
    std::string const id = "s";
    world.begin_stream(0, "alone", id);

    SUBCASE("no replica of its software version is left") {
        world.unlist(world.began_at_old() ? "old" : "new");
        instant const began = boot_clock::now();
        auto const answer = world.resume(1, id, id);
        world.add(answer, seen);
        CHECK(seen.mixed == 0);
        CHECK(seen.refused == 1);
        CHECK(boot_clock::now() - began < milliseconds(300));
        CHECK_FALSE(answer.response.fields.get("Retry-After").empty());
        auto const anew = world.begin_stream(1, "runs", "anew");
        CHECK(anew.response.status == 200);
    }
    SUBCASE("its caller names no stream") {
        world.add(world.resume(1, id, ""), seen);
        CHECK(seen.refused == 1);
    }
    SUBCASE("its caller names a stream that never began") {
        world.add(world.resume(1, id, "forged"), seen);
        CHECK(seen.refused == 1);
    }
}

TEST_CASE("messages about streams are read as they were written") {
    peer_datagram message;
    message.from = "10.3.64.101:8322";
    SUBCASE("a record, in few bytes") {
        message.stream_records = {{1, 2}};
        std::string const bytes = encode(message);
        // stream_origins_property_test adds the headers of UDP and IP.
        constexpr std::size_t max_bytes = 116 - 28;
        CHECK(bytes.size() <= max_bytes);
        MESSAGE("bytes of a record: " << bytes.size());
        auto const read = decode_peer_datagram(bytes);
        REQUIRE(read);
        REQUIRE(read->stream_records.size() == 1);
        CHECK(read->stream_records.front().software == 2);
    }
    SUBCASE("a question and its answer") {
        message.stream_questions = {{1, 2, "llm", 3, 4}};
        peer_stream_answer answer;
        answer.number = 1;
        answer.state = origin_state::ambiguous;
        answer.versions = version_knowledge::several;
        message.stream_answers = {answer};
        auto const read = decode_peer_datagram(encode(message));
        REQUIRE(read);
        REQUIRE(read->stream_questions.size() == 1);
        CHECK(read->stream_questions.front().service == "llm");
        CHECK(read->stream_questions.front().routes == 3);
        CHECK(read->stream_questions.front().configuration == 4);
        REQUIRE(read->stream_answers.size() == 1);
        CHECK(read->stream_answers.front().state == origin_state::ambiguous);
        CHECK(
            read->stream_answers.front().versions ==
            version_knowledge::several);
    }
}

} // namespace camphorpoint
