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

/// Permission to act for a resource.
struct authority {
    /// Fencing number to send with each command and grant.
    log_offset fencing;
    /// Time by which the command or grant must have left the node.
    instant not_after;
};

/// A node that may own resources.
struct owner_candidate {
    node_id id;
    /// The latest known run of the node; 0 when the node is known only from the
    /// platform's instance list.
    std::uint64_t run = 0;
    /// True while the node stops: it keeps its resources until they are handed
    /// over, but gets no new ones.
    bool leaving = false;
    friend bool
    operator==(owner_candidate const&, owner_candidate const&) = default;
};

/// The owner of a resource according to the latest record that this node read.
struct owner_info {
    node_run owner;
    log_offset fencing;
};

/// Manages the ownership of replicas, weight stores and key shards for one
/// node. The class does no input or output: events and the time are passed in,
/// and it returns the actions to perform.
///
/// Rendezvous hashing over the live nodes determines which node should own a
/// resource; the latest claim in the control stream determines which node does
/// own it. The authority of a holder lasts for one lease from the start of its
/// last read that reached the head of the log, as in C. Gray, D. Cheriton,
/// "Leases", SOSP 1989. A node that claims a resource waits until the authority
/// of the previous holder has ended. For the fencing numbers see the sequencers
/// in M. Burrows, "The Chubby lock service", OSDI 2006.
class ownership_manager {
public:
    /// @param settings must be the same on all nodes
    /// @param self this node and its present run
    /// @param random seeded generator; used to number appends and to spread
    ///        renewals over time
    ownership_manager(
        ownership_settings settings, node_run self, std::mt19937_64 random);

    /// Sets the nodes that may own resources and the resources to own. Call it
    /// when the membership or the resources have changed, not in every tick.
    void set_candidates(
        std::vector<owner_candidate> const& live,
        std::vector<resource_id> const& resources, instant now);
    /// Handles the answer to a control_read.
    void on_batch(log_batch const& batch, instant now);
    /// Handles a control_read that failed or timed out.
    void on_read_failed(instant now);
    /// Handles the end of a control_append.
    /// @param append number of the append
    /// @param how whether the record was appended, was never sent, or may have
    ///        been appended although no answer arrived
    void on_append_ended(
        std::uint64_t append, append_result how, log_offset offset,
        instant now);
    /// Handles a message of a peer about ownership.
    void on_message(
        node_id const& from, ownership_message const& message, instant now);
    /// Reports that the service behind the resource has stopped: it no longer
    /// sends commands or grants for the resource, and its last command has
    /// completed.
    /// @param table state to pass on to the successor
    void
    handover_ready(resource_id const& resource, std::string table, instant now);
    /// Begins a planned stop of this node: all resources are handed over, and
    /// none is claimed.
    void start_drain(instant now);
    /// Advances all timers; call it periodically.
    void on_tick(instant now);
    /// Removes and returns the pending actions.
    /// @returns the actions, in the order in which they must be performed
    std::vector<ownership_action> take_actions();

    /// Authority for acts that need the lease: commands to engines that ignore
    /// fencing numbers, loads from a weight store, and permission to execute an
    /// idempotency key. Call this immediately before each act, because an
    /// earlier answer may have expired.
    /// @returns the authority, or nothing when this node does not own the
    /// resource or its lease has expired
    std::optional<authority>
    authority_for(resource_id const& resource, instant now) const;
    /// Authority for load commands.
    /// @param engine_checks true when the engine rejects outdated fencing
    ///        numbers. The engine then resolves conflicts between owners
    ///        itself, and loads continue through an outage of the log.
    std::optional<authority> load_authority(
        resource_id const& resource, bool engine_checks, instant now) const;
    /// Authority for evictions. It needs the lease, and also that no previous
    /// holder can still have requests in progress that this node does not know
    /// of.
    std::optional<authority>
    evict_authority(resource_id const& resource, instant now) const;
    /// Authority for grants of batch slots to resident adapters. It lasts
    /// longer than the lease, because a second node that grants slots only adds
    /// queueing as long as no node evicts adapters.
    std::optional<authority>
    grant_authority(resource_id const& resource, instant now) const;

    /// @returns the owner according to the latest claim that this node read;
    /// empty when there is none
    std::optional<owner_info> owner_of(resource_id const& resource) const;
    /// Says whether an entry node may send requests to the replica without a
    /// grant. This is allowed when the log is unreachable and the owner of the
    /// replica has failed, so that no other node can take over. It holds only
    /// for resident adapters and a fixed fraction of the batch; see
    /// docs/design/ownership.md.
    /// @returns true when requests may be sent without a grant
    bool fallback_allowed(resource_id const& resource, instant now) const;
    /// @returns true when this node read the control stream up to its head
    /// within the last lease
    bool log_is_current(instant now) const;
    /// @returns true when a planned stop was begun and this node no longer
    /// holds any resource, pending append or accepted offer
    bool drained() const noexcept;
    /// @returns the number of resources that this node holds, including those
    /// whose ownership has not taken effect yet
    std::size_t held_count() const noexcept { return holdings_.size(); }
    /// @returns the table replayed from the control stream
    ownership_table const& table() const noexcept { return table_; }

private:
    struct holding {
        log_offset fencing;
        std::optional<log_offset> previous;
        instant effective_from;
        instant evict_from;
        bool planned = false;
        bool first = false;
        /// True once ownership_gained was emitted.
        bool reported = false;
        std::string table;
    };
    struct live_run {
        std::uint64_t run = 0;
        bool leaving = false;
        /// When this run was first listed among the live nodes.
        instant since;
    };
    /// A holder_stopped message that arrived before this node read back its own
    /// claim.
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
    /// The newest run of each node of which a record was read.
    std::map<node_id, std::uint64_t> written_runs_;
    std::vector<ownership_action> actions_;
    std::optional<instant> next_renewal_;
    instant next_claim_{};
    instant next_rebalance_{};
    /// Entries whose newest record lies before this offset are dropped at the
    /// next pruning.
    log_offset prune_before_;
    instant next_prune_{};
    /// Earliest time at which a resource that the replayed records do not name
    /// may be claimed; empty until the first read that reached the head.
    std::optional<instant> unnamed_claimable_from_;
    resource_id rebalance_cursor_;
    bool draining_ = false;
    /// True while the release that belongs to an accepted offer may still make
    /// this node the owner.
    bool awaits_transfer_ = false;
    bool lapsed_ = true;
};

/// Read-only access to ownership for other services.
class ownership_view {
public:
    explicit ownership_view(ownership_manager const& source)
        : source_(&source) {}

    /// @returns the owner according to the latest claim that this node read;
    /// empty when there is none
    std::optional<owner_info> owner_of(resource_id const& resource) const {
        return source_->owner_of(resource);
    }
    /// @returns true when a request may be sent to the replica without a grant
    bool fallback_allowed(resource_id const& resource, instant now) const {
        return source_->fallback_allowed(resource, now);
    }

private:
    ownership_manager const* source_;
};

} // namespace camphorpoint
