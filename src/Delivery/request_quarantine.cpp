#include "Delivery/request_quarantine.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// Replicas that end under a content before it is run no more. Two would often
/// be chance: a run that breaks off goes on at another replica, which the
/// request that ended the first one may end as well.
constexpr std::size_t ends_to_hold = 3;
/// A content comes again within seconds or minutes.
constexpr duration evidence_lasts = std::chrono::minutes(10);
/// Long against a caller's patience, so that it is told to stay away; short
/// enough that a replica's repaired software is tried again on the same day.
constexpr duration hold_lasts = std::chrono::hours(1);
/// Contents counted at a time; of a replica that ends some fifty runs break.
constexpr std::size_t most_counted = 4'096;
/// Contents held at a time. More are no contents that end replicas, but
/// replicas or ways that fail by themselves: nobody is turned away for those.
constexpr std::size_t most_held = 64;

} // namespace

quarantine_update request_quarantine::word_of(
    request_fingerprint fingerprint, known const& of, instant now) {
    return {fingerprint, of.revision, of.until - now};
}

std::optional<quarantine_update> request_quarantine::record_crash(
    request_fingerprint fingerprint, std::uint64_t replica, instant now) {
    if (!evidence_.contains(fingerprint)) {
        make_room();
    }
    evidence& counted = evidence_[fingerprint];
    if (now >= counted.newest + evidence_lasts) {
        counted.replicas.clear();
    }
    counted.newest = now;
    bool const again =
        std::ranges::find(counted.replicas, replica) != counted.replicas.end();
    if (again) {
        return std::nullopt;
    }
    if (counted.replicas.size() < ends_to_hold) {
        counted.replicas.push_back(replica);
    }
    bool const enough = counted.replicas.size() >= ends_to_hold;
    if (!enough || quarantined_for(fingerprint, now) ||
        quarantined_count(now) >= most_held) {
        return std::nullopt;
    }
    known& of = known_[fingerprint];
    of.revision += of.revision % 2 == 0 ? 1 : 2;
    of.until = now + hold_lasts;
    return word_of(fingerprint, of, now);
}

std::optional<quarantine_update>
request_quarantine::record_success(request_fingerprint fingerprint) {
    evidence_.erase(fingerprint);
    auto const found = known_.find(fingerprint);
    if (found == known_.end() || found->second.revision % 2 == 0) {
        return std::nullopt;
    }
    ++found->second.revision;
    return quarantine_update{fingerprint, found->second.revision, hold_lasts};
}

bool request_quarantine::apply(quarantine_update const& word, instant now) {
    if (word.remaining <= duration::zero() || word.revision == 0) {
        return false;
    }
    auto const found = known_.find(word.fingerprint);
    if (found != known_.end() && found->second.revision >= word.revision) {
        return false;
    }
    if (found == known_.end() && known_.size() >= 2 * most_held) {
        return false;
    }
    if (!word.quarantined()) {
        evidence_.erase(word.fingerprint);
    }
    known_[word.fingerprint] = {
        word.revision, now + std::min(word.remaining, hold_lasts)};
    return true;
}

std::optional<duration> request_quarantine::quarantined_for(
    request_fingerprint fingerprint, instant now) const {
    auto const found = known_.find(fingerprint);
    bool const held = found != known_.end() &&
                      found->second.revision % 2 == 1 &&
                      now < found->second.until;
    if (!held) {
        return std::nullopt;
    }
    return found->second.until - now;
}

std::vector<quarantine_update>
request_quarantine::next_batch(std::size_t most, instant now) {
    std::vector<quarantine_update> words;
    std::size_t const count = std::min(most, known_.size());
    auto next = known_.upper_bound(told_last_);
    while (words.size() < count) {
        if (next == known_.end()) {
            next = known_.begin();
        }
        words.push_back(word_of(next->first, next->second, now));
        told_last_ = next->first;
        ++next;
    }
    return words;
}

std::vector<quarantine_update>
request_quarantine::all_updates(instant now) const {
    std::vector<quarantine_update> words;
    words.reserve(known_.size());
    for (auto const& [fingerprint, of] : known_) {
        words.push_back(word_of(fingerprint, of, now));
    }
    return words;
}

std::size_t request_quarantine::quarantined_count(instant now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(known_, [&](auto const& each) {
            return each.second.revision % 2 == 1 && now < each.second.until;
        }));
}

void request_quarantine::remove_expired(instant now) {
    std::erase_if(evidence_, [&](auto const& each) {
        return now >= each.second.newest + evidence_lasts;
    });
    std::erase_if(
        known_, [&](auto const& each) { return now >= each.second.until; });
}

void request_quarantine::make_room() {
    if (evidence_.size() < most_counted) {
        return;
    }
    evidence_.erase(std::ranges::min_element(
        evidence_, {}, [](auto const& each) { return each.second.newest; }));
}

} // namespace camphorpoint
