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

/// Number of nodes that count the crashes of a request. Several, since one may
/// be dead without the others knowing, and another may have just started.
constexpr std::size_t crash_counter_count = 3;
/// Number of nodes that each node forwards a new update to. With a fan-out of
/// ln(nodes) + c every node receives the update with probability exp(-exp(-c));
/// the periodic rounds reach the remaining nodes.
constexpr std::size_t gossip_fanout = 12;
/// Number of nodes that are asked for output on a prompt part. A part that many
/// requests share is known to any of them.
constexpr std::size_t inquiry_fanout = 32;
/// Number of nodes that a starting node requests all updates from.
constexpr std::size_t sync_requests_at_start = 3;
/// Interval of the periodic rounds, and the number of updates sent in each.
constexpr duration anti_entropy_period = std::chrono::seconds(1);
constexpr std::size_t updates_per_round = 16;
/// A crashed endpoint takes longer than this to run a request again. Crash
/// reports that are closer together are therefore reports of one crash from
/// several nodes.
constexpr duration min_restart_time = std::chrono::milliseconds(100);
/// Maximum number of endpoints and of requests that are tracked, and how long a
/// request is tracked after its last crash.
constexpr std::size_t max_tracked = 16'384;
constexpr duration retention_period = std::chrono::minutes(10);

std::uint64_t to_number(request_fingerprint fingerprint) {
    return static_cast<std::uint64_t>(fingerprint);
}

// The durations come from a peer. The bound prevents an overflow when they are
// added to a time.
duration to_duration(std::uint64_t count) {
    constexpr std::uint64_t longest_ms = 86'400'000;
    return std::chrono::milliseconds(std::min(count, longest_ms));
}

std::uint64_t to_milliseconds(duration time) {
    using std::chrono::milliseconds;
    auto const count = std::chrono::ceil<milliseconds>(time).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

quarantine_entry to_entry(quarantine_update const& update) {
    return {
        to_number(update.fingerprint), update.revision,
        to_milliseconds(update.remaining)};
}

quarantine_update to_update(quarantine_entry const& entry) {
    return {
        request_fingerprint{entry.fingerprint}, entry.revision,
        to_duration(entry.remaining_ms)};
}

} // namespace

quarantine_router::quarantine_router(
    serving_settings const& settings, node_services& services,
    node_outbox& outbox)
    : services_(services)
    , outbox_(outbox)
    , random_(hash_text(settings.self.id.str(), settings.seed))
    , parts_(services.quarantine)
    , sync_requests_left_(sync_requests_at_start) {}

// Rendezvous hashing: when a node joins or leaves, only the requests that it
// counts move.
std::vector<node_id>
quarantine_router::crash_counter_nodes(request_fingerprint fingerprint) const {
    std::vector<std::pair<std::uint64_t, node_id>> ranked;
    for (live_node const& each : services_.members.live_nodes()) {
        std::uint64_t const weight =
            combine_hashes(to_number(fingerprint), hash_text(each.id.str()));
        ranked.emplace_back(weight, each.id);
    }
    std::size_t const count = std::min(crash_counter_count, ranked.size());
    std::ranges::partial_sort(
        ranked, ranked.begin() + static_cast<std::ptrdiff_t>(count),
        std::ranges::greater());
    std::vector<node_id> result;
    for (std::size_t index = 0; index < count; ++index) {
        result.push_back(std::move(ranked[index].second));
    }
    return result;
}

