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

/// What the account goes by.
struct slot_limits {
    /// Adapters that the replica has room for, those under way included. One
    /// more crashes it.
    unsigned slots = 1;
    /// An adapter whose use was told a shorter time ago counts as in use. Nodes
    /// repeat their uses every 200 ms while requests run.
    std::chrono::milliseconds use_timeout{500};
    /// One whose last request has ended is free after this: the next one may
    /// be on its way already. Of eight slots on a replica half a second's rest
    /// after each use took one or two.
    std::chrono::milliseconds cooldown_after_use{100};
    /// One that has just come is kept for whoever waited for it.
    std::chrono::milliseconds cooldown_after_load{300};
};

/// A change of what a replica holds, to be told to all nodes.
struct residency_change {
    adapter_ref adapter;
    /// False when it is about to go.
    bool resident = true;
};

/// The account of one replica's adapter slots, kept by the one node that orders
/// for it. Guards against loads beyond the slots, at which a replica crashes:
/// the replica's own list is seconds old, so what was ordered, what is on its
/// way and what is being dropped is counted here. It holds through lost and
/// late answers since each order names how many came before it: of all that
/// name the same number the replica carries out one. After an order without
/// answer that same order is given again, and nothing else until it is answered
/// or a report shows whether it counted.
class slot_tracker {
public:
    /// @param limits what the replica has room for
    /// @param pace   how long loads take, of all accounts of a node. Shared: an
    ///               account ends its loads there, also one that a suspended
    ///               coroutine keeps until the node's services are gone.
    slot_tracker(slot_limits limits, std::shared_ptr<load_limiter> limiter)
        : limits_(limits)
        , limiter_(std::move(limiter)) {}
    ~slot_tracker();
    slot_tracker(slot_tracker const&) = delete;
    slot_tracker& operator=(slot_tracker const&) = delete;

    /// Takes a report as the truth, but for orders that it is too old to show.
    void apply_report(replica_report const& report, instant now);
    /// @returns true when a report must be read before anything is ordered, or
    ///          to see whether a load has come
    bool report_due(instant now) const;
    /// The replica may have started again: a report comes before any order.
    void require_report() noexcept;
    /// A report could not be read.
    void on_report_failed(instant now);

    /// Requests wait for this adapter here, or should find it here.
    /// @param version the least version that will do; 0 for any
    /// @param kind    for whom
    void request_load(
        adapter_ref const& adapter, load_priority priority, instant now);
    /// @returns true when the adapter could be loaded, or is being loaded: a
    ///          slot is free, or one is held by what nobody uses
    bool has_capacity_for(adapter_id const& adapter, instant now) const;
    /// @returns how long it should take until the adapter is ready here, if it
    ///          is wanted now
    duration expected_wait(
        adapter_ref const& adapter, load_priority priority, instant now) const;
    /// Requests use this adapter here, or have just done so. Repeated while
    /// requests run.
    /// @param running some node's requests run with it now
    void record_use(adapter_id const& adapter, bool running, instant now);

    /// @returns what to order next; nothing while there is nothing to do, or
    ///          while a report is due
    std::optional<replica_command> next_command(instant now);
    /// Takes up what became of the order that `next` gave last.
    void on_result(
        replica_command const& command, command_result result, instant now);

    /// @returns true when the adapter lies there ready, in this version or a
    ///          newer one
    bool ready(adapter_ref const& adapter) const;
    /// @returns true when the report has been read and a base model lies there
    bool has_model() const noexcept { return !models_.empty(); }
    /// @returns true when a report was taken
    bool has_report() const noexcept { return has_report_; }
    /// @returns adapters that take a slot
    std::size_t occupied_slots() const noexcept { return slots_.size(); }
    /// @returns true when an order on the adapter is being carried out
    bool command_pending(adapter_id const& adapter) const;
    /// @returns loads under way
    std::size_t loading_count() const;
    /// @returns adapters that could be loaded at once, less those that wait
    int available_slots(instant now) const;
    /// Decides whether a request that has just asked may wait here.
    /// @param patience how long it may wait to be in time
    /// @returns nothing when it may, else how long it would take
    std::optional<duration> refused_wait(
        adapter_ref const& adapter, load_priority priority,
        duration wait_budget, instant now) const;
    /// @returns true when the adapter is waited for here already
    bool load_requested(adapter_id const& adapter) const {
        return requests_.contains(adapter);
    }
    /// @returns wants that are not met yet
    std::size_t pending_requests() const noexcept { return requests_.size(); }
    /// @returns what has changed since the last call
    std::vector<residency_change> drain_changes();
    /// @returns when `next` or `report_due` should be asked again at the latest
    instant next_check_at(instant now) const;
    /// The base model that an empty replica is to load.
    void set_base_model(model_id model) { base_model_ = std::move(model); }
    /// @returns true when that model was named
    bool base_model_set() const noexcept { return !base_model_.empty(); }

private:
    enum class slot_state : std::uint8_t { loading, resident, unloading };
    struct slot {
        std::uint32_t version = 0;
        slot_state state = slot_state::resident;
        instant since;
        instant last_used;
        /// Until then it counts as in use.
        instant busy_until;
        /// When the order is given again, to see whether it has been carried
        /// out.
        instant check_at;
        /// Its load comes from the store, and tells how busy the way is.
        bool from_store = false;
        /// The count of orders from which on a report shows it.
        std::uint64_t reported_from = 0;
    };
    struct pending_request {
        std::uint32_t version = 0;
        instant requested_at;
        instant renewed_at;
        load_priority priority = load_priority::prefetch;
        /// The replica keeps a copy: the load takes a tenth and holds up none.
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
    void set_ready(
        adapter_id const& id, slot& entry, std::uint32_t version, instant now);
    void adopt_resident(adapter_ref const& each, instant now);

    /// After a report that could not be read, or orders without answer.
    static constexpr duration report_retry_delay =
        std::chrono::milliseconds(250);

    slot_limits limits_;
    std::shared_ptr<load_limiter> limiter_;
    slot_releases releases_;
    /// Adapters that lay here, newest last; the replica keeps copies of some.
    std::vector<adapter_id> cached_adapters_;
    std::optional<incarnation> incarnation_;
    bool has_report_ = false;
    bool report_required_ = true;
    bool busy_ = false;
    bool model_loading_ = false;
    instant model_commanded_at_;
    instant next_report_at_;
    std::uint64_t sequence_ = 0;
    /// When the replica counted an order last.
    instant last_accepted_at_;
    model_id base_model_;
    std::vector<model_id> models_;
    std::unordered_map<adapter_id, slot> slots_;
    std::unordered_map<adapter_id, pending_request> requests_;
    std::vector<residency_change> changes_;
    /// The order that had no answer, and how often it was given.
    std::optional<replica_command> unanswered_command_;
    unsigned unanswered_attempts_ = 0;
};

} // namespace camphorpoint
