#include "Config/config_record.hpp"
#include "test/support/cluster.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

namespace camphorpoint {

namespace {

using test::milliseconds;

constexpr milliseconds startup{30'000};

profile make_profile(std::uint32_t version) {
    profile result;
    result.name = profile_name("audit-note");
    result.model = model_id("base");
    result.adapter = {adapter_id("audit"), version};
    result.idempotent = true;
    return result;
}

caller_request make_request(std::string const& id, milliseconds deadline) {
    caller_request result;
    result.id = request_id(id);
    result.profile = profile_name("audit-note");
    result.deadline = deadline;
    result.expected_tokens = 10;
    return result;
}

/// Three nodes with one profile, after startup has settled.
struct settled_cluster : test::cluster {
    explicit settled_cluster(std::size_t engine_count)
        : cluster(3, engine_count) {
        publish(make_profile(1));
        run(startup);
    }
    void remove_profile() {
        change edit;
        edit.id = change_id("removal");
        edit.edits.emplace_back(remove_profile_of(1));
        log.append(
            log_stream::configuration, encode(config_record(edit)), wall());
    }
    void silence_all(milliseconds time) {
        for (std::size_t engine = 0; engine < engines.size(); ++engine) {
            silence_engine(engine, time);
        }
    }
    /// Posts one request to each node. @returns their ids
    std::vector<std::string> post_to_all(std::string const& name) {
        std::vector<std::string> ids;
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            ids.push_back(fmt::format("{}-{}", name, node));
            post(node, make_request(ids.back(), milliseconds(12'000)));
        }
        return ids;
    }

private:
    static ::camphorpoint::remove_profile
    remove_profile_of(std::uint64_t revision) {
        return {revision, profile_name("audit-note")};
    }
};

} // namespace

// Guards against a stream that is ended, moved or resent because its engine was
// silent for a while.
TEST_CASE("streams of engines that fall silent and go on are completed") {
    std::size_t engine_count = 2;
    SUBCASE("two engines") {
        engine_count = 2;
    }
    SUBCASE("one engine only") {
        engine_count = 1;
    }
    settled_cluster all(engine_count);
    for (auto& engine : all.engines) {
        engine.tokens = 100;
    }
    milliseconds silence{};
    SUBCASE("half a second") {
        silence = milliseconds(500);
    }
    SUBCASE("a second and a half") {
        silence = milliseconds(1'500);
    }
    SUBCASE("three seconds") {
        silence = milliseconds(3'000);
    }

    auto const begun = all.post_to_all("begun");
    all.run(milliseconds(700));
    std::size_t const owner = all.owner_of(0);
    bool drained = false;
    SUBCASE("in calm") {
        all.silence_all(silence);
    }
    SUBCASE("one engine of all") {
        all.silence_engine(0, silence);
    }
    SUBCASE("beside a new version of the adapter") {
        all.publish(make_profile(2), 1);
        all.silence_all(silence);
    }
    SUBCASE("beside the removal of the profile") {
        all.remove_profile();
        all.silence_all(silence);
    }
    SUBCASE("beside a profile that moves to another model") {
        profile moved = make_profile(1);
        moved.model = model_id("other");
        all.publish(moved, 1);
        all.silence_all(silence);
    }
    SUBCASE("while a node drains") {
        drained = true;
        all.bring(owner, drain_started{});
        all.silence_all(silence);
    }
    SUBCASE("while another node is silent, too") {
        all.nodes[owner].paused = true;
        all.silence_all(silence);
        all.run(milliseconds(1'000));
        all.go_on(owner);
    }
    all.run(milliseconds(10'000));

    for (std::string const& id : begun) {
        CAPTURE(id);
        CHECK(all.ended(id).how == outcome::done);
        CHECK(all.begun(id) == 1);
    }
    // No attempt besides the first: no budget of retries is needed.
    CHECK(all.attempts.size() == begun.size());
    for (auto const& engine : all.engines) {
        CHECK(engine.evicted_in_use == 0);
    }
    if (drained) {
        all.run(milliseconds(10'000));
        CHECK(all.nodes[owner].drained);
    }
}

// Guards against requests that are refused or ended because their engine was
// silent when they came.
TEST_CASE("requests that come while the engines are silent are served") {
    settled_cluster all(1);
    SUBCASE("before the adapter is loaded") {}
    SUBCASE("with the adapter resident") {
        all.post_to_all("earlier");
        all.run(milliseconds(3'000));
    }
    all.silence_all(milliseconds(2'000));
    all.run(milliseconds(500));
    auto const ids = all.post_to_all("silent");
    all.run(milliseconds(8'000));
    for (std::string const& id : ids) {
        CAPTURE(id);
        CHECK(all.ended(id).how == outcome::done);
        CHECK(all.begun(id) == 1);
    }
}

// Guards against an engine that is avoided for seconds after a short silence in
// which some requests reached their deadlines.
TEST_CASE("deadlines in a short silence do not make an engine suspect") {
    settled_cluster all(1);
    all.post_to_all("first");
    all.run(milliseconds(3'000));
    all.silence_all(milliseconds(1'200));
    for (int index = 0; index < 4; ++index) {
        all.post(
            0, make_request(fmt::format("short-{}", index), milliseconds(240)));
        all.run(milliseconds(260));
        CHECK(
            all.ended(fmt::format("short-{}", index)).why ==
            reason::deadline_passed);
    }
    all.run(milliseconds(300));
    all.post(0, make_request("after", milliseconds(3'000)));
    all.run(milliseconds(3'000));
    CHECK(all.ended("after").how == outcome::done);
}

// Guards against an engine that hangs for good and is chosen again and again,
// since its connections are alive.
TEST_CASE("an engine that stays silent is avoided") {
    constexpr int requests = 20;
    constexpr milliseconds deadline{600};
    settled_cluster all(2);
    all.engines[0].load_time = milliseconds(50);
    all.engines[1].load_time = milliseconds(50);
    all.post_to_all("first");
    all.run(milliseconds(3'000));
    std::size_t const hung =
        all.engines[0].instance.id == all.attempts.back().endpoint ? 0 : 1;
    all.silence_engine(hung, milliseconds(60'000));
    int lost = 0;
    for (int index = 0; index < requests; ++index) {
        std::string const id = fmt::format("r-{}", index);
        all.post(0, make_request(id, deadline));
        all.run(deadline + tick_period);
        lost += all.ended(id).how == outcome::done ? 0 : 1;
    }
    MESSAGE("requests that were lost to it: " << lost);
    CHECK(lost <= requests / 2);
}

// Guards against a truncated answer of which the log does not say whether its
// endpoint was silent, for how long, and why no attempt followed.
TEST_CASE("the log says how long an engine was silent") {
    settled_cluster all(1);
    std::vector<log_event> lines;
    all.filter = [&](std::size_t, node_action const& action) {
        if (auto const* line = std::get_if<log_event>(&action)) {
            lines.push_back(*line);
        }
        return true;
    };
    auto const detail_of = [&](event_code code) {
        for (log_event const& each : lines) {
            if (each.code == code) {
                return each.detail;
            }
        }
        return std::string();
    };
    auto const has = [](std::string const& text, char const* part) {
        return text.find(part) != std::string::npos;
    };
    all.engines[0].tokens = 50;
    all.post(0, make_request("r", milliseconds(3'000)));
    all.run(milliseconds(600));

    SUBCASE("a silence that ended") {
        all.silence_all(milliseconds(1'000));
        all.run(milliseconds(4'000));
        std::string const line = detail_of(event_code::answer_delayed);
        CHECK(has(line, "request=r endpoint=e0 attempt=1 end=completed"));
        CHECK(has(line, " longest_silence_ms=10"));
        CHECK(detail_of(event_code::answer_lost).empty());
    }
    SUBCASE("a silence until the deadline") {
        all.silence_all(milliseconds(9'000));
        all.run(milliseconds(4'000));
        std::string const line = detail_of(event_code::answer_lost);
        CHECK(has(line, "request=r endpoint=e0 attempt=1 end=timed-out"));
        CHECK(has(line, " silence_ms=24"));
        CHECK(has(line, "connection=alive"));
        std::string const end = detail_of(event_code::outcome_unknown);
        CHECK(has(end, "profile=audit-note reason=deadline-passed"));
        CHECK(has(end, "idempotent=true"));
    }
    SUBCASE("no silence") {
        all.run(milliseconds(4'000));
        CHECK(detail_of(event_code::answer_delayed).empty());
        CHECK(detail_of(event_code::answer_lost).empty());
        CHECK(detail_of(event_code::outcome_unknown).empty());
    }
}

} // namespace camphorpoint
