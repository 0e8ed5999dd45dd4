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

/// Decides which waiting requests run on one engine, and keeps what runs.
/// @tparam Batch says which class the next place goes to
template <batch_policy Batch>
class grant_manager {
public:
    /// What became of an ask.
    enum class request_result : std::uint8_t { queued, answered };

    /// Queues an ask, or answers it at once.
    /// @param ready    true when the adapter is resident
    /// @param feedback what a refusal says of the replica
    request_result on_grant_request(
        replica_state& state, node_id const& from, grant_request const& request,
        bool ready, replica_feedback const& feedback, instant now);
    /// Gives grants while the batch has room.
    /// @param pause how long the weight store stays down
    void issue_grants(replica_state& state, duration store_pause, instant now);
    /// Refuses what can't meet its deadline any more.
    void refuse_late_requests(replica_state& state, instant now);
    /// Refuses all that waits.
    void refuse_all(replica_state& state, reason why, instant now);
    /// Takes back an ask or an unused grant.
    /// @returns the adapter of a grant that has ended
    std::optional<adapter_ref> on_grant_cancelled(
        replica_state& state, node_id const& from,
        grant_cancelled const& message, instant now);
    std::optional<adapter_ref> on_grant_released(
        replica_state& state, node_id const& from,
        grant_released const& message, instant now);
    /// @returns the adapters of grants that have ended
    std::vector<adapter_ref> on_heartbeat(
        replica_state& state, node_id const& from,
        std::vector<grant_in_use> const& grants, instant now);
    /// Adopts the grants of the former owner.
    void adopt(replica_state& state, owner_table const& table, instant now);
    /// Ends grants of entry nodes that fell silent.
    /// @param idle tells whether nothing has used an adapter since a time
    /// @returns the adapters of grants that have ended
    template <class Idle>
    std::vector<adapter_ref>
    end_orphaned_grants(replica_state& state, Idle const& idle, instant now);
    /// This node decides no more.
    void on_authority_lost() { last_received_.clear(); }

    /// @returns how long a new request would wait if its adapter is resident
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
    /// When each entry node was last heard of.
    std::map<node_id, instant> last_received_;
    std::uint64_t next_grant_ = 1;
};

} // namespace camphorpoint::internal

#include "Scheduling/grant_manager_releases.hpp"
#include "Scheduling/grant_manager_requests.hpp"
