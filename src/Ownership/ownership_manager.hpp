#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Ownership/control_record.hpp"
#include "Ownership/handover_messages.hpp"
#include "Ownership/log_follower.hpp"
#include "Ownership/node_ranking.hpp"
#include "Ownership/outgoing_handovers.hpp"
#include "Ownership/ownership_action.hpp"
#include "Ownership/ownership_settings.hpp"
#include "Ownership/ownership_table.hpp"
#include "Ownership/pending_appends.hpp"
#include "Ownership/takeover_queue.hpp"
#include "Records/log_record.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace camphorpoint {

/// Leave to act for a resource.
struct authority {
    /// Goes with each order and grant.
    log_offset fencing;
    /// The act must have left the node by then.
    instant not_after;
};

/// A node that may own resources.
struct owner_candidate {
    node_id id;
    /// The run that was last heard of; 0 when only the platform's list names
    /// the node.
    std::uint64_t run = 0;
    /// True while it stops: it still holds, but gets nothing new.
    bool leaving = false;
    friend bool
    operator==(owner_candidate const&, owner_candidate const&) = default;
};

/// Who owns a resource, as this node last read it.
struct owner_info {
    node_run owner;
    log_offset fencing;
};

/// Ownership of replicas, weight stores and key shards. Decides only: events
/// and the time go in, actions come out.
///
/// Who should own is rendezvous hashing over the live nodes; who does own is
/// the last claim in the control stream. A holder's authority runs for the
/// lease from the start of its last read that reached the log's head, as in
/// C. Gray, D. Cheriton, "Leases", SOSP 1989; a claimer waits until the old
/// holder's has ended. Fencing numbers as in M. Burrows, "The Chubby lock
/// service", OSDI 2006 (sequencers).
class ownership_manager {
public:
    /// @param settings the same on all nodes
    /// @param self     this node and this run of it
    /// @param random   seeded; numbers appends and spreads renewals
    ownership_manager(
        ownership_settings settings, node_run self, std::mt19937_64 random);

    /// Tells who may own and what there is to own; call it when membership
    /// changed, not every tick.
    void set_candidates(
        std::vector<owner_candidate> const& live,
        std::vector<resource_id> const& resources, instant now);
    /// An answer to control_read.
    void on_batch(log_batch const& batch, instant now);
    /// A read failed or was too late.
    void on_read_failed(instant now);
    /// An answer to control_append.
    void on_append_ended(
        std::uint64_t append, append_result how, log_offset offset,
        instant now);
    /// A peer's message about ownership.
    void on_message(
        node_id const& from, ownership_message const& message, instant now);
    /// The service behind the resource has stopped: nothing is ordered or
    /// granted any more, and the last order has ended.
    /// @param table what the successor should know
    void
    handover_ready(resource_id const& resource, std::string table, instant now);
    /// Begins a planned stop: everything is handed over, nothing is claimed.
    void start_drain(instant now);
    /// Time has passed.
    void on_tick(instant now);
    /// @returns what is to be done, in order; the list is empty afterwards
    std::vector<ownership_action> take_actions();

    /// The gate for acts that need the lease: orders to engines that ignore
    /// fencing numbers, a store's loads, leave to run a key. Ask right before
    /// each act, never earlier.
    /// @returns leave, or nothing when it lapsed or was never there
    std::optional<authority>
    authority_for(resource_id const& resource, instant now) const;
    /// The gate for load orders.
    /// @param engine_checks true when the engine refuses old fencing numbers:
    ///        it then arbitrates itself, and loads go on through a log outage
    std::optional<authority> load_authority(
        resource_id const& resource, bool engine_checks, instant now) const;
    /// The gate for evictions: the lease, and no holder before us can have
    /// requests under way that we do not know of.
    std::optional<authority>
    evict_authority(resource_id const& resource, instant now) const;
    /// The gate for grants of batch slots to resident adapters; holds longer
    /// than the lease, since a second granter only costs queueing as long as
    /// nobody evicts.
    std::optional<authority>
    grant_authority(resource_id const& resource, instant now) const;

    /// @returns the last claim that this node read
    std::optional<owner_info> owner_of(resource_id const& resource) const;
    /// @returns true when an entry node may send to the replica without a
    /// grant: the log is out of reach and the replica's owner is dead, so that
    /// nobody can take over. Only resident adapters, only a fixed share of the
    /// batch; see docs/design/ownership.md.
    bool fallback_allowed(resource_id const& resource, instant now) const;
    /// @returns true when the control stream was read up to its head lately
    bool log_is_current(instant now) const;
    /// @returns true when a planned stop has given everything away
    bool drained() const noexcept;
    /// @returns how many resources this node holds or waits for
    std::size_t held_count() const noexcept { return holdings_.size(); }
    /// @returns the replayed table
    ownership_table const& table() const noexcept { return table_; }

private:
    struct holding {
        log_offset fencing;
        std::optional<log_offset> previous;
        instant effective_from;
        instant evict_from;
        bool planned = false;
        bool first = false;
        /// True once ownership_gained was told.
        bool reported = false;
        std::string table;
    };
    struct live_run {
        std::uint64_t run = 0;
        bool leaving = false;
        /// Since when this run has been among the live nodes.
        instant since;
    };
    /// A former holder's word that came before our claim was read back.
    struct early_stop {
        holder_stopped message;
        instant received;
    };
    struct accepted_offer {
        log_offset fencing;
        instant received;
        instant evict_from;
        std::string table;
    };

