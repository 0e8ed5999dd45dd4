#include "Core/hash.hpp"
#include "Gateway/peer_messenger.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

namespace {

/// An end is told again for so long: its datagram may be lost, and who counts
/// may change, of which a node learns within two seconds. It is counted once
/// all the same.
constexpr duration end_told_for = std::chrono::milliseconds(3'000);
/// Ends told again at a time: of a replica that ends some fifty runs break.
constexpr std::size_t most_ends = 256;
/// Contents whose ends this node remembers to have told, and for how long: as
/// long as those who count them do.
constexpr std::size_t most_told_contents = 4'096;
constexpr duration evidence_kept = std::chrono::minutes(10);
/// Words of contents in one datagram, sixteen bytes each.
constexpr std::size_t most_quarantines = 16;

peer_quarantine wire_of(quarantine_update const& word) {
    return {
        static_cast<std::uint64_t>(word.fingerprint), word.revision,
        clamped_milliseconds(word.remaining)};
}

} // namespace

bool peer_messenger::report_crash(
    request_fingerprint content, std::uint64_t replica) {
    instant const now = boot_clock::now();
    peer_crash const end{static_cast<std::uint64_t>(content), replica};
    ends_.push_back({end, now + end_told_for});
    if (ends_.size() > most_ends) {
        ends_.pop_front();
    }
    told_contents_[content] = now;
    forget_told_contents(now);
    count_end(end, now);
    std::set<std::string> const others = counters_of(end.content);
    for (std::string const& each : others) {
        peer_datagram message;
        message.ends.push_back(end);
        send(each, std::move(message));
    }
    return !others.empty();
}

// Guards against a content that many ask for in the same words and that is held
// for ends that lie apart, though it has ended well in between: each node would
// clear it of its own evidence only.
void peer_messenger::report_completion(request_fingerprint content) {
    clear(content);
    // Few contents have had an end, so that a run which ends well costs
    // nothing.
    if (told_contents_.erase(content) == 0) {
        return;
    }
    auto const number = static_cast<std::uint64_t>(content);
    std::erase_if(ends_, [number](told_end const& each) {
        return each.end.content == number;
    });
    for (std::string const& each : counters_of(number)) {
        peer_datagram message;
        message.completions.push_back(number);
        send(each, std::move(message));
    }
}

void peer_messenger::clear(request_fingerprint content) {
    auto const word = state_->quarantine.record_success(content);
    if (!word) {
        return;
    }
    state_->log_event(log_line(event_code::content_cleared)
                          .with("content", to_string(content))
                          .with("turn", word->revision)
                          .with("by", state_->own_address));
    broadcast_quarantine(*word);
}

void peer_messenger::forget_told_contents(instant now) {
    if (told_contents_.size() > most_told_contents) {
        std::erase_if(told_contents_, [now](auto const& each) {
            return now >= each.second + evidence_kept;
        });
    }
    if (told_contents_.size() > most_told_contents) {
        told_contents_.erase(told_contents_.begin());
    }
}

void peer_messenger::count_end(peer_crash const& end, instant now) {
    request_fingerprint const content{end.content};
    gate_.revoke(content);
    if (auto const word =
            state_->quarantine.record_crash(content, end.replica, now)) {
        state_->log_event(log_line(event_code::content_held, log_level::warning)
                              .with("content", to_string(content))
                              .with("turn", word->revision)
                              .with("by", state_->own_address));
        broadcast_quarantine(*word);
    }
}

// Few nodes count a content, the same ones for all, so that an end costs the
// same number of datagrams with any number of nodes.
std::set<std::string> peer_messenger::counters_of(std::uint64_t content) const {
    std::set<std::string> members;
    for (std::uint64_t each = 0; each < crash_counter_nodes; ++each) {
        std::size_t const partition =
            combine_hashes(content, each) % partition_count;
        auto const owner = owners_.find(partition);
        if (owner != owners_.end() && owner->second != state_->own_address) {
            members.insert(owner->second);
        }
    }
    return members;
}

void peer_messenger::repeat_ends(instant now) {
    while (!ends_.empty() && now >= ends_.front().until) {
        ends_.pop_front();
    }
    std::map<std::string, std::vector<peer_crash>> to;
    for (told_end const& each : ends_) {
        for (std::string const& member : counters_of(each.end.content)) {
            to[member].push_back(each.end);
        }
    }
    for (auto& [member, ends] : to) {
        while (!ends.empty()) {
            peer_datagram message;
            message.ends = drain_batch(ends);
            send(member, std::move(message));
        }
    }
}

void peer_messenger::broadcast_quarantine(quarantine_update const& word) {
    peer_datagram message;
    message.quarantines.push_back(wire_of(word));
    send_all(message);
}

// A node that has begun anew, or was cut off, hears them again from everybody.
void peer_messenger::repeat_quarantines(instant now) {
    state_->quarantine.remove_expired(now);
    peer_datagram message;
    for (quarantine_update const& each :
         state_->quarantine.next_batch(most_quarantines, now)) {
        message.quarantines.push_back(wire_of(each));
    }
    send_all(message);
}

void peer_messenger::take_quarantine(
    peer_quarantine const& told, std::string const& from, instant now) {
    quarantine_update const word{
        request_fingerprint{told.content}, told.turn,
        std::chrono::milliseconds(told.left_ms)};
    if (!state_->quarantine.apply(word, now)) {
        return;
    }
    event_code const what = word.quarantined() ? event_code::content_held
                                               : event_code::content_cleared;
    state_->log_event(log_line(what, log_level::warning)
                          .with("content", to_string(word.fingerprint))
                          .with("turn", word.revision)
                          .with("by", from));
}

} // namespace camphorpoint
