#include "key_simulation.hpp"

#include <cereal/archives/binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <doctest/doctest.h>

#include <sstream>

namespace camphorpoint::test {

namespace {

using std::chrono::milliseconds;

} // namespace

TEST_CASE("the time and the shard of a key") {
    idempotency_key const key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");

    SUBCASE("the example key of RFC 9562 yields its time") {
        auto const time = parse_key_time(key);
        REQUIRE(time.has_value());
        CHECK(time->time_since_epoch().count() == 1'645'557'742'000);
    }
    SUBCASE("upper and lower case are the same key") {
        idempotency_key const upper_case(
            "017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
        CHECK(canonical_key(upper_case) == key);
        CHECK(parse_key_time(upper_case) == parse_key_time(key));
    }
    SUBCASE("a key that is not a UUIDv7 has no time") {
        for (char const* text :
             {"", "booking-17", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
              "017f22e2-79b0-7cc3-c8c4-dc0c0c07398f",
              "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
              "017f22e279b0-7cc3-98c4-dc0c0c07398f0"}) {
            CHECK_FALSE(parse_key_time(idempotency_key(text)));
        }
    }
    SUBCASE("a generated key has the given time and is unique") {
        std::mt19937_64 random(1);
        wall_time const time(milliseconds(1'800'000'000'123));
        idempotency_key const first = generate_key(time, random);
        CHECK(parse_key_time(first) == time);
        CHECK(first != generate_key(time, random));
        CHECK(canonical_key(first) == first);
    }
    SUBCASE("keys are distributed evenly over the shards") {
        std::mt19937_64 random(1);
        std::map<key_shard, int> counts;
        for (int index = 0; index < 25'600; ++index) {
            ++counts[key_shard_of(generate_key(wall_time(), random))];
        }
        CHECK(counts.size() == key_shard_count);
        for (auto const& [shard, count] : counts) {
            CHECK(count < 160);
        }
    }
}

TEST_CASE("a caller repeats a booking through another entry node") {
    key_simulation world;
    world.add("a");
    world.add("b");
    world.add("c");
    world.claim("a");
    world.advance_and_deliver(milliseconds(2'000));
    world.renew();
    idempotency_key const key = world.make_key();
    world.submit("b", "first", key);
    world.deliver();
    REQUIRE(world.decision_of("first").verdict == key_verdict::run);

    SUBCASE("after completion: the stored answer is returned") {
        world.end("b", "first", outcome::done, "booked");
        world.deliver();
        world.submit("c", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::answer);
        CHECK(world.decision_of("second").answer == "booked");
        CHECK(world.at("b").entry->completed_count() == 0);
    }
    SUBCASE("while it runs: the repeat waits and gets the same answer") {
        world.submit("c", "second", key);
        world.advance_and_deliver(milliseconds(2'500));
        world.renew();
        CHECK_FALSE(world.has_decision("second"));
        world.end("b", "first", outcome::done, "booked");
        world.deliver();
        CHECK(world.decision_of("second").answer == "booked");
    }
    SUBCASE("with another body: the repeat is refused, the first one runs on") {
        world.submit("c", "second", key, false, 2);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::refused);
        CHECK(world.decision_of("second").why == reason::key_reused);
    }
    SUBCASE("the first one was not executed: the waiting repeat runs") {
        world.submit("c", "second", key);
        world.deliver();
        world.runs[key] = 0;
        world.end("b", "first", outcome::not_run);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::run);
    }
    SUBCASE("the first one has an unknown outcome: so has the repeat") {
        world.end("b", "first", outcome::unknown);
        world.deliver();
        world.submit("c", "second", key);
        world.deliver();
        CHECK(world.decision_of("second").verdict == key_verdict::unknown);
    }
    CHECK(world.runs_of(key) == 1);
}

TEST_CASE("key time is validated unless the work is idempotent") {
    key_simulation world;
    world.add("a");
    world.add("b");
    world.claim("a");
    world.advance_and_deliver(milliseconds(2'000));
    world.renew();

    SUBCASE("a booking with a key that has no time is refused immediately") {
        world.submit("b", "one", idempotency_key("booking-17"));
        CHECK(world.decision_of("one").verdict == key_verdict::refused);
        CHECK(world.decision_of("one").why == reason::key_invalid);
    }
    SUBCASE(
        "a key ahead of the clock: accepted up to the limit, then refused") {
        world.submit("b", "one", world.make_key(milliseconds(1'000)));
        world.submit("b", "two", world.make_key(milliseconds(1'001)));
        world.deliver();
        CHECK(world.decision_of("one").verdict == key_verdict::run);
        CHECK(world.decision_of("two").verdict == key_verdict::refused);
        CHECK(world.decision_of("two").why == reason::key_too_new);
    }
    SUBCASE("a key older than the retention may have been executed: unknown") {
        world.submit("b", "one", world.make_key(-std::chrono::hours(25)));
        world.deliver();
        CHECK(world.decision_of("one").verdict == key_verdict::unknown);
        CHECK(world.decision_of("one").why == reason::key_too_old);
    }
    SUBCASE("idempotent work does not need a time in its key") {
        idempotency_key key;
        for (int index = 0; key_shard_of(key) != key_simulation::shard;
             ++index) {
            key = idempotency_key("summary-" + std::to_string(index));
        }
        world.submit("b", "one", key, true);
        world.deliver();
        CHECK(world.decision_of("one").verdict == key_verdict::run);
        world.end("b", "one", outcome::done, "text");
        world.deliver();
        world.submit("b", "two", key, true);
        world.deliver();
        CHECK(world.decision_of("two").answer == "text");
    }
}

TEST_CASE("the memory of a key table is bounded") {
    key_settings settings;
    settings.most_records = 3;
    settings.longest_answer = 100;
    settings.most_answer_bytes = 150;
    key_simulation world(settings);
    world.add("a");
    world.add("b");
    world.claim("a");
    world.advance_and_deliver(milliseconds(2'000));
    std::vector<idempotency_key> keys;
    for (int index = 0; index < 3; ++index) {
        keys.push_back(world.make_key());
        std::string const name = "r" + std::to_string(index);
        world.submit("b", name, keys.back());
        world.deliver();
        std::size_t const length = index == 0 ? 101 : 80;
        world.end("b", name, outcome::done, std::string(length, 'x'));
        world.deliver();
        world.renew();
    }
    idempotency_key const fourth = world.make_key();

    SUBCASE("full: a new booking is refused and no record is lost") {
        world.submit("b", "new", fourth);
        world.deliver();
        CHECK(world.decision_of("new").verdict == key_verdict::refused);
        CHECK(world.decision_of("new").why == reason::key_table_full);
        CHECK(world.at("a").owner->records() == 3);
    }
    SUBCASE("full: idempotent work runs without a record") {
        world.submit("b", "new", fourth, true);
        world.deliver();
        CHECK(world.decision_of("new").verdict == key_verdict::run);
        CHECK(world.at("a").owner->records() == 3);
    }
    SUBCASE("long and old answers are dropped, their records stay") {
        CHECK(world.at("a").owner->answer_bytes() == 80);
        for (int index = 0; index < 3; ++index) {
            std::string const name = "again" + std::to_string(index);
            world.submit("b", name, keys[static_cast<std::size_t>(index)]);
            world.deliver();
            CHECK(world.decision_of(name).verdict == key_verdict::answer);
            CHECK(
                world.decision_of(name).why ==
                (index == 2 ? reason::none : reason::key_answer_dropped));
        }
    }
    SUBCASE("expired records are removed") {
        world.now_ += std::chrono::hours(24) + std::chrono::seconds(2);
        world.advance(milliseconds(300));
        CHECK(world.at("a").owner->records() == 0);
        CHECK(world.at("a").owner->answer_bytes() == 0);
    }
}

TEST_CASE("a handover is sent in parts of bounded size") {
    key_simulation world;
    world.add("a");
    world.add("b");
    world.claim("a");
    world.advance_and_deliver(milliseconds(2'000));
    idempotency_key last;
    for (int index = 0; index < 40; ++index) {
        std::string const name = "r" + std::to_string(index);
        last = world.make_key();
        world.submit("b", name, last);
        world.deliver();
        world.end("b", name, outcome::done, std::string(16'000, 'x'));
        world.deliver();
        world.renew();
    }
    world.hand_over("a", "b");

    // Four records of 16,000 bytes and their overhead fill a part.
    std::size_t parts = 0;
    for (auto const& each : world.message_queue) {
        auto const* part = std::get_if<key_handover>(&each.content);
        REQUIRE(part != nullptr);
        std::ostringstream wire;
        cereal::BinaryOutputArchive archive(wire);
        archive(*part);
        CHECK(wire.str().size() <= handover_part_bytes);
        ++parts;
    }
    CHECK(parts == 10);
    SUBCASE("all parts arrive: the successor has the complete table") {
        world.deliver();
        world.claim("b", true);
        CHECK(world.at("b").owner->records() == 40);
        CHECK(world.at("b").owner->answer_bytes() == 40 * 16'000);
    }
    SUBCASE("one part is lost: the others are not imported") {
        world.message_queue.erase(world.message_queue.begin() + 3);
        world.deliver();
        world.claim("b", true);
        CHECK(world.at("b").owner->records() == 0);
        world.submit("a", "repeat", last);
        world.deliver();
        CHECK(world.decision_of("repeat").verdict == key_verdict::unknown);
    }
    SUBCASE("one part is late: the table is imported once complete") {
        auto const late = world.message_queue[3];
        world.message_queue.erase(world.message_queue.begin() + 3);
        world.deliver();
        world.claim("b", true);
        world.message_queue.push_back(late);
        world.deliver();
        CHECK(world.at("b").owner->records() == 40);
        world.submit("a", "fresh", world.make_key());
        world.deliver();
        CHECK(world.decision_of("fresh").verdict == key_verdict::run);
    }
}

} // namespace camphorpoint::test
