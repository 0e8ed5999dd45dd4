#include "Serving/quarantine_router.hpp"

#include "Core/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace {

/// Nodes that count the ends under a content: one may be gone without the
/// others' knowing, and another may have begun a moment ago.
constexpr std::size_t counters = 3;
/// Nodes that a piece of news is handed on to. At ln(nodes) + c all hear it but
/// for a part of exp(-exp(-c)) of the cases; the rounds reach the rest.
constexpr std::size_t spread_to = 12;
/// Nodes that a node which has begun asks for what they know.
constexpr std::size_t asked_at_start = 3;
/// How often words are told to another node, and how many.
constexpr duration round_period = std::chrono::seconds(1);
constexpr std::size_t words_a_round = 16;
/// An endpoint that has ended takes longer than this to run anything again, so
/// that ends closer together are one, seen by several nodes.
constexpr duration least_restart = std::chrono::milliseconds(100);
/// Ends and contents that are remembered at the most, and for how long.
constexpr std::size_t most_remembered = 16'384;
constexpr duration remembered_for = std::chrono::minutes(10);

std::uint64_t number_of(request_fingerprint content) {
    return static_cast<std::uint64_t>(content);
}

quarantine_entry wire_of(quarantine_update const& word) {
    return {
        number_of(word.fingerprint), word.revision,
        static_cast<std::uint64_t>(
            std::chrono::ceil<std::chrono::milliseconds>(word.remaining)
                .count())};
}

quarantine_update word_of(quarantine_entry const& told) {
    // A peer's figure may be any: it must not overflow when it is added.
    constexpr std::uint64_t longest_ms = 86'400'000;
    return {
        request_fingerprint{told.fingerprint}, told.revision,
        std::chrono::milliseconds(std::min(told.remaining_ms, longest_ms))};
}

} // namespace

quarantine_router::quarantine_router(
    serving_settings const& settings, node_services& services,
    node_outbox& outbox)
    : services_(services)
    , outbox_(outbox)
    , random_(hash_text(settings.self.id.str(), settings.seed))
    , asks_left_(asked_at_start) {}

// Rendezvous hashing: a node that comes or goes moves only what it counts.
std::vector<node_id>
quarantine_router::counters_of(request_fingerprint content) const {
    std::vector<std::pair<std::uint64_t, node_id>> ranked;
    for (live_node const& each : services_.members.live_nodes()) {
        std::uint64_t const weight =
            combine_hashes(number_of(content), hash_text(each.id.str()));
        ranked.emplace_back(weight, each.id);
    }
    std::size_t const count = std::min(counters, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count),
        std::ranges::greater());
    std::vector<node_id> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back(std::move(ranked[index].second));
    }
    return result;
}

std::vector<node_id> quarantine_router::some_others(std::size_t most) {
    std::vector<node_id> others;
    for (live_node const& each : services_.members.live_nodes()) {
        if (each.id != outbox_.self()) {
            others.push_back(each.id);
        }
    }
    std::vector<node_id> chosen;
    std::ranges::sample(
        others, std::back_inserter(chosen), static_cast<std::ptrdiff_t>(most),
        random_);
    return chosen;
}

std::uint64_t quarantine_router::start_of(std::uint64_t endpoint, instant now) {
    if (ends_.size() >= most_remembered && !ends_.contains(endpoint)) {
        ends_.erase(std::ranges::min_element(
            ends_, {}, [](auto const& each) { return each.second.newest; }));
    }
    endpoint_ends& seen = ends_[endpoint];
    if (seen.starts == 0 || now >= seen.newest + least_restart) {
        ++seen.starts;
    }
    seen.newest = now;
    return combine_hashes(endpoint, seen.starts);
}

