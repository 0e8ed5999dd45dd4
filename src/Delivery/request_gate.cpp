#include "Delivery/request_gate.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// An admission expires after this time unless it is repeated, since the node
/// that runs the attempt may have crashed.
constexpr duration admission_timeout = std::chrono::seconds(1);
/// After an attempt has produced part of its answer, further attempts need no
/// admission for this long.
constexpr duration safe_timeout = std::chrono::seconds(60);
constexpr std::size_t max_admissions = 8'192;

} // namespace

bool request_gate::try_admit(
    request_fingerprint fingerprint, std::uint64_t attempt, instant now) {
    remove_expired(now);
    auto const [it, inserted] = admissions_.try_emplace(fingerprint);
    admission& entry = it->second;
    bool const active = !inserted && now < entry.expires_at;
    if (active && (entry.safe || entry.attempt != attempt)) {
        return entry.safe;
    }
    entry = {attempt, now + admission_timeout, false};
    return true;
}

void request_gate::release(
    request_fingerprint fingerprint, std::uint64_t attempt) {
    auto const found = admissions_.find(fingerprint);
    bool const owned = found != admissions_.end() && !found->second.safe &&
                       found->second.attempt == attempt;
    if (owned) {
        admissions_.erase(found);
    }
}

void request_gate::mark_safe(request_fingerprint fingerprint, instant now) {
    admissions_[fingerprint] = {0, now + safe_timeout, true};
}

void request_gate::remove_expired(instant now) {
    if (admissions_.size() < max_admissions) {
        return;
    }
    std::erase_if(admissions_, [now](auto const& each) {
        return now >= each.second.expires_at;
    });
    if (admissions_.size() >= max_admissions) {
        admissions_.erase(
            std::ranges::min_element(admissions_, {}, [](auto const& each) {
                return each.second.expires_at;
            }));
    }
}

} // namespace camphorpoint
