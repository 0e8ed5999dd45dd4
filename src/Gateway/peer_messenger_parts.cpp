#include "Gateway/peer_messenger.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

/// The report of a crash is repeated for this long: its datagram may be lost,
/// and the counting nodes may change, of which a node learns within two
/// seconds.
constexpr duration part_crash_repeat_period = milliseconds(3'000);
/// Most crashes whose reports are repeated at a time.
constexpr std::size_t max_repeated_part_crashes = 256;

std::vector<std::uint64_t>
to_numbers(std::vector<request_fingerprint> const& fingerprints) {
    std::vector<std::uint64_t> numbers;
    std::ranges::transform(
        fingerprints, std::back_inserter(numbers),
        [](auto each) { return static_cast<std::uint64_t>(each); });
    return numbers;
}

std::vector<request_fingerprint>
to_fingerprints(std::vector<std::uint64_t> const& numbers) {
    std::vector<request_fingerprint> fingerprints;
    std::ranges::transform(
        numbers, std::back_inserter(fingerprints),
        [](auto each) { return request_fingerprint{each}; });
    return fingerprints;
}

peer_part_crash to_wire(part_crash const& crash, instant now) {
    return {
        static_cast<std::uint64_t>(crash.part),
        static_cast<std::uint64_t>(crash.request),
        to_numbers(crash.companions),
        crash.replica,
        clamped_milliseconds(now - crash.attempt_began),
        clamped_milliseconds(now - crash.crashed_at)};
}

part_crash from_wire(peer_part_crash const& message, instant now) {
    return {
        request_fingerprint{message.part},
        request_fingerprint{message.request},
        to_fingerprints(message.companions),
        message.replica,
        now - milliseconds(message.attempt_age_ms),
        now - milliseconds(message.crash_age_ms)};
}

} // namespace

void peer_messenger::report_part_crash(
    std::vector<request_fingerprint> const& parts, request_fingerprint request,
    std::uint64_t replica, instant attempt_began) {
    instant const now = boot_clock::now();
    for (part_crash& crash :
         part_monitor_.on_crash(parts, request, replica, attempt_began, now)) {
        count_part_crash(crash, now);
        send_part_crash(crash, now);
        recent_part_crashes_.push_back(
            {std::move(crash), now + part_crash_repeat_period});
    }
    while (recent_part_crashes_.size() > max_repeated_part_crashes) {
        recent_part_crashes_.pop_front();
    }
}

void peer_messenger::send_part_crash(part_crash const& crash, instant now) {
    auto const part = static_cast<std::uint64_t>(crash.part);
    for (std::string const& each : crash_counters_of(part)) {
        peer_datagram message;
        message.part_crashes.push_back(to_wire(crash, now));
        send(each, std::move(message));
    }
}

void peer_messenger::repeat_part_crashes(instant now) {
    while (!recent_part_crashes_.empty() &&
           now >= recent_part_crashes_.front().repeat_until) {
        recent_part_crashes_.pop_front();
    }
    std::map<std::string, std::vector<peer_part_crash>> to;
    for (reported_part_crash const& each : recent_part_crashes_) {
        auto const part = static_cast<std::uint64_t>(each.crash.part);
        for (std::string const& member : crash_counters_of(part)) {
            to[member].push_back(to_wire(each.crash, now));
        }
    }
    for (auto& [member, crashes] : to) {
        while (!crashes.empty()) {
            peer_datagram message;
            message.part_crashes = drain_batch(crashes);
            send(member, std::move(message));
        }
    }
}

void peer_messenger::count_part_crash(part_crash const& crash, instant now) {
    auto const inquiry = part_monitor_.count(crash, now);
    if (!inquiry) {
        return;
    }
    peer_datagram message;
    message.part_inquiries.push_back(
        {to_numbers(inquiry->parts), clamped_milliseconds(inquiry->since)});
    send_all(message);
}

bool peer_messenger::try_quarantined_part(request_fingerprint part) {
    instant const now = boot_clock::now();
    bool const tried = gate_node_of(part, now) == state_->own_address &&
                       part_monitor_.try_quarantined(part, now);
    if (tried) {
        state_->log_event(
            log_line(event_code::part_tried).with("content", to_string(part)));
    }
    return tried;
}

void peer_messenger::report_output(
    std::vector<request_fingerprint> const& parts) {
    instant const now = boot_clock::now();
    for (request_fingerprint const part : part_monitor_.on_output(parts, now)) {
        std::erase_if(recent_part_crashes_, [part](auto const& each) {
            return each.crash.part == part;
        });
        report_completion_to_counters(part);
    }
    for (request_fingerprint const key : quarantine_keys(parts)) {
        lift_quarantine(key);
    }
}

void peer_messenger::handle_part_messages(
    peer_datagram const& message, instant now) {
    for (peer_part_crash const& each : message.part_crashes) {
        count_part_crash(from_wire(each, now), now);
    }
    peer_datagram reply;
    for (peer_part_inquiry const& each : message.part_inquiries) {
        part_inquiry const inquiry{
            to_fingerprints(each.parts), milliseconds(each.since_ms)};
        std::ranges::copy(
            to_numbers(part_monitor_.answer(inquiry, now)),
            std::back_inserter(reply.completions));
    }
    if (!reply.empty()) {
        send(message.from, std::move(reply));
    }
    for (std::uint64_t const each : message.completions) {
        part_monitor_.on_reported_output(request_fingerprint{each}, now);
    }
}

void peer_messenger::quarantine_confirmed_parts(instant now) {
    for (quarantine_update const& update :
         part_monitor_.quarantine_confirmed(now)) {
        announce_quarantine(update);
    }
}

} // namespace camphorpoint
