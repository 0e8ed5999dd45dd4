#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Scheduling/grant_messages.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace camphorpoint::internal {

/// A queued request that waits for a grant.
struct waiting_request {
    node_id from;
    grant_request message;
    instant arrived;
    instant deadline;
    /// If the request starts after this time, it cannot meet its deadline.
    instant latest_start;
    /// Time for which the adapter was not resident, excluding the current
    /// period.
    duration stalled{};
    /// Start of the current period in which the adapter is not resident.
    instant blocked_since{};
    bool ready = false;
};

/// The queued requests for one adapter that is not resident.
struct blocked_group {
    adapter_ref adapter;
    std::uint32_t waiting = 0;
    urgency how_urgent = urgency::background;
    instant oldest;
};

/// The queued requests of one replica. Requests whose adapter is resident are
/// ready and sorted by deadline within each urgency class (earliest deadline
/// first); the others are blocked and grouped by adapter. Each operation takes
/// time logarithmic in the length of the queue, apart from moving short keys in
/// a contiguous array.
/// Reference for the order: C. L. Liu, J. W. Layland, "Scheduling algorithms
/// for multiprogramming in a hard-real-time environment", Journal of the ACM
/// 20(1), 1973.
class waiting_queue {
public:
    /// @param ready true if the request's adapter is resident
    void add(waiting_request request, bool ready, instant now);
    /// @returns the request, or nothing if it is not in the queue
    std::optional<waiting_request> remove(request_id const& id);
    /// @returns the request, or nullptr if it is not in the queue
    waiting_request const* find(request_id const& id) const;
    /// Makes the requests for an adapter ready, because it has become resident.
    void unblock(adapter_ref const& adapter, instant now);
    /// Blocks the requests for an adapter, because it can no longer be used.
    void block(adapter_ref const& adapter, instant now);

    /// @returns the ready request with the earliest deadline, or nullptr
    waiting_request const* first_ready(urgency which) const;
    /// @returns the number of ready requests of the class
    std::size_t ready(urgency which) const;
    /// @returns the number of requests of the class, ready or blocked
    std::size_t size(urgency which) const;
    /// @returns the number of all queued requests
    std::size_t size() const noexcept { return by_sequence_.size(); }
    /// @returns the number of ready requests that would be granted before a
    ///   request with this class and deadline
    std::size_t count_ahead(urgency which, instant deadline) const;
    /// @returns the number of requests for this adapter, ready or blocked
    std::size_t waiting_for(adapter_ref const& adapter) const;
    /// @returns a request whose latest start time has passed, or nullptr
    waiting_request const* first_late(instant now) const;
    /// @returns the requests for one adapter as a group, if they are blocked
    std::optional<blocked_group> blocked(adapter_ref const& adapter) const;
    /// @returns all blocked groups, sorted by adapter
    std::vector<blocked_group> all_blocked() const;
    /// @returns the ids of the requests for this adapter, oldest first
    std::vector<request_id> ids_waiting_for(adapter_ref const& adapter) const;
    /// @returns the ids of the requests from this node, oldest first
    std::vector<request_id> ids_from(node_id const& node) const;
    /// @returns the ids of all requests, oldest first
    std::vector<request_id> all_ids() const;

private:
    struct key {
        instant when;
        std::uint64_t sequence;
        friend auto operator<=>(key const&, key const&) = default;
    };
    struct group {
        /// Sequence numbers of the requests, oldest first.
        std::set<std::uint64_t> members;
        std::array<std::uint32_t, urgency_count> counts{};
    };

    void make_ready(std::uint64_t sequence, instant now);
    void make_blocked(std::uint64_t sequence, instant now);
    void
    remove_from_ready(std::uint64_t sequence, waiting_request const& request);
    blocked_group
    describe(adapter_ref const& adapter, group const& members) const;

    std::uint64_t next_sequence_ = 1;
    std::unordered_map<std::uint64_t, waiting_request> by_sequence_;
    std::unordered_map<request_id, std::uint64_t> by_id_;
    std::unordered_map<adapter_ref, group> groups_;
    std::set<adapter_ref> blocked_;
    std::set<key> by_latest_start_;
    std::array<std::vector<key>, urgency_count> ready_;
    std::array<std::size_t, urgency_count> sizes_{};
};

} // namespace camphorpoint::internal
