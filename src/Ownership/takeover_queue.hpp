#pragma once

#include "Core/time.hpp"
#include "Ownership/resource_id.hpp"

#include <map>
#include <set>
#include <vector>

namespace camphorpoint {

/// Resources without a live owner, by when this node may claim them. Ranking
/// costs a hash for each live node, so only a few are ranked each tick.
class takeover_queue {
public:
    /// Adds a resource that is to be ranked, unless it is there already.
    void add(resource_id const& resource);
    /// Takes a resource out, since it found an owner.
    void remove(resource_id const& resource);
    /// Everything must be ranked again, since the live nodes changed.
    void rank_again();
    /// @returns at most this many resources that wait to be ranked; they are
    /// taken out
    std::vector<resource_id> take_unranked(std::size_t most);
    /// Sets when a ranked resource may be claimed.
    void schedule(resource_id const& resource, instant due);
    /// @returns at most this many resources whose time has come; they are
    /// taken out
    std::vector<resource_id> take_due(instant now, std::size_t most);
    /// @returns how many resources wait
    std::size_t size() const noexcept {
        return unranked_.size() + due_of_.size();
    }

private:
    std::set<resource_id> unranked_;
    std::map<resource_id, instant> due_of_;
    std::map<instant, std::set<resource_id>> by_due_;
};

} // namespace camphorpoint