    void end_evict_wait(
        holding& held, holder_stopped const& stopped, instant received);
    void apply_records(log_batch const& batch, instant now);
    void apply_record(log_record const& record, instant now);
    void reached_head(log_batch const& batch, instant now);
    void record_liveness(node_run const& writer, instant now);
    void on_entry_changed(
        resource_id const& resource, instant learned_at, instant now);
    void start_holding(
        resource_id const& resource, ownership_entry const& entry,
        instant learned_at);
    void apply_offer(
        resource_id const& resource, ownership_entry const& entry,
        holding& next);
    void
    drop_superseded_offer(resource_id const& resource, log_offset in_force);
    void stop_holding(
        resource_id const& resource, node_run const& new_owner, instant now);
    void restart_table(log_batch const& batch, instant now);
    void set_live(std::vector<owner_candidate> const& live, instant now);
    void rank_live();
    void update_takeover(resource_id const& resource, instant now);
    void update_all_takeovers(instant now);
    bool orphaned(resource_id const& resource) const;
    bool is_live(node_run const& who) const;
    std::optional<instant> claimable_from(resource_id const& resource) const;
    bool has_read_since(instant missed) const;
    void rank_pending(instant now);
    void claim_due(instant now);
    void report_gained(instant now);
    void report_lapse(instant now);
    void schedule_renewal(instant now);
    void renew(instant now);
    void prune(log_batch const& batch, instant now);
    void rebalance(instant now);
    std::uint64_t latest_run(node_id const& node) const;
    bool may_move_to(node_id const& successor, instant now) const;
    void begin_handover(
        resource_id const& resource, node_id const& successor, instant now);
    void run_handovers(instant now);
    void retry_other_successors(instant now);
    void update_awaits_transfer(instant now);
    void append(control_record record, instant now);
    void handle_failed_append(control_record const& record, instant now);
    void handle(node_id const& from, handover_offer const& offer, instant now);
    void
    handle(node_id const& from, handover_accepted const& accepted, instant now);
    void
    handle(node_id const& from, holder_stopped const& stopped, instant now);
    static std::chrono::milliseconds remaining_wait(instant end, instant now);
    instant wait_end(std::chrono::milliseconds left, instant now) const;
    std::optional<authority> authority_within(
        resource_id const& resource, duration span, instant now) const;
    void emit_log(event_code code, log_level level, std::string detail);

    ownership_settings settings_;
    node_run self_;
    std::mt19937_64 random_;
    log_follower follower_;
    ownership_table table_;
    node_ranking ranking_;
    std::map<node_id, live_run> live_;
    std::set<resource_id> resources_;
    takeover_queue takeovers_;
    pending_appends appends_;
    outgoing_handovers handovers_;
    std::map<resource_id, holding> holdings_;
    std::set<resource_id> pending_gains_;
    std::map<resource_id, accepted_offer> accepted_offers_;
    std::map<resource_id, early_stop> early_stops_;
    std::map<node_id, instant> last_record_at_;
    /// The newest run of each node that wrote a record.
    std::map<node_id, std::uint64_t> written_runs_;
    std::vector<ownership_action> actions_;
    std::optional<instant> next_renewal_;
    instant next_claim_{};
    instant next_rebalance_{};
    /// Entries that expired before this offset are dropped at the next prune.
    log_offset prune_before_;
    instant next_prune_{};
    /// When a resource that the log does not name may be claimed.
    std::optional<instant> unnamed_claimable_from_;
    resource_id rebalance_cursor_;
    bool draining_ = false;
    /// True while an accepted offer's release may still make this node owner.
    bool awaits_transfer_ = false;
    bool lapsed_ = true;
};

/// What other services may ask of ownership without steering it.
class ownership_view {
public:
    explicit ownership_view(ownership_manager const& source)
        : source_(&source) {}

    /// @returns the last claim that this node read
    std::optional<owner_info> owner_of(resource_id const& resource) const {
        return source_->owner_of(resource);
    }
    /// @returns true when a request may go to the replica without a grant
    bool fallback_allowed(resource_id const& resource, instant now) const {
        return source_->fallback_allowed(resource, now);
    }

private:
    ownership_manager const* source_;
};

} // namespace camphorpoint