std::vector<node_id> quarantine_router::sample_other_nodes(std::size_t most) {
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

std::uint64_t
quarantine_router::crash_id_of(std::uint64_t endpoint, instant now) {
    if (crashes_.size() >= max_tracked && !crashes_.contains(endpoint)) {
        crashes_.erase(
            std::ranges::min_element(crashes_, {}, [](auto const& each) {
                return each.second.last_seen;
            }));
    }
    endpoint_crashes& seen = crashes_[endpoint];
    if (seen.crashes == 0 || now >= seen.last_seen + min_restart_time) {
        ++seen.crashes;
    }
    seen.last_seen = now;
    return combine_hashes(endpoint, seen.crashes);
}

void quarantine_router::count_crash(
    replica_crash_message const& crash, instant now) {
    std::uint64_t const start = crash_id_of(crash.endpoint, now);
    request_fingerprint const fingerprint{crash.fingerprint};
    auto const update =
        services_.quarantine.record_crash(fingerprint, start, now);
    if (update) {
        announce(*update);
    }
}

void quarantine_router::announce(quarantine_update const& update) {
    outbox_.emit(log_event{
        event_code::content_held, log_level::warning,
        fmt::format(
            "content={} turn={} by={}", to_string(update.fingerprint),
            update.revision, outbox_.self().str())});
    gossip(update);
}

bool quarantine_router::on_crash(
    request_fingerprint fingerprint, endpoint_id const& at, instant now) {
    if (reported_.size() < max_tracked || reported_.contains(fingerprint)) {
        reported_[fingerprint] = now;
    }
    replica_crash_message const crash{
        to_number(fingerprint), hash_text(at.str())};
    count_crash(crash, now);
    bool has_other_counters = false;
    for (node_id const& each : crash_counter_nodes(fingerprint)) {
        if (each != outbox_.self()) {
            has_other_counters = true;
            outbox_.send(each, crash);
        }
    }
    return has_other_counters;
}

void quarantine_router::on_success(
    request_fingerprint fingerprint, instant now) {
    record_success(fingerprint, now);
    // Few requests have a reported crash, so a successful attempt usually costs
    // no message.
    if (reported_.erase(fingerprint) == 0) {
        return;
    }
    for (node_id const& each : crash_counter_nodes(fingerprint)) {
        if (each != outbox_.self()) {
            outbox_.send(each, request_success_message{to_number(fingerprint)});
        }
    }
}

void quarantine_router::record_success(
    request_fingerprint fingerprint, instant /*now*/) {
    auto const update = services_.quarantine.record_success(fingerprint);
    if (!update) {
        return;
    }
    outbox_.emit(log_event{
        event_code::content_cleared, log_level::info,
        fmt::format(
            "content={} turn={} by={}", to_string(fingerprint),
            update->revision, outbox_.self().str())});
    gossip(*update);
}

void quarantine_router::on_part_crash(
    std::vector<request_fingerprint> const& parts, request_fingerprint request,
    endpoint_id const& at, instant attempt_began, instant now) {
    std::uint64_t const endpoint = hash_text(at.str());
    std::uint64_t const process = crash_id_of(endpoint, now);
    for (part_crash const& crash :
         parts_.on_crash(parts, request, process, attempt_began, now)) {
        part_crash_message message;
        message.part = to_number(crash.part);
        message.request = to_number(crash.request);
        std::ranges::transform(
            crash.companions, std::back_inserter(message.companions),
            to_number);
        message.endpoint = endpoint;
        message.attempt_age_ms = to_milliseconds(now - crash.attempt_began);
        count_part_crash(message, now);
        for (node_id const& each : crash_counter_nodes(crash.part)) {
            if (each != outbox_.self()) {
                outbox_.send(each, message);
            }
        }
    }
}

void quarantine_router::count_part_crash(
    part_crash_message const& message, instant now) {
    part_crash crash;
    crash.part = request_fingerprint{message.part};
    crash.request = request_fingerprint{message.request};
    for (std::uint64_t const each : message.companions) {
        crash.companions.push_back(request_fingerprint{each});
    }
    crash.replica = crash_id_of(message.endpoint, now);
    crash.attempt_began = now - to_duration(message.attempt_age_ms);
    crash.crashed_at = now - to_duration(message.crash_age_ms);
    auto const inquiry = parts_.count(crash, now);
    if (!inquiry) {
        return;
    }
    part_inquiry_message question;
    std::ranges::transform(
        inquiry->parts, std::back_inserter(question.parts), to_number);
    question.since_ms = to_milliseconds(inquiry->since);
    for (node_id const& each : sample_other_nodes(inquiry_fanout)) {
        outbox_.send(each, question);
    }
}

void quarantine_router::on_output(
    std::vector<request_fingerprint> const& parts, instant now) {
    for (request_fingerprint const part : parts_.on_output(parts, now)) {
        for (node_id const& each : crash_counter_nodes(part)) {
            if (each != outbox_.self()) {
                outbox_.send(each, part_output_message{{to_number(part)}});
            }
        }
    }
    for (request_fingerprint const key : quarantine_keys(parts)) {
        record_success(key, now);
    }
}

void quarantine_router::on_message(
    node_id const& /*from*/, part_crash_message const& message, instant now) {
    count_part_crash(message, now);
}

void quarantine_router::on_message(
    node_id const& from, part_inquiry_message const& message, instant now) {
    part_inquiry inquiry;
    for (std::uint64_t const each : message.parts) {
        inquiry.parts.push_back(request_fingerprint{each});
    }
    inquiry.since = to_duration(message.since_ms);
    part_output_message answer;
    std::ranges::transform(
        parts_.answer(inquiry, now), std::back_inserter(answer.parts),
        to_number);
    if (!answer.parts.empty()) {
        outbox_.send(from, std::move(answer));
    }
}

void quarantine_router::on_message(
    node_id const& /*from*/, part_output_message const& message, instant now) {
    for (std::uint64_t const each : message.parts) {
        parts_.on_reported_output(request_fingerprint{each}, now);
    }
}

void quarantine_router::gossip(quarantine_update const& update) {
    for (node_id const& each : sample_other_nodes(gossip_fanout)) {
        outbox_.send(each, quarantine_message{{to_entry(update)}});
    }
}

void quarantine_router::on_message(
    node_id const& /*from*/, replica_crash_message const& message,
    instant now) {
    count_crash(message, now);
}

void quarantine_router::on_message(
    node_id const& /*from*/, request_success_message const& message,
    instant now) {
    record_success(request_fingerprint{message.fingerprint}, now);
}

void quarantine_router::on_message(
    node_id const& from, quarantine_message const& message, instant now) {
    for (quarantine_entry const& each : message.entries) {
        quarantine_update const update = to_update(each);
        if (!services_.quarantine.apply(update, now)) {
            continue;
        }
        event_code const what = update.quarantined()
                                    ? event_code::content_held
                                    : event_code::content_cleared;
        outbox_.emit(log_event{
            what, log_level::warning,
            fmt::format(
                "content={} turn={} by={}", to_string(update.fingerprint),
                update.revision, from.str())});
        gossip(update);
    }
}

void quarantine_router::on_message(
    node_id const& from, quarantine_sync_request const& /*asked*/,
    instant now) {
    quarantine_message all;
    for (quarantine_update const& each :
         services_.quarantine.all_updates(now)) {
        all.entries.push_back(to_entry(each));
    }
    if (!all.entries.empty()) {
        outbox_.send(from, std::move(all));
    }
}

// Guards against a starting node that runs requests which all other nodes have
// quarantined.
void quarantine_router::refresh_members() {
    if (sync_requests_left_ == 0) {
        return;
    }
    for (node_id const& each : sample_other_nodes(sync_requests_left_)) {
        outbox_.send(each, quarantine_sync_request{});
        --sync_requests_left_;
    }
}

void quarantine_router::on_tick(instant now) {
    for (quarantine_update const& each : parts_.quarantine_confirmed(now)) {
        announce(each);
    }
    if (now < next_round_at_) {
        return;
    }
    next_round_at_ = now + anti_entropy_period;
    services_.quarantine.remove_expired(now);
    parts_.remove_expired(now);
    std::erase_if(reported_, [now](auto const& each) {
        return now >= each.second + retention_period;
    });
    quarantine_message message;
    for (quarantine_update const& each :
         services_.quarantine.next_batch(updates_per_round, now)) {
        message.entries.push_back(to_entry(each));
    }
    if (message.entries.empty()) {
        return;
    }
    for (node_id const& each : sample_other_nodes(1)) {
        outbox_.send(each, message);
    }
}

} // namespace camphorpoint
