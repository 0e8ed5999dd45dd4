#include "test/gateway/attempt_overlaps.hpp"
#include "test/gateway/caller_stream.hpp"
#include "test/gateway/gateway_fixture.hpp"
#include "test/gateway/scripted_replica.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;
using testing::attempt_record;
using testing::body_framing;
using testing::caller_stream;
using testing::disconnect_kind;
using testing::gateway_fixture;
using testing::scripted_attempt;
using testing::scripted_replica;

namespace {

constexpr unsigned stream_events = 6;
constexpr unsigned replicas = 10;
constexpr milliseconds patience{7'500};
/// A request may end this long before its deadline.
constexpr milliseconds slack{150};
/// A node reads an answer for 100 ms beyond the deadline, and a busy machine is
/// late.
constexpr milliseconds longest_delay{300};
constexpr milliseconds for_good{60'000};
constexpr milliseconds stop_accepts{200};
/// Attempts that a request may have when replicas refuse it.
constexpr std::size_t max_attempts = 4;

/// Uniformly distributed numbers of a seed.
class random_numbers {
public:
    explicit random_numbers(unsigned seed)
        : engine_(seed) {}
    std::size_t below(std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(
            engine_);
    }
    bool one_in(std::size_t count) { return below(count) == 0; }

private:
    std::mt19937 engine_;
};

/// Draws what the replicas do with the attempts of one request.
class script_generator {
public:
    explicit script_generator(random_numbers& random)
        : random_(&random) {}

    std::deque<scripted_attempt> draw() {
        breaks_ = 0;
        std::deque<scripted_attempt> attempts;
        attempts.push_back(draw_attempt(random_->below(9)));
        while (attempts.size() < max_attempts) {
            attempts.push_back(draw_attempt(random_->below(12)));
        }
        return attempts;
    }

private:
    /// @param kind 0 to 5 for an attempt that writes the whole stream
    scripted_attempt draw_attempt(std::size_t kind) {
        scripted_attempt attempt;
        if (kind == 6) {
            attempt.status = 503;
            attempt.not_executed = true;
            return attempt;
        }
        for (std::size_t more = 1 + random_->below(3); more > 0; --more) {
            attempt.silences[random_->below(body_bytes())] = draw_silence();
        }
        attempt.piece =
            random_->one_in(2) ? 1 + random_->below(30) : scripted_attempt::all;
        if (random_->one_in(10)) {
            attempt.framing = body_framing::connection;
        }
        switch (kind) {
        case 7:
            attempt.closes_before_head = may_break();
            break;
        case 8:
            if (may_break()) {
                constexpr std::size_t first_event = 20;
                bool const early = random_->one_in(2);
                attempt.bytes =
                    random_->below(early ? first_event : body_bytes());
                attempt.cut = random_->one_in(2) ? disconnect_kind::closed
                                                 : disconnect_kind::reset;
            }
            break;
        case 9:
            attempt.status = 500;
            break;
        case 10:
            attempt.silence_before_head = draw_silence();
            break;
        case 11:
            attempt.silence_before_head = for_good;
            break;
        default:
            break;
        }
        return attempt;
    }
    /// A third attempt that breaks off would put the request in quarantine.
    bool may_break() { return ++breaks_ <= 2; }
    milliseconds draw_silence() {
        return milliseconds(200 + random_->below(1'900));
    }
    static std::size_t body_bytes() {
        return stream_events * scripted_replica::event(100, 1).size();
    }

    random_numbers* random_;
    unsigned breaks_ = 0;
};

struct disturbed_request {
    std::string path;
    std::size_t allowed = 0;
    std::deque<scripted_attempt> script;
    instant began;
    std::optional<fetch_result> answer;
    std::optional<instant> ended;
};

/// One node in front of replicas that answer as scripted, whose configuration
/// and registry change while streams are forwarded.
class disturbed_world {
public:
    explicit disturbed_world(random_numbers& random)
        : random_(&random)
        , world_([](gateway_fixture& before) {
            before.settings.resends.slack = 1e6;
            before.settings.stream_lifetime = milliseconds(0);
            before.settings.stop_accepts = stop_accepts;
            before.settings.stop_limit = patience + milliseconds(1'500);
        })
        , replica_(world_.loop, stream_events) {
        REQUIRE(world_.loop.run_until([this] { return world_.node->ready(); }));
        configure(routes(patience, "scripted"));
        for (unsigned each = 0; each < replicas; ++each) {
            list(each);
        }
        endpoint_id const last(fmt::format("s{}", replicas - 1));
        REQUIRE(world_.loop.run_until([&] {
            return world_.node->configuration_version() == version_ &&
                   world_.node->knows_replica(last);
        }));
    }
    ~disturbed_world() {
        // It can't be stopped once more.
        world_.loop.run_until([this] { return stopped_at_.has_value(); });
        world_.keep_stopped(std::move(world_.node));
    }

    void start(
        std::string_view route, std::size_t allowed,
        std::deque<scripted_attempt> script) {
        disturbed_request& request = requests_.emplace_back();
        request.path = fmt::format("/{}/{}", route, requests_.size());
        request.allowed = allowed;
        request.script = script;
        request.began = boot_clock::now();
        replica_.scripts[request.path] = std::move(script);
        world_.stream_from_node_async(
            0, request.path, patience, request.answer);
    }

    /// Applies a change twice.
    void disturb() {
        constexpr milliseconds soon{40};
        std::size_t const kind = random_->below(7);
        std::size_t const which = random_->below(replicas);
        for (unsigned twice = 0; twice < 2; ++twice) {
            change(kind, which);
            pass(soon);
        }
    }

    void stop() {
        world_.node->drain([this] { stopped_at_ = boot_clock::now(); });
    }
    bool stopped() const noexcept { return stopped_at_.has_value(); }

    /// Runs for the time given, or until all requests have ended.
    /// @returns true when they have
    bool pass(milliseconds time) {
        return within(world_, time, [this] {
            instant const now = boot_clock::now();
            bool all = true;
            for (disturbed_request& each : requests_) {
                all = all && each.answer.has_value();
                if (each.answer && !each.ended) {
                    each.ended = now;
                }
            }
            return all;
        });
    }
    void wait(milliseconds time) {
        within(world_, time, [] { return false; });
    }

    std::deque<disturbed_request> const& requests() const noexcept {
        return requests_;
    }
    caller_stream stream(disturbed_request const& request) const {
        caller_stream caller(stream_events);
        // Any other answer is a refusal, or a replica's failure.
        if (request.answer->response.status == 200) {
            caller.add_answer(*request.answer, replica_.last_event_ids);
        }
        return caller;
    }
    /// @returns the numbers of the request's attempts, from 1
    std::vector<std::size_t> attempts(disturbed_request const& request) const {
        std::vector<std::size_t> result;
        for (std::size_t each = 0; each < replica_.records.size(); ++each) {
            if (replica_.records[each].target == request.path) {
                result.push_back(each + 1);
            }
        }
        return result;
    }
    /// @returns when the request was sent on for the first time, or else when
    ///          it was sent by its caller
    instant began(disturbed_request const& request) const {
        auto const all = attempts(request);
        return all.empty() ? request.began : record(all.front()).began;
    }
    attempt_record const& record(std::size_t attempt) const {
        return replica_.records[attempt - 1];
    }
    /// @returns the last event that the caller had when the attempt was sent
    unsigned after(std::size_t attempt) const {
        return replica_.last_event_ids[attempt - 1];
    }

private:
    static std::string routes(milliseconds timeout, std::string_view service) {
        std::string all;
        for (auto const& [name, attempts] :
             {std::pair("runs", 4), std::pair("pair", 2),
              std::pair("alone", 1)}) {
            all += fmt::format(
                R"({{"name":"{0}","hostname":"h","path_prefix":"/{0}/",)"
                R"("type":"streaming","timeout_ms":{1},)"
                R"("target_latency_ms":800,"priority":0,"service":"{2}",)"
                R"("attempts":{3},"resumable":true}},)",
                name, timeout.count(), service, attempts);
        }
        return all;
    }
    void configure(std::string const& routes) {
        world_.configure(++version_, routes);
    }
    void list(std::size_t which, std::string_view state = "ready") {
        std::string entry = replica_.entry("scripted");
        std::string_view const ready = "ready";
        entry.replace(entry.find(ready), ready.size(), state);
        world_.metadata.store().put(
            "keyed.servers", fmt::format("s{}", which), entry);
    }
    /// At most three replicas are away at a time.
    void take_away(std::size_t which) {
        std::erase(away_, which);
        away_.push_back(which);
        if (away_.size() > 3) {
            list(away_.front());
            away_.pop_front();
        }
    }
    void change(std::size_t kind, std::size_t which) {
        constexpr milliseconds brief{500};
        switch (kind) {
        case 0:
            configure(routes(patience, "scripted"));
            break;
        case 1:
            configure(routes(brief, "scripted"));
            break;
        case 2:
            configure(routes(patience, "app"));
            break;
        case 3:
            configure("");
            break;
        case 4:
            list(which, "draining");
            take_away(which);
            break;
        case 5:
            world_.metadata.store().put(
                "keyed.servers", fmt::format("s{}", which), "");
            take_away(which);
            break;
        default:
            std::erase(away_, which);
            list(which);
            break;
        }
    }

    random_numbers* random_;
    gateway_fixture world_;
    scripted_replica replica_;
    std::deque<disturbed_request> requests_;
    std::deque<std::size_t> away_;
    unsigned version_ = 1;
    std::optional<instant> stopped_at_;
};

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
    instant const deadline = world.began(request) + patience;
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
    CHECK(testing::overlap_problem(records) == "");
    CHECK(executed <= request.allowed);
    CHECK(attempts.size() <= std::max(request.allowed, max_attempts));
}

void check_requests(disturbed_world const& world) {
    std::size_t complete = 0;
    for (disturbed_request const& each : world.requests()) {
        caller_stream const caller = world.stream(each);
        INFO("request " << each.path << ", events " << caller.last());
        CHECK(caller.problem() == "");
        CHECK(*each.ended < world.began(each) + patience + longest_delay);
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
    disturbed_world world(random);
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
    CHECK(world.pass(patience));
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
