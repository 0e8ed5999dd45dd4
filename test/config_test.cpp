#include <Camphorpoint/Config>

#include <doctest/doctest.h>

namespace camphorpoint {

TEST_CASE("an operator's declarations are read") {
    declaration_reader reader;

    SUBCASE("a whole profile is taken as it stands") {
        reader.read("a.toml", R"(
[[profile]]
name = "audit-note"
model = "base-7b"
adapter = "audit"
version = 3
urgency = "high"
idempotent = false
deadline = "5s"
)");
        CHECK(reader.problems().report().empty());
        REQUIRE(reader.profiles().size() == 1);
        profile const& note = reader.profiles().front();
        CHECK(note.adapter == adapter_ref{adapter_id("audit"), 3});
        CHECK(note.how_urgent == urgency::high);
        CHECK_FALSE(note.idempotent);
        CHECK(note.default_deadline == std::chrono::seconds(5));
    }

    SUBCASE("everything that is wrong is reported at once, with its line") {
        reader.read("b.toml", R"([[profile]]
name = "x"
model = "m"
adapter = "a"
version = 0
urgency = "soon"
colour = "red"
)");
        std::string const report = reader.problems().report();
        CHECK(report.find("b.toml:5: profile[0].version") != report.npos);
        CHECK(report.find("b.toml:6: profile[0].urgency") != report.npos);
        CHECK(report.find("b.toml:7: profile[0].colour") != report.npos);
        CHECK(report.find("profile[0].idempotent: is missing") != report.npos);
    }
}

} // namespace camphorpoint
