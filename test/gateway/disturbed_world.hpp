#pragma once

#include "test/gateway/caller_stream.hpp"
#include "test/gateway/gateway_fixture.hpp"
#include "test/gateway/scripted_replica.hpp"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorpoint::testing {

using std::chrono::milliseconds;

inline constexpr unsigned stream_events = 6;
inline constexpr unsigned disturbed_replicas = 10;
inline constexpr milliseconds stream_patience{7'500};
/// Attempts that a request may have when replicas refuse it.
inline constexpr std::size_t max_attempts = 4;

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
    /// Its route may have had a brief time-out when it was sent.
    bool brief = false;
};

/// One node in front of replicas that answer as scripted, whose configuration
/// and registry change while streams are forwarded.
class disturbed_world {
public:
    /// @param stop_accepts how long a node that is being stopped sends requests
    ///                     that may outlast the stop
    /// @param stop_limit   the time that it has
    disturbed_world(
        random_numbers& random, milliseconds stop_accepts,
        milliseconds stop_limit)
        : random_(&random)
        , world_([=](gateway_fixture& before) {
            before.settings.resends.slack = 1e6;
            before.settings.stream_lifetime = milliseconds(0);
            before.settings.stop_accepts = stop_accepts;
            before.settings.stop_limit = stop_limit;
        })
        , replica_(world_.loop, stream_events) {
        REQUIRE(world_.loop.run_until([this] { return world_.node->ready(); }));
        configure(routes(stream_patience, "scripted"));
        for (unsigned each = 0; each < disturbed_replicas; ++each) {
            list(each);
        }
        endpoint_id const last(fmt::format("s{}", disturbed_replicas - 1));
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
        request.brief = request.began < brief_until_;
        replica_.scripts[request.path] = std::move(script);
        world_.stream_from_node_async(
            0, request.path, stream_patience, request.answer);
    }

    /// Applies a change twice.
    void disturb() {
        constexpr milliseconds soon{40};
        std::size_t const kind = random_->below(7);
        std::size_t const which = random_->below(disturbed_replicas);
        for (unsigned twice = 0; twice < 2; ++twice) {
            change(kind, which);
            pass(soon);
        }
    }

    /// Brings back the routes that a change has moved, shortened or dropped.
    void restore_routes() { configure(routes(stream_patience, "scripted")); }

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
        constexpr milliseconds longest_update{500};
        if (brief_until_ == instant::max()) {
            brief_until_ = boot_clock::now() + longest_update;
        }
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
            configure(routes(stream_patience, "scripted"));
            break;
        case 1:
            configure(routes(brief, "scripted"));
            brief_until_ = instant::max();
            break;
        case 2:
            configure(routes(stream_patience, "app"));
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
    /// Until when new requests may have the brief time-out.
    instant brief_until_{};
    std::optional<instant> stopped_at_;
};

} // namespace camphorpoint::testing