void quarantine_router::count_end(
    replica_crash_message const& end, instant now) {
    std::uint64_t const start = start_of(end.endpoint, now);
    request_fingerprint const content{end.fingerprint};
    auto const word = services_.quarantine.record_crash(content, start, now);
    if (!word) {
        return;
    }
    outbox_.act(log_event{
        event_code::content_held, log_level::warning,
        fmt::format(
            "content={} turn={} by={}", to_string(content), word->revision,
            outbox_.self().str())});
    spread(*word);
}

bool quarantine_router::on_broken(
    request_fingerprint content, endpoint_id const& at, instant now) {
    if (told_.size() < most_remembered || told_.contains(content)) {
        told_[content] = now;
    }
    replica_crash_message const end{number_of(content), hash_text(at.str())};
    count_end(end, now);
    bool others = false;
    for (node_id const& each : counters_of(content)) {
        if (each != outbox_.self()) {
            others = true;
            outbox_.send(each, end);
        }
    }
    return others;
}

void quarantine_router::on_served(request_fingerprint content, instant now) {
    clear(content, now);
    // Few contents have had an end, so that a run which ends well costs no
    // message.
    if (told_.erase(content) == 0) {
        return;
    }
    for (node_id const& each : counters_of(content)) {
        if (each != outbox_.self()) {
            outbox_.send(each, request_success_message{number_of(content)});
        }
    }
}

void quarantine_router::clear(request_fingerprint content, instant /*now*/) {
    auto const word = services_.quarantine.record_success(content);
    if (!word) {
        return;
    }
    outbox_.act(log_event{
        event_code::content_cleared, log_level::info,
        fmt::format(
            "content={} turn={} by={}", to_string(content), word->revision,
            outbox_.self().str())});
    spread(*word);
}

void quarantine_router::spread(quarantine_update const& word) {
    for (node_id const& each : some_others(spread_to)) {
        outbox_.send(each, quarantine_message{{wire_of(word)}});
    }
}

void quarantine_router::on_message(
    node_id const& /*from*/, replica_crash_message const& told, instant now) {
    count_end(told, now);
}

void quarantine_router::on_message(
    node_id const& /*from*/, request_success_message const& told, instant now) {
    clear(request_fingerprint{told.fingerprint}, now);
}

void quarantine_router::on_message(
    node_id const& from, quarantine_message const& told, instant now) {
    for (quarantine_entry const& each : told.entries) {
        quarantine_update const word = word_of(each);
        if (!services_.quarantine.apply(word, now)) {
            continue;
        }
        event_code const what = word.quarantined()
                                    ? event_code::content_held
                                    : event_code::content_cleared;
        outbox_.act(log_event{
            what, log_level::warning,
            fmt::format(
                "content={} turn={} by={}", to_string(word.fingerprint),
                word.revision, from.str())});
        spread(word);
    }
}

void quarantine_router::on_message(
    node_id const& from, quarantine_sync_request const& /*asked*/,
    instant now) {
    quarantine_message all;
    for (quarantine_update const& each :
         services_.quarantine.all_updates(now)) {
        all.entries.push_back(wire_of(each));
    }
    if (!all.entries.empty()) {
        outbox_.send(from, std::move(all));
    }
}

// Guards against a node that begins anew and runs what all others hold.
void quarantine_router::refresh_members() {
    if (asks_left_ == 0) {
        return;
    }
    for (node_id const& each : some_others(asks_left_)) {
        outbox_.send(each, quarantine_sync_request{});
        --asks_left_;
    }
}

void quarantine_router::on_tick(instant now) {
    if (now < next_round_) {
        return;
    }
    next_round_ = now + round_period;
    services_.quarantine.remove_expired(now);
    std::erase_if(told_, [now](auto const& each) {
        return now >= each.second + remembered_for;
    });
    quarantine_message message;
    for (quarantine_update const& each :
         services_.quarantine.next_batch(words_a_round, now)) {
        message.entries.push_back(wire_of(each));
    }
    if (message.entries.empty()) {
        return;
    }
    for (node_id const& each : some_others(1)) {
        outbox_.send(each, message);
    }
}

} // namespace camphorpoint
