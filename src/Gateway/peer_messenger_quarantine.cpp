#include "Core/hash.hpp"
#include "Gateway/peer_messenger.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace {

/// The report of a crash is repeated for this long: its datagram may be lost,
/// and the counting nodes may change, of which a node learns within two
/// seconds. A repeated crash is counted only once.
constexpr duration crash_repeat_period = std::chrono::milliseconds(3'000);
/// Most crashes whose reports are repeated at a time: one replica crash
/// interrupts about fifty attempts.
constexpr std::size_t max_repeated_crashes = 256;
/// Most fingerprints of which this node remembers that it has reported a crash,
/// and for how long: as long as the counting nodes keep them.
constexpr std::size_t max_reported_fingerprints = 4'096;
constexpr duration evidence_retention = std::chrono::minutes(10);
/// Quarantines in one datagram, sixteen bytes each.
constexpr std::size_t max_quarantines_per_datagram = 16;

peer_quarantine to_wire(quarantine_update const& update) {
    return {
        static_cast<std::uint64_t>(update.fingerprint), update.revision,
        clamped_milliseconds(update.remaining)};
}

} // namespace

bool peer_messenger::report_crash(
    request_fingerprint fingerprint, std::uint64_t replica) {
    instant const now = boot_clock::now();
    peer_crash const crash{static_cast<std::uint64_t>(fingerprint), replica};
    recent_crashes_.push_back({crash, now + crash_repeat_period});
    if (recent_crashes_.size() > max_repeated_crashes) {
        recent_crashes_.pop_front();
    }
    reported_fingerprints_[fingerprint] = now;
    expire_reported_fingerprints(now);
    count_crash(crash, now);
    std::set<std::string> const others = crash_counters_of(crash.fingerprint);
    for (std::string const& each : others) {
        peer_datagram message;
        message.crashes.push_back(crash);
        send(each, std::move(message));
    }
    return !others.empty();
}

// Guards against the quarantine of a request that many callers send alike,
// because of crashes that lie far apart, although attempts of it have completed
// in between: without the report each node would clear only its own evidence.
void peer_messenger::report_completion(request_fingerprint fingerprint) {
    lift_quarantine(fingerprint);
    // Few fingerprints have had a crash, so that most completed attempts cost
    // no datagrams.
    if (reported_fingerprints_.erase(fingerprint) == 0) {
        return;
    }
    auto const number = static_cast<std::uint64_t>(fingerprint);
    std::erase_if(recent_crashes_, [number](reported_crash const& each) {
        return each.crash.fingerprint == number;
    });
    report_completion_to_counters(fingerprint);
}

void peer_messenger::report_completion_to_counters(
    request_fingerprint fingerprint) {
    auto const number = static_cast<std::uint64_t>(fingerprint);
    for (std::string const& each : crash_counters_of(number)) {
        peer_datagram message;
        message.completions.push_back(number);
        send(each, std::move(message));
    }
}

void peer_messenger::lift_quarantine(request_fingerprint fingerprint) {
    auto const update = state_->quarantine.record_success(fingerprint);
    if (!update) {
        return;
    }
    state_->log_event(log_line(event_code::content_cleared)
                          .with("content", to_string(fingerprint))
                          .with("turn", update->revision)
                          .with("by", state_->own_address));
    broadcast_quarantine(*update);
}

void peer_messenger::expire_reported_fingerprints(instant now) {
    if (reported_fingerprints_.size() > max_reported_fingerprints) {
        std::erase_if(reported_fingerprints_, [now](auto const& each) {
            return now >= each.second + evidence_retention;
        });
    }
    if (reported_fingerprints_.size() > max_reported_fingerprints) {
        reported_fingerprints_.erase(reported_fingerprints_.begin());
    }
}

void peer_messenger::count_crash(peer_crash const& crash, instant now) {
    request_fingerprint const fingerprint{crash.fingerprint};
    gate_.revoke(fingerprint);
    if (auto const update =
            state_->quarantine.record_crash(fingerprint, crash.replica, now)) {
        announce_quarantine(*update);
    }
}

void peer_messenger::announce_quarantine(quarantine_update const& update) {
    state_->log_event(log_line(event_code::content_held, log_level::warning)
                          .with("content", to_string(update.fingerprint))
                          .with("turn", update.revision)
                          .with("by", state_->own_address));
    broadcast_quarantine(update);
}

// Only a few nodes count the crashes of a fingerprint, and all nodes choose the
// same ones, so that a crash costs the same number of datagrams with any number
// of nodes.
std::set<std::string>
peer_messenger::crash_counters_of(std::uint64_t fingerprint) const {
    std::set<std::string> members;
    for (std::uint64_t each = 0; each < crash_counter_nodes; ++each) {
        std::size_t const partition =
            combine_hashes(fingerprint, each) % partition_count;
        auto const holder = lease_holders_.find(partition);
        if (holder != lease_holders_.end() &&
            holder->second != state_->own_address) {
            members.insert(holder->second);
        }
    }
    return members;
}

void peer_messenger::repeat_crashes(instant now) {
    while (!recent_crashes_.empty() &&
           now >= recent_crashes_.front().repeat_until) {
        recent_crashes_.pop_front();
    }
    std::map<std::string, std::vector<peer_crash>> to;
    for (reported_crash const& each : recent_crashes_) {
        for (std::string const& member :
             crash_counters_of(each.crash.fingerprint)) {
            to[member].push_back(each.crash);
        }
    }
    for (auto& [member, ends] : to) {
        while (!ends.empty()) {
            peer_datagram message;
            message.crashes = drain_batch(ends);
            send(member, std::move(message));
        }
    }
}

void peer_messenger::broadcast_quarantine(quarantine_update const& update) {
    peer_datagram message;
    message.quarantines.push_back(to_wire(update));
    send_all(message);
}

// Quarantines are repeated for nodes that have restarted or were disconnected.
void peer_messenger::repeat_quarantines(instant now) {
    state_->quarantine.remove_expired(now);
    part_monitor_.remove_expired(now);
    peer_datagram message;
    for (quarantine_update const& each :
         state_->quarantine.next_batch(max_quarantines_per_datagram, now)) {
        message.quarantines.push_back(to_wire(each));
    }
    send_all(message);
}

void peer_messenger::handle_quarantine(
    peer_quarantine const& message, std::string const& from, instant now) {
    quarantine_update const update{
        request_fingerprint{message.fingerprint}, message.revision,
        std::chrono::milliseconds(message.remaining_ms)};
    if (!state_->quarantine.apply(update, now)) {
        return;
    }
    event_code const what = update.quarantined() ? event_code::content_held
                                                 : event_code::content_cleared;
    state_->log_event(log_line(what, log_level::warning)
                          .with("content", to_string(update.fingerprint))
                          .with("turn", update.revision)
                          .with("by", from));
}

} // namespace camphorpoint
