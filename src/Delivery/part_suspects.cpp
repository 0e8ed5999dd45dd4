#include "Delivery/part_suspects.hpp"

#include <algorithm>
#include <iterator>

namespace camphorpoint {

namespace {

/// More crashes than these are not told apart.
constexpr std::size_t max_replicas = 64;
constexpr std::size_t requests_to_confirm = 2;
/// Nodes answer within a few milliseconds.
constexpr duration answer_timeout = std::chrono::milliseconds(100);
/// Crashes that are further apart than this do not belong together.
constexpr duration evidence_timeout = std::chrono::minutes(10);
/// Limit on the tracked parts. One crashing replica breaks off about fifty
/// attempts with two shared parts each.
constexpr std::size_t max_suspects = 4'096;

template <class Value>
void add_distinct(
    std::vector<Value>& to, Value const& value, std::size_t most) {
    if (to.size() < most && std::ranges::find(to, value) == to.end()) {
        to.push_back(value);
    }
}

} // namespace

void part_suspects::evidence::add(part_crash const& crash, instant now) {
    if (replicas.empty()) {
        first_crash_at = crash.crashed_at;
        companions = crash.companions;
        std::ranges::sort(companions);
    }
    first_crash_at = std::min(first_crash_at, crash.crashed_at);
    last_crash_at = now;
    recurred = recurred || crash.attempt_began > first_crash_at;
    add_distinct(replicas, crash.replica, max_replicas);
    add_distinct(requests, crash.request, requests_to_confirm);
    std::erase_if(companions, [&](request_fingerprint each) {
        return std::ranges::find(crash.companions, each) ==
               crash.companions.end();
    });
}

bool part_suspects::evidence::sufficient(
    std::size_t crashes_to_confirm) const noexcept {
    return replicas.size() >= std::min(crashes_to_confirm, max_replicas) &&
           requests.size() >= requests_to_confirm && recurred;
}

std::optional<part_inquiry> part_suspects::record_crash(
    part_crash const& crash, crash_baseline const& baseline, instant now) {
    if (outputs_.seen_since(crash.part, crash.crashed_at)) {
        return std::nullopt;
    }
    if (!suspects_.contains(crash.part)) {
        evict_oldest();
    }
    evidence& known = suspects_[crash.part];
    if (now >= known.last_crash_at + evidence_timeout) {
        known = evidence{};
    }
    known.add(crash, now);
    std::size_t const needed = baseline.crashes_to_confirm(
        crash.part, known.replicas, known.first_crash_at);
    bool const new_conclusion =
        !known.combination_confirmed || known.companions.empty();
    if (!known.sufficient(needed) || known.asked_at || !new_conclusion) {
        return std::nullopt;
    }
    known.asked_at = now;
    part_inquiry inquiry{known.companions, now - known.first_crash_at};
    inquiry.parts.push_back(crash.part);
    return inquiry;
}

void part_suspects::record_output(request_fingerprint part, instant now) {
    outputs_.record(part, now);
    suspects_.erase(part);
    for (auto& [suspect, known] : suspects_) {
        std::erase(known.companions, part);
    }
}

std::vector<request_fingerprint> part_suspects::take_confirmed(instant now) {
    std::vector<request_fingerprint> confirmed;
    for (auto each = suspects_.begin(); each != suspects_.end();) {
        auto& [part, known] = *each;
        bool const unanswered =
            known.asked_at && now >= *known.asked_at + answer_timeout;
        bool const alone = unanswered && known.companions.empty();
        if (alone) {
            confirmed.push_back(part);
        } else if (unanswered) {
            confirmed.push_back(
                fingerprint_combination(part, known.companions.front()));
            known.combination_confirmed = true;
            known.asked_at.reset();
        }
        each = alone ? suspects_.erase(each) : std::next(each);
    }
    return confirmed;
}

void part_suspects::remove_expired(instant now) {
    std::erase_if(suspects_, [now](auto const& each) {
        return now >= each.second.last_crash_at + evidence_timeout;
    });
}

void part_suspects::evict_oldest() {
    if (suspects_.size() < max_suspects) {
        return;
    }
    suspects_.erase(
        std::ranges::min_element(suspects_, {}, [](auto const& each) {
            return each.second.last_crash_at;
        }));
}

} // namespace camphorpoint
