#include "test/gateway/attempt_overlaps.hpp"
#include "test/gateway/disturbed_world.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <numeric>
#include <vector>

namespace camphorpoint {

using namespace testing;

namespace {

/// A request may end this long before its deadline.
constexpr milliseconds slack{150};
/// A node reads an answer for 100 ms beyond the deadline, and a busy machine is
/// late.
constexpr milliseconds longest_delay{300};
constexpr milliseconds stop_accepts{200};
/// All requests may run until their deadline.
constexpr milliseconds stop_limit = stream_patience + milliseconds(1'500);

/// @returns true when the attempt would write the whole stream in time
bool is_sound(scripted_attempt const& script, instant began, instant deadline) {
    milliseconds const silent = std::accumulate(
        script.silences.begin(), script.silences.end(),
        script.silence_before_head,
        [](milliseconds sum, auto const& each) { return sum + each.second; });
    return script.status == 200 && !script.closes_before_head &&
           script.bytes == scripted_attempt::all &&
           script.framing == body_framing::chunked &&
           began + silent < deadline - slack;
}

/// An attempt is sound when it would write the whole stream in time. It may be
/// dropped only when another attempt has written an event behind the one at
/// which it began, and was the last to write, or when a later one has begun to
/// answer: the two must not work beside each other. A request may end before
/// its time is up only when it has used the attempts that its route allows.
void check_ends(
    disturbed_world const& world, disturbed_request const& request,
    caller_stream const& caller) {
    instant const deadline = world.began(request) + stream_patience;
    bool const time_up = *request.ended >= deadline - slack;
    if (caller.complete() || time_up) {
        return;
    }
    std::vector<std::size_t> const attempts = world.attempts(request);
    CHECK(attempts.size() >= request.allowed);
    for (std::size_t each = 0; each < attempts.size(); ++each) {
        attempt_record const& record = world.record(attempts[each]);
        scripted_attempt const script = each < request.script.size()
                                            ? request.script[each]
                                            : scripted_attempt();
        bool const useless = caller.last() > world.after(attempts[each]) &&
                             caller.run() != attempts[each];
        INFO("attempt " << each);
        bool const replaced = std::any_of(
            attempts.begin() + static_cast<std::ptrdiff_t>(each) + 1,
            attempts.end(), [&](std::size_t later) {
                auto const begun = world.record(later).streaming;
                return begun && *begun <= *record.ended;
            });
        bool const lost = record.dropped && !useless && !replaced &&
                          is_sound(script, record.began, deadline);
        CHECK_FALSE(lost);
    }
}

void check_attempts(
    disturbed_world const& world, disturbed_request const& request) {
    std::vector<std::size_t> const attempts = world.attempts(request);
    std::vector<attempt_record> records;
    std::size_t executed = 0;
    for (std::size_t each = 0; each < attempts.size(); ++each) {
        bool const refused =
            each < request.script.size() && request.script[each].status == 503;
        executed += refused ? 0 : 1;
        records.push_back(world.record(attempts[each]));
        CHECK(records.back().ended);
    }
    CHECK(overlap_problem(records) == "");
    CHECK(executed <= request.allowed);
    CHECK(attempts.size() <= std::max(request.allowed, max_attempts));
}

void check_requests(disturbed_world const& world) {
    std::size_t complete = 0;
    for (disturbed_request const& each : world.requests()) {
        caller_stream const caller = world.stream(each);
        INFO("request " << each.path << ", events " << caller.last());
        CHECK(caller.problem() == "");
        CHECK(
            *each.ended < world.began(each) + stream_patience + longest_delay);
        check_ends(world, each, caller);
        check_attempts(world, each);
        complete += caller.complete() ? 1 : 0;
    }
    CHECK(complete > world.requests().size() / 3);
}

} // namespace

// Guards against streams that the node ends, joins wrongly or sends too often
// after states that it has handled once: stalls, replacements that fail or are
// overtaken, configurations, changes of the registry, and stops come in any
// order, each more than once for one request.
TEST_CASE("a stream is not ended while a sound replica goes on with it") {
    constexpr std::size_t per_route = 80;
    constexpr milliseconds longest_stop = stop_accepts + milliseconds(600);
    unsigned seed = 0;
    bool stops = false;
    SUBCASE("while the node serves") {
        seed = 11;
    }
    SUBCASE("while the node is stopped, and once more") {
        seed = 12;
        stops = true;
    }
    random_numbers random(seed);
    disturbed_world world(random, stop_accepts, stop_limit);
    script_generator scripts(random);
    for (std::size_t each = 0; each < per_route; ++each) {
        world.start("runs", 4, scripts.draw());
        world.start("pair", 2, scripts.draw());
        world.start("alone", 1, scripts.draw());
    }
    world.wait(milliseconds(300));
    constexpr std::size_t disturbances = 16;
    for (std::size_t each = 0; each < disturbances; ++each) {
        world.disturb();
        if (stops && (each == 4 || each == 7)) {
            world.stop();
        }
        world.pass(milliseconds(100 + random.below(300)));
    }
    CHECK(world.pass(stream_patience));
    instant const ended = boot_clock::now();
    // No request is left, so that the stop need not wait.
    world.stop();
    while (!world.stopped() && boot_clock::now() < ended + longest_stop) {
        world.wait(milliseconds(10));
    }
    CHECK(world.stopped());
    world.wait(milliseconds(50));
    check_requests(world);
}

} // namespace camphorpoint
