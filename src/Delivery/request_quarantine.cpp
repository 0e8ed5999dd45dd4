#include "Delivery/request_quarantine.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// Number of replicas that must crash while running a request before it is
/// quarantined. Two crashes are often coincidence: an attempt that is cut off
/// continues at another replica, which the same poison request may crash as
/// well.
constexpr std::size_t crashes_to_quarantine = 3;
/// A poison request is repeated within seconds or minutes, so crashes that are
/// further apart than this do not belong together.
constexpr duration evidence_timeout = std::chrono::minutes(10);
/// Long compared to the time for which a caller retries, so that the caller is
/// refused throughout; short enough that the request is tried again on the same
/// day, with repaired replica software.
constexpr duration quarantine_duration = std::chrono::hours(1);
/// Limit on the fingerprints with counted crashes. One crashing replica cuts
/// off about fifty attempts.
constexpr std::size_t max_suspected = 4'096;
/// Limit on the quarantined fingerprints. If more requests than this lose their
/// replicas, then replicas or network paths fail by themselves, and no caller
/// is refused for that.
constexpr std::size_t max_quarantined = 64;

} // namespace

quarantine_update request_quarantine::update_of(
    request_fingerprint fingerprint, quarantine_state const& state,
    instant now) {
    return {fingerprint, state.revision, state.expires_at - now};
}

std::optional<quarantine_update> request_quarantine::record_crash(
    request_fingerprint fingerprint, std::uint64_t replica, instant now) {
    if (!evidence_.contains(fingerprint)) {
        evict_oldest_evidence();
    }
    evidence& crashes = evidence_[fingerprint];
    if (now >= crashes.last_crash_at + evidence_timeout) {
        crashes.replicas.clear();
    }
    crashes.last_crash_at = now;
    bool const already_counted =
        std::ranges::find(crashes.replicas, replica) != crashes.replicas.end();
    if (already_counted) {
        return std::nullopt;
    }
    if (crashes.replicas.size() < crashes_to_quarantine) {
        crashes.replicas.push_back(replica);
    }
    bool const enough = crashes.replicas.size() >= crashes_to_quarantine;
    return enough ? quarantine(fingerprint, now) : std::nullopt;
}

std::optional<quarantine_update>
request_quarantine::quarantine(request_fingerprint fingerprint, instant now) {
    if (quarantined_for(fingerprint, now) ||
        quarantined_count(now) >= max_quarantined) {
        return std::nullopt;
    }
    quarantine_state& state = states_[fingerprint];
    state.revision += state.revision % 2 == 0 ? 1 : 2;
    state.expires_at = now + quarantine_duration;
    return update_of(fingerprint, state, now);
}

std::optional<quarantine_update>
request_quarantine::record_success(request_fingerprint fingerprint) {
    evidence_.erase(fingerprint);
    auto const found = states_.find(fingerprint);
    if (found == states_.end() || found->second.revision % 2 == 0) {
        return std::nullopt;
    }
    ++found->second.revision;
    return quarantine_update{
        fingerprint, found->second.revision, quarantine_duration};
}

bool request_quarantine::apply(quarantine_update const& update, instant now) {
    if (update.remaining <= duration::zero() || update.revision == 0) {
        return false;
    }
    auto const found = states_.find(update.fingerprint);
    if (found != states_.end() && found->second.revision >= update.revision) {
        return false;
    }
    if (found == states_.end() && states_.size() >= 2 * max_quarantined) {
        return false;
    }
    if (!update.quarantined()) {
        evidence_.erase(update.fingerprint);
    }
    states_[update.fingerprint] = {
        update.revision, now + std::min(update.remaining, quarantine_duration)};
    return true;
}

std::optional<duration> request_quarantine::quarantined_for(
    request_fingerprint fingerprint, instant now) const {
    auto const found = states_.find(fingerprint);
    bool const quarantined = found != states_.end() &&
                             found->second.revision % 2 == 1 &&
                             now < found->second.expires_at;
    if (!quarantined) {
        return std::nullopt;
    }
    return found->second.expires_at - now;
}

std::optional<duration> request_quarantine::quarantined_since(
    request_fingerprint fingerprint, instant now) const {
    auto const remaining = quarantined_for(fingerprint, now);
    return remaining ? std::optional(quarantine_duration - *remaining)
                     : std::nullopt;
}

std::vector<quarantine_update>
request_quarantine::next_batch(std::size_t max_count, instant now) {
    std::vector<quarantine_update> updates;
    std::size_t const count = std::min(max_count, states_.size());
    auto next = states_.upper_bound(last_sent_);
    while (updates.size() < count) {
        if (next == states_.end()) {
            next = states_.begin();
        }
        updates.push_back(update_of(next->first, next->second, now));
        last_sent_ = next->first;
        ++next;
    }
    return updates;
}

std::vector<quarantine_update>
request_quarantine::all_updates(instant now) const {
    std::vector<quarantine_update> updates;
    updates.reserve(states_.size());
    for (auto const& [fingerprint, state] : states_) {
        updates.push_back(update_of(fingerprint, state, now));
    }
    return updates;
}

std::size_t request_quarantine::quarantined_count(instant now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(states_, [&](auto const& each) {
            return each.second.revision % 2 == 1 &&
                   now < each.second.expires_at;
        }));
}

void request_quarantine::remove_expired(instant now) {
    std::erase_if(evidence_, [&](auto const& each) {
        return now >= each.second.last_crash_at + evidence_timeout;
    });
    std::erase_if(states_, [&](auto const& each) {
        return now >= each.second.expires_at;
    });
}

void request_quarantine::evict_oldest_evidence() {
    if (evidence_.size() < max_suspected) {
        return;
    }
    evidence_.erase(
        std::ranges::min_element(evidence_, {}, [](auto const& each) {
            return each.second.last_crash_at;
        }));
}

} // namespace camphorpoint
