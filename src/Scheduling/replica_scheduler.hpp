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

/// Schedules one model engine at the node that owns it: decides which requests
/// run and in which order, and which adapters are loaded and evicted. The
/// reasons for the design are in docs/design/batching.md and
/// docs/design/load-scheduling.md.
/// @tparam Policy the eviction and batch policies
template <replica_policy Policy = standard_policy>
class replica_scheduler {
public:
    explicit replica_scheduler(scheduler_settings const& settings);

    /// Handles a grant request. A repeated grant request is answered again.
    void on_grant_request(
        node_id const& from, grant_request const& request, instant now);
    void on_grant_cancelled(
        node_id const& from, grant_cancelled const& message, instant now);
    void on_grant_released(
        node_id const& from, grant_released const& message, instant now);
    /// Handles the list of all grants that an entry node uses or waits for.
    /// Grants of this replica that are not listed have ended; entries of other
    /// replicas are ignored.
    void on_heartbeat(
        node_id const& from, std::vector<grant_in_use> const& grants,
        instant now);
    void on_report(engine_report const& report, instant now);
    void on_command_result(
        engine_order const& command, order_result how, instant now);
    void on_load_allowed(load_allowed const& message, instant now);
    void on_load_denied(load_denied const& message, instant now);
    /// This node owns the replica until `not_after`: it has acquired the
    /// ownership or extended it. A new fencing number means that another node
    /// may have owned the replica in between.
    void on_authority(log_offset fencing, instant not_after, instant now);
    /// A newer claim of the replica was seen. Queued requests are refused, and
    /// no further commands are sent.
    void on_authority_lost(instant now);
    /// A newer version of an adapter has become effective.
    void on_version_change(
        adapter_ref const& from, adapter_ref const& to, instant now);
    void on_tick(instant now);

    /// Refuses queued and new requests; running requests continue. Used for a
    /// planned shutdown of this node and when the endpoint is being removed.
    void stop_granting(instant now);
    /// @returns the state that the next owner needs
    owner_table export_table(instant now) const;
    /// Adopts the state that the former owner has handed over.
    void import_table(owner_table const& table, instant now);

    /// Removes and returns the pending actions.
    /// @returns the actions to execute, in order
    std::vector<scheduler_action> take_actions();
    /// @returns the feedback that a reply to a request for this adapter would
    ///   contain now
    replica_feedback feedback(adapter_ref const& adapter, instant now) const;

private:
    void
    mark_adapters_idle(std::vector<adapter_ref> const& adapters, instant now);
    void after_event(instant now);

    internal::replica_state state_;
    internal::slot_manager<typename Policy::eviction> slots_;
    internal::grant_manager<typename Policy::batch> grants_;
    /// Incarnation of the engine, once a report has shown it.
    std::optional<std::uint64_t> incarnation_;
    instant last_maintenance_;
};

} // namespace camphorpoint

#include "Scheduling/replica_scheduler_events.hpp"
