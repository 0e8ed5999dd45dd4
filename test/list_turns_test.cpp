#include <Camphorpoint/Fleet>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds longest{1'000};

} // namespace

TEST_CASE("a node reads the list when nobody else has read it lately") {
    list_turns turns(longest);
    instant const now = instant() + seconds(100);
    turns.was_read(40, now);
    CHECK(turns.due(1) == now + longest);
    CHECK(turns.due(0) < turns.due(1));

    SUBCASE("another's word that goes on from here puts it off") {
        instant const later = now + milliseconds(600);
        CHECK(turns.heard(40, 50, later) == list_word::applies);
        CHECK(turns.next() == 50);
        CHECK(turns.due(1) == later + longest);
        SUBCASE("so does one that nothing has changed") {
            instant const last = later + milliseconds(600);
            CHECK(turns.heard(50, 50, last) == list_word::old);
            CHECK(turns.due(1) == last + longest);
        }
    }
    SUBCASE("what overlaps goes on as well") {
        CHECK(turns.heard(30, 45, now) == list_word::applies);
        CHECK(turns.next() == 45);
    }
    SUBCASE("old word, as of a node that reads behind, changes nothing") {
        CHECK(turns.heard(10, 39, now + milliseconds(900)) == list_word::old);
        CHECK(turns.due(1) == now + longest);
    }
}

// The datagram that tells of a replica's leaving is lost on its way to one
// node. It hears the next one, relies on it, and sends to the replica until
// that is gone.
TEST_CASE("a lost word is read at once") {
    list_turns turns(longest);
    instant const now = instant() + seconds(100);
    turns.was_read(40, now);
    instant const later = now + milliseconds(700);
    CHECK(turns.heard(45, 50, later) == list_word::gap);
    CHECK(turns.next() == 40);
    CHECK(turns.due(1) <= later);

    SUBCASE("and the reading closes the gap") {
        turns.was_read(52, later);
        CHECK(turns.heard(50, 55, later) == list_word::applies);
        CHECK(turns.due(1) == later + longest);
    }
}

TEST_CASE("a node that has not read anything yet relies on nobody") {
    list_turns turns(longest);
    instant const now = instant() + seconds(100);
    CHECK(turns.heard(0, 50, now) == list_word::old);
    CHECK(turns.next() == 0);
}

// Ninety nodes that each read the list every second make ninety calls a second
// on a store whose every call is paid.
TEST_CASE("many nodes read hardly more often than a few") {
    constexpr std::size_t nodes = 90;
    constexpr milliseconds word_takes{10};
    std::vector<list_turns> all(nodes, list_turns(longest));
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> part(0, 1);
    instant now = instant() + seconds(100);
    instant const end = now + seconds(60);
    std::vector<double> draws(nodes);
    for (std::size_t each = 0; each < nodes; ++each) {
        all[each].was_read(1, now);
        draws[each] = part(random);
    }
    std::size_t readings = 0;
    duration longest_gap{0};
    while (now < end) {
        instant first = instant::max();
        for (std::size_t each = 0; each < nodes; ++each) {
            first = std::min(first, all[each].due(draws[each]));
        }
        longest_gap = std::max(longest_gap, first - now);
        // All whose pause ends before the first one's word has come read too.
        std::uint64_t const place = all.front().next() + 1;
        for (std::size_t each = 0; each < nodes; ++each) {
            if (all[each].due(draws[each]) <= first + word_takes) {
                ++readings;
                draws[each] = part(random);
            }
        }
        now = first + word_takes;
        for (list_turns& each : all) {
            each.was_read(place, now);
        }
    }
    CHECK(longest_gap <= longest);
    CHECK(readings < 60 * 8);
}

} // namespace camphorpoint
