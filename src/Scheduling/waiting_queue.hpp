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

/// A request that waits for a grant.
struct waiting_request {
    node_id from;
    grant_request message;
    instant arrived;
    instant deadline;
    /// Past this time the deadline can't be met any more.
    instant latest_start;
    /// Time for which its adapter was not resident, without the current spell.
    duration stalled{};
    /// Start of the current spell, while its adapter is not resident.
    instant blocked_since{};
    bool ready = false;
};

/// The requests that wait for one adapter which is not resident.
struct blocked_group {
    adapter_ref adapter;
    std::uint32_t waiting = 0;
    urgency how_urgent = urgency::background;
    instant oldest;
};

/// The waiting requests of one replica. Those whose adapter is resident are
/// ready, in order of their deadlines within each class; the others are kept
/// by adapter. Each operation takes time in the logarithm of the queue, but for
/// the moving of short keys in a flat array.
/// Reference for the order: C. L. Liu, J. W. Layland, "Scheduling algorithms
/// for multiprogramming in a hard-real-time environment", Journal of the ACM
/// 20(1), 1973.
class waiting_queue {
public:
    /// @param ready true when the request's adapter is resident
    void add(waiting_request request, bool ready, instant now);
    /// @returns the request, or nothing when it doesn't wait here
    std::optional<waiting_request> remove(request_id const& id);
    /// @returns the request, or nullptr when it doesn't wait here
    waiting_request const* find(request_id const& id) const;
    /// The adapter became resident: its requests get ready.
    void unblock(adapter_ref const& adapter, instant now);
    /// The adapter is resident no more: its requests get blocked.
    void block(adapter_ref const& adapter, instant now);

    /// @returns the ready request with the earliest deadline, or nullptr
    waiting_request const* first_ready(urgency which) const;
    /// @returns requests of the class that are ready
    std::size_t ready(urgency which) const;
    /// @returns requests of the class, ready or blocked
    std::size_t size(urgency which) const;
    /// @returns all that wait
    std::size_t size() const noexcept { return by_sequence_.size(); }
    /// @returns ready requests that go before one with this deadline
    std::size_t count_ahead(urgency which, instant deadline) const;
    /// @returns requests that wait for this adapter, ready or blocked
    std::size_t waiting_for(adapter_ref const& adapter) const;
    /// @returns a request whose latest start has passed, or nullptr
    waiting_request const* first_late(instant now) const;
    /// @returns the group of one adapter, if it is blocked
    std::optional<blocked_group> blocked(adapter_ref const& adapter) const;
    /// @returns all blocked groups, in the order of their adapters
    std::vector<blocked_group> all_blocked() const;
    /// @returns the ids that wait for this adapter, oldest first
    std::vector<request_id> ids_waiting_for(adapter_ref const& adapter) const;
    /// @returns the ids that came from this node, oldest first
    std::vector<request_id> ids_from(node_id const& node) const;
    /// @returns all ids, oldest first
    std::vector<request_id> all_ids() const;

private:
    struct key {
        instant when;
        std::uint64_t sequence;
        friend auto operator<=>(key const&, key const&) = default;
    };
    struct group {
        /// Sequences, oldest first.
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
