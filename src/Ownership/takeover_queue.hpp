#pragma once

#include "Core/time.hpp"
#include "Ownership/resource_id.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace camphorpoint {

/// Resources without a live owner, ordered by the time from which this node may
/// claim them. Ranking a resource costs one hash per live node, so only a
/// limited number is ranked in each tick.
class takeover_queue {
public:
    /// Adds a resource to be ranked, unless the queue already contains it.
    void add(resource_id const& resource, instant now);
    /// Removes a resource, for instance because it has an owner again.
    void remove(resource_id const& resource);
    /// Removes all resources.
    void clear();
    /// Marks all resources to be ranked again, because the set of live nodes
    /// has changed.
    void rerank_all();
    /// Removes resources from the set of those that must be ranked. The caller
    /// must schedule or remove each of them next.
    /// @param limit largest number of resources to return
    /// @returns the resources to rank
    std::vector<resource_id> drain_unranked(std::size_t limit);
    /// Sets the time at which a resource may be claimed.
    /// @param after delay since the resource was added
    void schedule(resource_id const& resource, duration after);
    /// Sets the time at which a resource becomes due again.
    void postpone(resource_id const& resource, instant due);
    /// Removes resources that are due from the schedule. The caller must
    /// postpone or remove each of them next.
    /// @param limit largest number of resources to return
    /// @returns the due resources
    std::vector<resource_id> drain_due(instant now, std::size_t limit);
    /// @returns the time at which a queued resource was added
    instant since(resource_id const& resource) const;
    /// @returns the number of queued resources
    std::size_t size() const noexcept { return since_.size(); }

private:
    void unschedule(resource_id const& resource);

    std::map<resource_id, instant> since_;
    std::set<resource_id> unranked_;
    std::map<resource_id, instant> due_of_;
    std::map<instant, std::set<resource_id>> by_due_;
};

} // namespace camphorpoint
