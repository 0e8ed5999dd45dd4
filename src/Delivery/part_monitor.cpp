#include "Delivery/part_monitor.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorpoint {

namespace {

/// How long this node remembers that it has reported a crash under a part, and
/// for how many parts: as long as the counting nodes keep the evidence.
constexpr duration report_retention = std::chrono::minutes(10);
constexpr std::size_t max_reports = 4'096;

/// When a quarantined part may be tried, from the begin of its quarantine on: a
/// replica that has crashed is back after some seconds. Later than this a node
/// that has started anew would try it once more.
constexpr duration trial_from = std::chrono::seconds(3);
constexpr duration trial_until = std::chrono::seconds(120);
/// A trial while replicas crash, for whatever reason, shows nothing.
constexpr duration calm_before_trial = std::chrono::seconds(1);
/// A replica that goes on crashing for another reason must not leave a sound
/// part quarantined.
constexpr duration trial_in_any_case = std::chrono::seconds(30);

} // namespace

bool part_monitor::already_reported(
    request_fingerprint part, std::uint64_t replica, instant now) {
    auto const [found, inserted] = reports_.try_emplace(part);
    bool const repeated = !inserted && found->second.replica == replica;
    found->second = {replica, now};
    return repeated;
}

std::vector<part_crash> part_monitor::on_crash(
    std::vector<request_fingerprint> const& parts, request_fingerprint request,
    std::uint64_t replica, instant attempt_began, instant now) {
    baseline_.record(parts, replica, now);
    std::vector<part_crash> crashes;
    for (request_fingerprint const part : parts) {
        if (already_reported(part, replica, now)) {
            continue;
        }
        part_crash crash{part, request, {}, replica, attempt_began, now};
        std::ranges::copy_if(
            parts, std::back_inserter(crash.companions),
            [part](request_fingerprint each) { return each != part; });
        crashes.push_back(std::move(crash));
    }
    if (reports_.size() > max_reports) {
        remove_expired(now);
    }
    return crashes;
}

std::vector<request_fingerprint> part_monitor::on_output(
    std::vector<request_fingerprint> const& parts, instant now) {
    baseline_.record(parts, std::nullopt, now);
    std::vector<request_fingerprint> reported;
    for (request_fingerprint const part : parts) {
        outputs_.record(part, now);
        suspects_.record_output(part, now);
        if (reports_.erase(part) > 0) {
            reported.push_back(part);
        }
    }
    return reported;
}

std::optional<part_inquiry>
part_monitor::count(part_crash const& crash, instant now) {
    if (quarantine_->quarantined_for(crash.part, now)) {
        return std::nullopt;
    }
    auto inquiry = suspects_.record_crash(crash, baseline_, now);
    if (inquiry) {
        for (request_fingerprint const part : answer(*inquiry, now)) {
            suspects_.record_output(part, now);
        }
    }
    return inquiry;
}

std::vector<request_fingerprint>
part_monitor::answer(part_inquiry const& inquiry, instant now) const {
    std::vector<request_fingerprint> seen;
    std::ranges::copy_if(
        inquiry.parts, std::back_inserter(seen), [&](request_fingerprint part) {
            return outputs_.seen_since(part, now - inquiry.since);
        });
    return seen;
}

std::vector<request_fingerprint>
quarantine_keys(std::vector<request_fingerprint> const& parts) {
    std::vector<request_fingerprint> keys = parts;
    for (std::size_t left = 0; left < parts.size(); ++left) {
        for (std::size_t right = left + 1; right < parts.size(); ++right) {
            keys.push_back(fingerprint_combination(parts[left], parts[right]));
        }
    }
    return keys;
}

bool part_monitor::try_quarantined(request_fingerprint part, instant now) {
    auto const age = quarantine_->quarantined_since(part, now);
    bool const due = age && *age >= trial_from && *age < trial_until;
    if (!due) {
        return false;
    }
    bool const calm = *age >= trial_in_any_case ||
                      !baseline_.crashed_since(now - calm_before_trial);
    return calm && tried_.insert(part).second;
}

std::vector<quarantine_update> part_monitor::quarantine_confirmed(instant now) {
    std::vector<quarantine_update> updates;
    for (request_fingerprint const each : suspects_.take_confirmed(now)) {
        if (auto const update = quarantine_->quarantine(each, now)) {
            updates.push_back(*update);
        }
    }
    return updates;
}

void part_monitor::remove_expired(instant now) {
    suspects_.remove_expired(now);
    std::erase_if(reports_, [now](auto const& each) {
        return now >= each.second.at + report_retention;
    });
    if (reports_.size() > max_reports) {
        reports_.erase(reports_.begin());
    }
    std::erase_if(tried_, [&](request_fingerprint each) {
        return !quarantine_->quarantined_for(each, now);
    });
}

} // namespace camphorpoint
