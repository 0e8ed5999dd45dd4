#pragma once

#include "Core/time.hpp"
#include "Fleet/replica_record.hpp"
#include "ReplicaControl/load_limiter.hpp"
#include "ReplicaControl/load_priority.hpp"
#include "ReplicaControl/replica_command.hpp"
#include "ReplicaControl/slot_forecast.hpp"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorpoint {

/// Limits that a slot_tracker respects.
struct slot_limits {
    /// Maximum number of adapters on the replica, including those being loaded.
    /// One more adapter crashes the replica.
    unsigned slots = 1;
    /// An adapter counts as in use for this long after a use was reported.
    /// Nodes repeat their reports every 200 ms while requests run.
    std::chrono::milliseconds use_timeout{500};
    /// An adapter whose last request has ended becomes evictable after this
    /// time, since the next request may already be on its way. With 500 ms one
    /// or two of the eight slots of a replica were blocked.
    std::chrono::milliseconds cooldown_after_use{100};
    /// A newly loaded adapter is kept at least this long, for the requests that
    /// waited for it.
    std::chrono::milliseconds cooldown_after_load{300};
};

/// A change of the adapters resident on a replica, to be broadcast to all
/// nodes.
struct residency_change {
    adapter_ref adapter;
    /// False when the adapter is about to be unloaded.
    bool resident = true;
};

/// State of one replica's adapter slots, kept by the replica's controller.
/// Prevents loads beyond the number of slots, which crash the replica. The
/// replica's own report is seconds old, so commanded loads, loads in progress
/// and unloads in progress are tracked here. Lost and late answers are handled
/// through the count of earlier commands that each command carries: of all
/// commands with the same count the replica carries out one. After a command
/// without an answer the same command is sent again, and no other one until it
/// has been answered or a report shows whether it took effect.
class slot_tracker {
public:
    /// @param limits  limits of the replica
    /// @param limiter load limiter shared by all trackers of a node. Shared
    ///                ownership: a tracker ends its loads in the limiter on
    ///                destruction, and a suspended coroutine may keep a tracker
    ///                alive after the node's services are gone.
    slot_tracker(slot_limits limits, std::shared_ptr<load_limiter> limiter)
        : limits_(limits)
        , limiter_(std::move(limiter)) {}
    ~slot_tracker();
    slot_tracker(slot_tracker const&) = delete;
    slot_tracker& operator=(slot_tracker const&) = delete;

    /// Applies a report of the replica, except to commands that are newer than
    /// the report.
    void apply_report(replica_report const& report, instant now);
    /// @returns true when a report must be read, before any command is sent or
    ///          to learn whether a load has completed
    bool report_due(instant now) const;
    /// Requires a report before the next command, because the replica may have
    /// restarted.
    void require_report() noexcept;
    /// Records that a report could not be read.
    void on_report_failed(instant now);

    /// Requests that an adapter be loaded on this replica.
    /// @param adapter  its version is the lowest acceptable one; 0 for any
    /// @param priority why the adapter is requested
    /// @param now      the current time
    void request_load(
        adapter_ref const& adapter, load_priority priority, instant now);
    /// @returns true when the adapter is resident, is being loaded, is already
    ///          requested or could be loaded (a slot is empty or occupied by an
    ///          idle adapter); also while no report has been applied
    bool has_capacity_for(adapter_id const& adapter, instant now) const;
    /// @returns the expected time until the adapter is ready on this replica if
    ///          it is requested now
    duration expected_wait(
        adapter_ref const& adapter, load_priority priority, instant now) const;
    /// Records that requests use the adapter on this replica or have just done
    /// so. Called repeatedly while requests run.
    /// @param adapter the adapter in use
    /// @param running true while some node has running requests that use it
    /// @param now     the current time
    void record_use(adapter_id const& adapter, bool running, instant now);

    /// @returns the next command to send; nothing when there is nothing to do
    ///          or a report is due
    std::optional<replica_command> next_command(instant now);
    /// Applies the outcome of the command that `next_command` returned last.
    void on_result(
        replica_command const& command, command_result result, instant now);

