#pragma once

#include "Core/time.hpp"
#include "Ownership/resource_id.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace camphorpoint {

/// Resources without a live owner, by when this node may claim them. Ranking
/// costs a hash for each live node, so only a few are ranked each tick.
class takeover_queue {
public:
    /// Adds a resource that is to be ranked, unless it is there already.
    void add(resource_id const& resource, instant now);
    /// Takes a resource out, since it found an owner.
    void remove(resource_id const& resource);
    /// Takes all out.
    void clear();
    /// Everything must be ranked again, since the live nodes changed.
    void rerank_all();
    /// @returns at most this many resources that wait to be ranked; each must
    /// be scheduled or removed next
    std::vector<resource_id> drain_unranked(std::size_t limit);
    /// Sets when a resource may be claimed.
    /// @param after counted from when it was added
    void schedule(resource_id const& resource, duration after);
    /// Sets when a resource is looked at again.
    void postpone(resource_id const& resource, instant due);
    /// @returns at most this many resources whose time has come; each must be
    /// postponed or removed next
    std::vector<resource_id> drain_due(instant now, std::size_t limit);
    /// @returns when a resource that waits was added
    instant since(resource_id const& resource) const;
    /// @returns how many resources wait
    std::size_t size() const noexcept { return since_.size(); }

private:
    void unschedule(resource_id const& resource);

    std::map<resource_id, instant> since_;
    std::set<resource_id> unranked_;
    std::map<resource_id, instant> due_of_;
    std::map<instant, std::set<resource_id>> by_due_;
};

} // namespace camphorpoint
