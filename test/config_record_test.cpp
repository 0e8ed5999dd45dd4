#include "config_fixtures.hpp"

#include <doctest/doctest.h>

#include <random>

namespace camphorpoint {

TEST_CASE("records of the configuration stream") {
    change const both =
        make_change("c1", {put("scan \"α\\", 0, 7), take_out("old", 3)});

    SUBCASE("a change comes back as it was, and can be read by people") {
        std::string const text = encode(both);
        CHECK(std::get<change>(decode(text).value()) == both);
        CHECK(text.find("\"urgency\":") != text.npos);
        CHECK(text.find("\"normal\"") != text.npos);
        CHECK(text.find("\"base_revision\":") != text.npos);
    }

    SUBCASE("a withdrawal and a checkpoint's part come back") {
        change_withdrawal const withdrawal{change_id("c1")};
        CHECK(
            std::get<change_withdrawal>(decode(encode(withdrawal)).value()) ==
            withdrawal);
        checkpoint_part part;
        part.writer = node_id("n1");
        part.part.covers = log_offset{9};
        part.part.digest = ~0ULL;
        profile_state tombstone;
        tombstone.value.name = profile_name("old");
        tombstone.value.revision = 4;
        tombstone.removed = true;
        part.part.profiles = {{make_profile("scan", 2), false}, tombstone};
        part.part.changes = {
            {change_id("c1"), log_offset{3}, verdict::withdrawn, 8}};
        CHECK(std::get<checkpoint_part>(decode(encode(part)).value()) == part);
    }

    SUBCASE("rules are checked where every node checks them") {
        CHECK_FALSE(decode(encode(make_change("c1", {}))));
        CHECK_FALSE(decode(encode(make_change("", {put("a", 0)}))));
        CHECK_FALSE(decode(encode(make_change("c", {put("a\n", 0)}))));
        CHECK_FALSE(decode(encode(make_change("c", {put("a", 0, 0)}))));
        CHECK_FALSE(
            decode(encode(make_change("c", {put("a", 0), put("a", 1)}))));
    }
}

// An operator sees a change in force on some nodes only, or all nodes crash
// one after the other at the same record: someone appended other bytes than a
// change, such as half a record, another tool's text, or brackets without end.
// Each must be passed over, by all nodes alike, and never end a node.
TEST_CASE("broken record bytes give an error and nothing else") {
    std::string const good = encode(make_change("c1", {put("scan", 0)}));
    REQUIRE(decode(good));

    SUBCASE("text that is no such record") {
        for (std::string const& text :
             {std::string(), std::string("{}"), std::string("[1]"),
              std::string("{\"change\":[]}"), std::string("{\"change\":{}}"),
              std::string("{\"change\":7}"), std::string(200'000, '['),
              good + std::string(longest_config_record, ' '),
              std::string("{\"checkpoint\":{\"format\":1}}")}) {
            CHECK_FALSE(decode(text));
        }
    }

    SUBCASE("a key that this version does not know") {
        std::string more = good;
        more.insert(more.find("\"format\""), "\"strength\":2,");
        CHECK_FALSE(decode(more));
    }

    SUBCASE("a format that this version does not know") {
        std::string later = good;
        later.replace(later.find(": 1"), 3, ": 2");
        CHECK_FALSE(decode(later));
    }

    SUBCASE("every cut, and random damage") {
        for (std::size_t size = 0; size + 1 < good.size(); ++size) {
            CHECK_FALSE(decode(std::string_view(good).substr(0, size)));
        }
        std::mt19937_64 random(4);
        int taken = 0;
        for (int round = 0; round < 3'000; ++round) {
            std::string text = good;
            for (int hit = 0; hit < 3; ++hit) {
                text[random() % text.size()] = static_cast<char>(random());
            }
            decoded_record const record = decode(text);
            // What is taken must be exactly what the text says.
            if (record) {
                ++taken;
                CHECK(decode(encode(record.value())).value() == record.value());
            }
        }
        CHECK(taken < 3'000);
    }
}

} // namespace camphorpoint