    /// @returns true when the adapter is resident and ready, in this version or
    ///          a newer one
    bool ready(adapter_ref const& adapter) const;
    /// @returns true when the last report shows a loaded base model
    bool has_model() const noexcept { return !models_.empty(); }
    /// @returns true when a report has been applied
    bool has_report() const noexcept { return has_report_; }
    /// @returns number of adapters that occupy a slot
    std::size_t occupied_slots() const noexcept { return slots_.size(); }
    /// @returns true when a command on the adapter is in progress
    bool command_pending(adapter_id const& adapter) const;
    /// @returns number of loads in progress
    std::size_t loading_count() const;
    /// @returns number of adapters that could be loaded immediately, less the
    ///          demand load requests that wait
    int available_slots(instant now) const;
    /// Decides whether a request that has just arrived may wait for the adapter
    /// on this replica.
    /// @param adapter     the adapter that the request needs
    /// @param priority    why the adapter is requested
    /// @param wait_budget how long the request may wait without missing its
    ///                    deadline
    /// @param now         the current time
    /// @returns nothing when the request may wait here, otherwise the expected
    ///          wait that led to the refusal
    std::optional<duration> refused_wait(
        adapter_ref const& adapter, load_priority priority,
        duration wait_budget, instant now) const;
    /// @returns true when a load request for the adapter is pending
    bool load_requested(adapter_id const& adapter) const {
        return requests_.contains(adapter);
    }
    /// @returns number of pending load requests
    std::size_t pending_requests() const noexcept { return requests_.size(); }
    /// @returns the changes since the last call
    std::vector<residency_change> drain_changes();
    /// @returns when to call `next_command` or `report_due` again at the latest
    instant next_check_at(instant now) const;
    /// Sets the base model that an empty replica is to load.
    void set_base_model(model_id model) { base_model_ = std::move(model); }
    /// @returns true when the base model has been set
    bool base_model_set() const noexcept { return !base_model_.empty(); }

private:
    enum class slot_state : std::uint8_t { loading, resident, unloading };
    struct slot {
        std::uint32_t version = 0;
        slot_state state = slot_state::resident;
        instant since;
        instant last_used;
        /// The adapter counts as in use until then.
        instant busy_until;
        /// When to repeat the command, to learn whether it has been carried
        /// out.
        instant check_at;
        /// The load comes from the adapter store, so its duration shows how
        /// congested the path from the store is.
        bool from_store = false;
        /// Status checks in a row without an answer.
        unsigned unanswered_checks = 0;
        /// The replica was silent during the load, so that its duration is
        /// unknown.
        bool was_silent = false;
        /// Count of accepted commands from which on a report shows this slot.
        std::uint64_t reported_from = 0;
    };
    struct pending_request {
        std::uint32_t version = 0;
        instant requested_at;
        instant renewed_at;
        load_priority priority = load_priority::prefetch;
        /// The replica has the adapter cached: loading it takes a tenth of the
        /// time and does not delay loads from the store.
        bool cached = false;
    };

    void remove_expired_requests(instant now);
    void reset_after_restart();
    void remove_unreported(replica_report const& report, instant now);
    bool is_cached(adapter_id const& id) const;
    duration expected_load_duration(adapter_id const& id) const;
    unsigned free_slots(instant now) const;
    static bool idle(slot const& entry, instant now);
    static bool
    precedes(pending_request const& left, pending_request const& right);
    std::optional<adapter_id> next_request(instant now) const;
    std::optional<adapter_id> eviction_candidate(instant now) const;
    std::optional<replica_command> status_check(instant now) const;
    void on_repeated_command(
        replica_command const& command, command_result result, instant now);
    void on_command_confirmed(
        replica_command const& command, bool already_done, instant now);
    void on_no_answer(replica_command const& command, instant now);
    std::optional<replica_command>
    load_or_evict(adapter_id const& id, instant now);
    bool load_allowed(adapter_id const& id) const;
    void finish_load(slot& entry);
    /// Ends a load and adds its duration, where it is known, to the estimates.
    void complete_load(adapter_id const& id, slot& entry, instant now);
    void set_ready(
        adapter_id const& id, slot& entry, std::uint32_t version, instant now);
    void adopt_resident(adapter_ref const& each, instant now);

    /// Delay before the next report after one that could not be read or after
    /// commands without an answer.
    static constexpr duration report_retry_delay =
        std::chrono::milliseconds(250);

    slot_limits limits_;
    std::shared_ptr<load_limiter> limiter_;
    slot_releases releases_;
    /// Adapters that were resident before, newest last; the replica keeps some
    /// of them cached.
    std::vector<adapter_id> cached_adapters_;
    std::optional<incarnation> incarnation_;
    bool has_report_ = false;
    bool report_required_ = true;
    bool busy_ = false;
    bool model_loading_ = false;
    instant model_commanded_at_;
    instant next_report_at_;
    std::uint64_t sequence_ = 0;
    /// When the replica last accepted a command.
    instant last_accepted_at_;
    model_id base_model_;
    std::vector<model_id> models_;
    std::unordered_map<adapter_id, slot> slots_;
    std::unordered_map<adapter_id, pending_request> requests_;
    std::vector<residency_change> changes_;
    /// The command that had no answer, and how often it has been sent.
    std::optional<replica_command> unanswered_command_;
    unsigned unanswered_attempts_ = 0;
};

} // namespace camphorpoint
