#pragma once

#include "Loading/load_messages.hpp"
#include "Records/engine_order.hpp"
#include "Scheduling/eviction_policy.hpp"
#include "Scheduling/load_request_table.hpp"
#include "Scheduling/replica_state.hpp"
#include "Scheduling/slot_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorpoint::internal {

/// Decides which adapters are resident on one engine: which load requests are
/// sent to the owner of the weight store, and which load and evict commands are
/// sent to the engine.
/// @tparam Eviction policy that chooses the adapter to evict
template <eviction_policy Eviction>
class slot_manager {
public:
    /// @returns true if requests for the adapter may be granted
    bool grantable(adapter_ref const& adapter) const;
    /// A request was queued whose adapter is not grantable.
    void
    on_blocked(replica_state& state, adapter_ref const& adapter, instant now);
    /// The last grant that used the adapter has ended.
    void on_idle(adapter_ref const& adapter, instant now);
    void
    on_report(replica_state& state, engine_report const& report, instant now);
    /// @returns false if the result shows that a newer owner has fenced off
    ///   this node
    bool on_command_result(
        replica_state& state, engine_order const& command, order_result how,
        instant now);
    void on_load_allowed(
        replica_state& state, load_allowed const& message, instant now);
    void on_load_denied(
        replica_state& state, load_denied const& message, instant now);
    void on_version_change(
        replica_state& state, adapter_ref const& from, adapter_ref const& to,
        instant now);
    /// Repeats load requests, returns expired permissions, and times out
    /// commands without a result.
    void on_tick(replica_state& state, instant now);
    /// The engine was restarted without adapters. Its adapters are prefetched
    /// again, as far as they fit.
    void on_cold_start(replica_state& state, instant now);
    /// This node no longer owns the replica: cancels its load requests and
    /// clears the slots.
    void on_authority_lost(replica_state& state, instant now);
    /// @returns true if a report that was measured at or after `since` shows
    ///   that no request uses the adapter
    bool reported_idle(adapter_ref const& adapter, instant since) const {
        return slots_.reported_idle(adapter, since);
    }
    /// @returns the remaining time for which the weight store is reported as
    ///   down
    duration store_pause(instant now) const;
    /// @returns true if a report of the engine, or enough elapsed time, proves
    ///   that no request has used the adapter since its last grant by this
    ///   owner
    bool confirmed_idle(
        replica_state const& state, adapter_ref const& adapter, instant since,
        instant now) const;

private:
    using prefetch_map = std::map<adapter_ref, instant>;

    // Load requests: slot_manager_loads.hpp.
    void plan(replica_state& state, instant now);
    void plan_blocked(replica_state& state, instant now);
    void plan_prefetches(replica_state& state, instant now);
    bool may_request_load(
        replica_state const& state, adapter_ref const& adapter,
        instant now) const;
    void add_load_request(
        replica_state& state, adapter_ref const& adapter, instant now);
    void submit_load_request(
        replica_state& state, adapter_ref const& adapter,
        pending_load_request& request, instant now);
    void refresh_load_requests(replica_state& state, instant now);
    bool still_needed(
        replica_state const& state, adapter_ref const& adapter,
        instant now) const;
    void cancel_load_request(
        replica_state& state, adapter_ref const& adapter,
        pending_load_request const& request);
    void return_permission(
        replica_state& state, adapter_ref const& adapter,
        std::uint64_t permission);
    std::size_t available_slots(replica_state const& state, instant now) const;
    std::size_t free_slots(replica_state const& state) const;

    // Evictions: slot_manager_evictions.hpp.
    std::optional<adapter_ref>
    victim(replica_state const& state, instant now) const;
    bool evictable(
        replica_state const& state, adapter_ref const& adapter,
        slot const& each, instant now) const;
    double retention_value(
        replica_state const& state, adapter_ref const& adapter,
        slot const& each, instant now) const;
    bool rollout_protected(adapter_ref const& adapter, instant now) const;
    void evict(replica_state& state, adapter_ref const& adapter, instant now);
    void drain_least_valuable(replica_state& state, instant now);
    void evict_drained(replica_state& state, instant now);
    void resume_unneeded_drains(replica_state& state, instant now);
    void evict_for_permissions(replica_state& state, instant now);
    void resume(replica_state& state, adapter_ref const& adapter, instant now);

    // Commands: slot_manager_commands.hpp.
    void use_permissions(replica_state& state, instant now);
    void command_load(
        replica_state& state, adapter_ref const& adapter,
        pending_load_request const& request, instant now);
    void send_command(
        replica_state& state, engine_order_kind kind,
        adapter_ref const& adapter, slot& target, duration timeout,
        instant now);
    void handle_load_result(
        replica_state& state, adapter_ref const& adapter, order_result how,
        instant now);
    void handle_evict_result(
        replica_state& state, adapter_ref const& adapter, order_result how,
        instant now);
    void
    load_failed(replica_state& state, adapter_ref const& adapter, instant now);
    void refuse_waiting(
        replica_state& state, adapter_ref const& adapter, instant now);
    void mark_resident(
        replica_state& state, adapter_ref const& adapter, instant now);
    void
    apply_change(replica_state& state, slot_change const& change, instant now);
    void time_out_commands(replica_state& state, instant now);
    void report_load_result(
        replica_state& state, adapter_ref const& adapter, slot const& each,
        bool started, bool ok, instant now);

    slot_table slots_;
    load_request_table load_requests_;
    /// Adapters to load before requests wait for them, each with the time at
    /// which the prefetch expires.
    prefetch_map prefetches_;
    /// Maps an older version to the newer one, while both may be resident.
    std::map<adapter_ref, adapter_ref> successors_;
    /// Older versions that are not evicted before the newer one is resident,
    /// each with the time at which this protection ends.
    std::map<adapter_ref, instant> protected_until_;
    /// Time until which the weight store is down, as reported by its owner.
    instant store_paused_until_;
    std::uint64_t command_count_ = 0;
    Eviction eviction_;
};

} // namespace camphorpoint::internal

#include "Scheduling/slot_manager_commands.hpp"
#include "Scheduling/slot_manager_evictions.hpp"
#include "Scheduling/slot_manager_loads.hpp"
