#include "Fleet/software_history.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

namespace {

/// Nodes poll the registry and broadcast its changes every second or two.
constexpr duration max_view_age = std::chrono::seconds(10);
/// A new version that is seen within this time is noticed by its own streams,
/// whose version is compared with the result.
constexpr duration cache_lifetime = std::chrono::milliseconds(250);

} // namespace

bool software_history::is_current(instant now) const {
    return observed_since_ != instant::max() &&
           now < current_at_ + max_view_age;
}

void software_history::note_current(instant now) {
    if (!is_current(now)) {
        if (observed_since_ != instant::max()) {
            adopted_.clear();
        }
        observed_since_ = now;
    }
    current_at_ = now;
}

void software_history::note_gap(instant now) {
    adopted_.clear();
    observed_since_ = now;
    current_at_ = now;
}

void software_history::note_former(
    service_id const& service, software_version const& version, instant now) {
    auto& versions = former_[service];
    std::erase_if(versions, [&](former_software const& each) {
        return each.version == version || now >= each.until + removed_retention;
    });
    versions.push_back({version, now});
    forget_cached(service);
}

duration software_history::observed_for(instant now) const {
    return is_current(now) ? now - observed_since_ : duration::zero();
}

std::optional<duration> software_history::view_age(instant now) const {
    return observed_since_ == instant::max() ? std::nullopt
                                             : std::optional(now - current_at_);
}

service_versions software_history::versions(
    service_id const& service, duration memory, instant now) {
    if (!is_current(now)) {
        return {};
    }
    cached_result& cached = cache_[service];
    if (cached.computed_at == instant{} ||
        now >= cached.computed_at + cache_lifetime) {
        cached = {now, find_versions(service, now)};
    }
    service_versions result = cached.versions;
    if (result.knowledge == version_knowledge::none) {
        return result;
    }
    auto const adopted = adopted_.find(service);
    bool const alone = result.knowledge == version_knowledge::seen;
    if (adopted != adopted_.end() &&
        !(alone && result.software == adopted->second)) {
        adopted_.erase(adopted);
    } else if (adopted != adopted_.end()) {
        result.knowledge = version_knowledge::recorded;
    }
    if (alone && now >= observed_since_ + memory) {
        result.knowledge = version_knowledge::observed;
    }
    return result;
}

bool software_history::has_seen(
    service_id const& service, software_version const& version) {
    return std::ranges::any_of(
               replicas_->of_service(service),
               [&](replica const* each) {
                   return each->record.software == version;
               }) ||
           std::ranges::any_of(
               replicas_->former_versions(service),
               [&](former_software const& each) {
                   return each.version == version;
               });
}

service_versions
software_history::find_versions(service_id const& service, instant now) {
    software_version const* only = nullptr;
    auto const differs = [&](software_version const& each) {
        only = only == nullptr ? &each : only;
        return *only != each;
    };
    auto const noted = former_.find(service);
    if (noted != former_.end()) {
        std::erase_if(noted->second, [&](former_software const& each) {
            return now >= each.until + removed_retention;
        });
        if (std::ranges::any_of(
                noted->second, differs, &former_software::version)) {
            return {version_knowledge::several, {}};
        }
    }
    // Replicas that were removed are part of the fleet for as long as streams
    // of theirs may be resumed, and so are versions that entries named before.
    if (std::ranges::any_of(
            replicas_->former_versions(service), differs,
            &former_software::version) ||
        std::ranges::any_of(
            replicas_->of_service(service), differs,
            [](replica const* each) -> software_version const& {
                return each->record.software;
            })) {
        return {version_knowledge::several, {}};
    }
    return only == nullptr
               ? service_versions{}
               : service_versions{
                     version_knowledge::seen, make_software_key(*only)};
}

} // namespace camphorpoint
