#include "Delivery/request_gate.hpp"

#include <algorithm>

namespace camphorpoint {

namespace {

/// A run that says nothing for so long lets the next one begin: its node may
/// have ended.
constexpr duration run_lasts = std::chrono::seconds(1);
/// A content that has run well is not asked for again for so long.
constexpr duration proof_lasts = std::chrono::seconds(60);
constexpr std::size_t most_admissions = 8'192;

} // namespace

bool request_gate::try_admit(
    request_fingerprint fingerprint, std::uint64_t run, instant now) {
    forget_old(now);
    auto const [place, fresh] = admissions_.try_emplace(fingerprint);
    admission& of = place->second;
    bool const taken = !fresh && now < of.until;
    if (taken && (of.proven || of.run != run)) {
        return of.proven;
    }
    of = {run, now + run_lasts, false};
    return true;
}

void request_gate::release(request_fingerprint fingerprint, std::uint64_t run) {
    auto const found = admissions_.find(fingerprint);
    bool const its = found != admissions_.end() && !found->second.proven &&
                     found->second.run == run;
    if (its) {
        admissions_.erase(found);
    }
}

void request_gate::mark_safe(request_fingerprint fingerprint, instant now) {
    admissions_[fingerprint] = {0, now + proof_lasts, true};
}

void request_gate::forget_old(instant now) {
    if (admissions_.size() < most_admissions) {
        return;
    }
    std::erase_if(admissions_, [now](auto const& each) {
        return now >= each.second.until;
    });
    if (admissions_.size() >= most_admissions) {
        admissions_.erase(
            std::ranges::min_element(admissions_, {}, [](auto const& each) {
                return each.second.until;
            }));
    }
}

} // namespace camphorpoint
