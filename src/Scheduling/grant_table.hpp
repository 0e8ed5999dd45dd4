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

/// A granted request, which may be running on the replica.
struct running_grant {
    node_id node;
    request_id request;
    std::uint32_t attempt = 0;
    std::uint64_t grant = 0;
    adapter_ref adapter;
    instant granted;
    /// Arrival time of the grant request; equal to `granted` if it is not
    /// known.
    instant requested;
    std::uint32_t expected_tokens = 0;
    /// True once the entry node has reported that it sent the request to the
    /// engine.
    bool sent = false;
};

/// The grants of one replica, together with the number of requests that the
/// engine reports beyond them. The engine's reports lag behind the grants.
class grant_table {
public:
    void add(running_grant grant);
    /// Ends a grant.
    /// @returns the grant, or nothing if it is not known
    std::optional<running_grant> end(request_id const& id, instant now);
    running_grant const* find(request_id const& id) const;
    running_grant* find(request_id const& id);
    /// Removes all grants, for instance after a restart of the engine.
    void clear();

    /// Compares the number of running requests in a report with the grants that
    /// were in use when it was measured. The excess was granted by a former
    /// owner.
    /// @param running  number of requests that the engine reports as running
    /// @param measured when the engine measured it
    void on_report(std::uint32_t running, instant measured);
    /// @returns the number of occupied slots of the batch
    std::uint32_t occupied() const;
    std::size_t size() const noexcept { return grants_.size(); }
    /// @returns the number of grants that use the adapter
    std::uint32_t using_adapter(adapter_ref const& adapter) const;
    /// @returns the request ids of one node's grants, sorted
    std::vector<request_id> ids_of_node(node_id const& node) const;
    /// @returns all grants, sorted by request id
    std::vector<running_grant> all() const;

private:
    struct ended_grant {
        instant granted;
        instant ended;
    };

    std::map<request_id, running_grant> grants_;
    std::unordered_map<adapter_ref, std::uint32_t> grant_counts_;
    /// Recently ended grants, which a lagging report still counts.
    std::deque<ended_grant> ended_;
    /// Requests that the last report shows as running without a grant of this
    /// owner.
    std::uint32_t foreign_running_ = 0;
};

} // namespace camphorpoint::internal
