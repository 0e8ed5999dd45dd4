#pragma once

#include "Scheduling/batch_policy.hpp"
#include "Scheduling/grant_messages.hpp"
#include "Scheduling/replica_state.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint::internal {

/// Decides which queued requests may run on one engine, and tracks the grants
/// of running requests.
/// @tparam Batch policy that chooses the class of the next grant
template <batch_policy Batch>
class grant_manager {
public:
    /// What happened to a grant request: it was queued, or it was answered at
    /// once (with a grant or a refusal) or ignored as a repetition.
    enum class request_result : std::uint8_t { queued, answered };

    /// Queues a grant request or answers it at once.
    /// @param ready    true if the adapter is resident
    /// @param feedback state of the replica, sent with a refusal
    request_result on_grant_request(
        replica_state& state, node_id const& from, grant_request const& request,
        bool ready, replica_feedback const& feedback, instant now);
    /// Grants queued requests while the batch has capacity.
    /// @param store_pause expected remaining time of the weight store's outage,
    ///   reported to the entry nodes
    void issue_grants(replica_state& state, duration store_pause, instant now);
    /// Refuses queued requests that can no longer meet their deadlines.
    void refuse_late_requests(replica_state& state, instant now);
    /// Refuses all queued requests.
    /// @param why reason that the entry nodes receive
    void refuse_all(replica_state& state, reason why, instant now);
    /// Removes a queued request, or ends its grant if the entry node has not
    /// used it.
    /// @returns the adapter of the grant that was ended, if any
    std::optional<adapter_ref> on_grant_cancelled(
        replica_state& state, node_id const& from,
        grant_cancelled const& message, instant now);
    std::optional<adapter_ref> on_grant_released(
        replica_state& state, node_id const& from,
        grant_released const& message, instant now);
    /// Compares the grants with the list that an entry node reports.
    /// @returns the adapters of the grants that were ended
    std::vector<adapter_ref> on_heartbeat(
        replica_state& state, node_id const& from,
        std::vector<grant_in_use> const& grants, instant now);
    /// Adds the grants that the former owner has handed over.
    void adopt(replica_state& state, owner_table const& table, instant now);
    /// Ends grants of entry nodes whose heartbeats timed out, and grants that
    /// exceed the longest request time.
    /// @param idle called with an adapter and a time; returns true if no
    ///   request has used the adapter since that time
    /// @returns the adapters of the grants that were ended
    template <class Idle>
    std::vector<adapter_ref>
    end_orphaned_grants(replica_state& state, Idle const& idle, instant now);
    /// Forgets when messages were received, since this node no longer owns the
    /// replica.
    void on_authority_lost() { last_received_.clear(); }

    /// @returns how long a new request would be queued if its adapter is
    ///   resident
    duration expected_wait(
        replica_state const& state, urgency how_urgent, instant deadline) const;

private:
    reason refusal(
        replica_state const& state, grant_request const& request, bool ready,
        instant now) const;
    bool should_redirect(
        replica_state const& state, grant_request const& request,
        duration queued, instant now) const;
    void refuse(
        replica_state& state, node_id const& to, grant_request const& request,
        reason why, duration retry_after, replica_feedback const& feedback);
    bool answer_repeated_request(
        replica_state& state, node_id const& from, grant_request const& request,
        instant now);
    void send_grant(
        replica_state& state, running_grant const& grant, duration store_pause,
        instant now);
    void grant_first_ready(
        replica_state& state, urgency which, duration store_pause, instant now);
    batch_state view(replica_state const& state) const;
    void reconcile_grant(
        replica_state& state, node_id const& from, grant_in_use const& each,
        instant now);
    replica_feedback feedback_after_grant(
        replica_state const& state, urgency how_urgent, duration store_pause,
        instant now) const;

    Batch batch_;
    std::array<std::uint32_t, urgency_count> passed_over_{};
    std::array<std::optional<instant>, urgency_count> last_request_;
    /// Time of the last message from each entry node.
    std::map<node_id, instant> last_received_;
    std::uint64_t next_grant_ = 1;
};

} // namespace camphorpoint::internal

#include "Scheduling/grant_manager_releases.hpp"
#include "Scheduling/grant_manager_requests.hpp"
