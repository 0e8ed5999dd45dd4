#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Scheduling/owner_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace camphorpoint::internal {

/// A request that may run on the replica, or does.
struct running_grant {
    node_id node;
    request_id request;
    std::uint32_t attempt = 0;
    std::uint64_t grant = 0;
    adapter_ref adapter;
    instant granted;
    /// When its ask arrived; as `granted` where that is not known.
    instant requested;
    std::uint32_t expected_tokens = 0;
    /// True once its entry node said that it was sent.
    bool sent = false;
};

/// The grants of one replica, and what the engine's lagging report says of
/// requests beyond them.
class grant_table {
public:
    void add(running_grant grant);
    /// Ends a grant.
    /// @returns the grant, or nothing when it is not known
    std::optional<running_grant> end(request_id const& id, instant now);
    running_grant const* find(request_id const& id) const;
    running_grant* find(request_id const& id);
    /// Ends all, as when the engine restarted.
    void clear();

    /// Corrects what the report says with the grants of its time: what the
    /// engine ran beyond them was granted by a former owner.
    void on_report(std::uint32_t running, instant measured);
    /// @returns places of the batch that are taken
    std::uint32_t occupied() const;
    std::size_t size() const noexcept { return grants_.size(); }
    /// @returns grants that use this adapter
    std::uint32_t using_adapter(adapter_ref const& adapter) const;
    /// @returns the ids of one node's grants, in their order
    std::vector<request_id> ids_of_node(node_id const& node) const;
    /// @returns all grants in the order of their requests' ids
    std::vector<running_grant> all() const;

private:
    struct ended_grant {
        instant granted;
        instant ended;
    };

    std::map<request_id, running_grant> grants_;
    std::unordered_map<adapter_ref, std::uint32_t> grant_counts_;
    /// Ended a short time ago: a lagging report still counts them.
    std::deque<ended_grant> ended_;
    /// Running, by the last report, without a grant of this owner.
    std::uint32_t foreign_running_ = 0;
};

} // namespace camphorpoint::internal
