#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Loading/load_messages.hpp"
#include "Records/engine_order.hpp"
#include "Scheduling/grant_manager.hpp"
#include "Scheduling/grant_messages.hpp"
#include "Scheduling/owner_table.hpp"
#include "Scheduling/replica_policy.hpp"
#include "Scheduling/scheduler_action.hpp"
#include "Scheduling/scheduler_settings.hpp"
#include "Scheduling/slot_manager.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace camphorpoint {

/// Decides for one model engine at the node that owns it: which requests run
/// and in which order, which adapters are loaded and evicted.
/// docs/design/batching.md and docs/design/load-scheduling.md tell why.
/// @tparam Policy the eviction and batch policies
template <replica_policy Policy = standard_policy>
class replica_scheduler {
public:
    explicit replica_scheduler(scheduler_settings const& settings);

    /// An entry node asks for a grant; a repeated ask is answered again.
    void on_grant_request(
        node_id const& from, grant_request const& request, instant now);
    void on_grant_cancelled(
        node_id const& from, grant_cancelled const& message, instant now);
    void on_grant_released(
        node_id const& from, grant_released const& message, instant now);
    /// All that a node still has on the replica: what isn't named has ended.
    /// Grants for other replicas in the list are skipped.
    void on_heartbeat(
        node_id const& from, std::vector<grant_in_use> const& grants,
        instant now);
    void on_report(engine_report const& report, instant now);
    void on_command_result(
        engine_order const& command, order_result how, instant now);
    void on_load_allowed(load_allowed const& message, instant now);
    void on_load_denied(load_denied const& message, instant now);
    /// This node owns the replica until `not_after`, or its ownership was
    /// prolonged. A new fencing number means that another may have owned it.
    void on_authority(log_offset fencing, instant not_after, instant now);
    /// A newer claim was seen: queued requests are refused, nothing is ordered.
    void on_authority_lost(instant now);
    /// A newer version of an adapter is in force.
    void on_version_change(
        adapter_ref const& from, adapter_ref const& to, instant now);
    void on_tick(instant now);

    /// Refuses what waits and what comes; what runs goes on. For a planned
    /// stop of this node, or when the endpoint is leaving.
    void stop_granting(instant now);
    /// @returns what a successor needs to know
    owner_table export_table(instant now) const;
    /// Takes over what the former owner handed on.
    void import_table(owner_table const& table, instant now);

    /// @returns what is to be done, in order; the list is empty afterwards
    std::vector<scheduler_action> take_actions();
    /// @returns what a reply about this adapter would say now
    replica_feedback feedback(adapter_ref const& adapter, instant now) const;

private:
    void
    mark_adapters_idle(std::vector<adapter_ref> const& adapters, instant now);
    void after_event(instant now);

    internal::replica_state state_;
    internal::slot_manager<typename Policy::eviction> slots_;
    internal::grant_manager<typename Policy::batch> grants_;
    /// The engine's run, once a report told it.
    std::optional<std::uint64_t> incarnation_;
    instant last_maintenance_;
};

} // namespace camphorpoint

#include "Scheduling/replica_scheduler_events.hpp"
