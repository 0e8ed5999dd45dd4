#pragma once

#include "Core/software_key.hpp"
#include "Core/time.hpp"
#include "Fleet/fleet.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// Decides whether all streams of a service that callers may still resume were
/// written by replicas of one software version.
class software_history {
public:
    /// @param replicas this node's view of the replicas; must outlive this
    ///                 object
    explicit software_history(fleet& replicas)
        : replicas_(&replicas) {}

    /// Records that the view of the replicas was current at this time. After a
    /// pause, versions may have come and gone unseen, so that neither what was
    /// observed before nor what was adopted holds any longer.
    void note_current(instant now);
    /// Records that the view of the replicas is current, but that records
    /// before it were not read, in which versions may have come and gone.
    void note_gap(instant now);
    /// Records a version whose entry was replaced or removed before this node
    /// read it.
    void note_former(
        service_id const& service, software_version const& version,
        instant now);
    /// Records that all streams which callers may resume now were written by
    /// one version, as nodes that have run for longer know. It holds until this
    /// node sees another version.
    void adopt(service_id const& service, software_key version) {
        adopted_[service] = version;
    }
    /// @param memory for how long before now a version must have been alone to
    ///               count as observed
    /// @returns the versions that have served the service
    service_versions
    versions(service_id const& service, duration memory, instant now);
    /// The next call of versions looks at the replicas of the service anew.
    void forget_cached(service_id const& service) { cache_.erase(service); }
    /// @returns the only version that has served the service for that time;
    ///          nothing when there were several, or this node does not know
    std::optional<software_key>
    only_version(service_id const& service, duration memory, instant now) {
        return versions(service, memory, now).only();
    }
    /// @returns true when a replica of the version serves the service, or did
    ///          so while its streams may still be resumed
    bool has_seen(service_id const& service, software_version const& version);
    /// @returns for how long this node has observed the replicas without a
    ///          pause
    duration observed_for(instant now) const;
    /// @returns how long ago the view of the replicas was last current; nothing
    ///          when it never was
    std::optional<duration> view_age(instant now) const;

private:
    struct cached_result {
        instant computed_at;
        service_versions versions;
    };

    service_versions find_versions(service_id const& service, instant now);
    bool is_current(instant now) const;

    fleet* replicas_;
    instant observed_since_ = instant::max();
    instant current_at_;
    std::unordered_map<service_id, cached_result> cache_;
    /// Versions that were in no view of the replicas.
    std::unordered_map<service_id, std::vector<former_software>> former_;
    /// The only version of the time before this node started.
    std::unordered_map<service_id, software_key> adopted_;
};

} // namespace camphorpoint
