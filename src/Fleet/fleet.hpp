#pragma once

#include "Core/time.hpp"
#include "Fleet/prompt_backlog.hpp"
#include "Fleet/replica_health.hpp"
#include "Fleet/replica_record.hpp"
#include "Fleet/running_request_tracker.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// An adapter as a node believes it to lie on a replica.
struct resident_adapter {
    std::uint32_t version = 0;
    /// When the belief was formed from word that is newer than the list; the
    /// list may not take it back before `registry_override_period` has passed.
    instant confirmed_at;
    /// The replica was ordered to drop or replace it.
    bool unloading = false;
};

/// Whoever orders for a replica has turned a request for an adapter away.
struct load_denial {
    /// Until then it counts.
    instant until;
    /// When the adapter would have been ready.
    instant ready_at;
};

/// Word of a replica's load is told again within a second by each of up to 90
/// nodes; two of these words may be lost.
inline constexpr duration usage_report_lifetime =
    std::chrono::milliseconds(2'500);

/// One replica as a node believes it to be.
struct replica {
    replica_record record;
    replica_health health;
    std::unordered_map<adapter_id, resident_adapter> adapters;
    /// Adapters that lay here, the newest last: the replica keeps copies, from
    /// which they come back in a tenth of the time and for nothing.
    std::vector<adapter_id> cached_adapters;
    /// Requests of this node that are at the replica now.
    unsigned running_local = 0;
    /// Requests of all other nodes there, as the node that orders for it told
    /// last, and when that was.
    unsigned running_remote = 0;
    instant usage_received_at;
    /// Adapters that could be loaded there at once, less those that wait, by
    /// the same word.
    int free_slots = 0;
    /// Prompts that this node and all others have sent there.
    prompt_backlog local_backlog;
    prompt_backlog remote_backlog;

    /// When the list no longer had it.
    instant missing_since = instant::max();
    bool missing = false;
    /// Adapters that would be ready here too late, and how late, by the word
    /// of the node that orders for it.
    std::unordered_map<adapter_id, load_denial> denials;
    /// When it leaves at short notice.
    instant shutdown_at = instant::max();

    /// @returns true when it should still keep a copy
    bool has_cached(adapter_id const& adapter) const {
        return std::ranges::find(cached_adapters, adapter) !=
               cached_adapters.end();
    }
    /// @returns the denial of the adapter that counts now, or null
    load_denial const* denial(adapter_id const& adapter, instant now) const {
        auto const found = denials.find(adapter);
        bool const is_valid =
            found != denials.end() && now < found->second.until;
        return is_valid ? &found->second : nullptr;
    }
    /// @returns requests that are there
    unsigned running() const noexcept { return running_local + running_remote; }
    /// @returns true when the word of others' requests there is not old.
    ///          Guards against a node that takes a replica for empty, as all
    ///          others do, because whoever counts for it is silent.
    bool usage_known(instant now) const noexcept {
        return now < usage_received_at + usage_report_lifetime;
    }
    /// @returns requests there for each slot
    double load() const noexcept {
        return static_cast<double>(running()) / std::max(1U, record.slots);
    }
    /// @returns prompt tokens that it has still to read
    double backlog(instant now) const {
        return local_backlog.remaining_tokens(now) +
               remote_backlog.remaining_tokens(now);
    }
    /// @returns true when new requests may be sent there
    bool accepts_requests() const noexcept {
        return !record.leaving && !missing;
    }
};

/// A change in a node's belief about a replica, for the log.
enum class fleet_change : std::uint8_t { none, joined, leaving, removed };

/// What a node believes about all replicas: the list's word, corrected by
/// newer word from the nodes that order loads and by this node's own use.
class fleet {
public:
    /// Takes up a replica's entry in the list.
    /// @returns what has changed; one that has started again is seen anew
    fleet_change apply(replica_record const& record, instant now);
    /// The list has lost the entry. During a store's outage entries lapse that
    /// come back after it, so the replica stays in use then.
    /// @param keep true while the store is or was just disturbed
    fleet_change
    mark_unlisted(endpoint_id const& id, bool keep_in_use, instant now);
    /// The list was read whole: entries that are not in it are lost.
    std::vector<endpoint_id> mark_unlisted_except(
        std::vector<endpoint_id> const& listed, bool keep_in_use, instant now);
    /// Forgets replicas whose entry stayed away until the store was calm again,
    /// and those that are long gone. Entries that lapsed in an outage are back
    /// within two seconds of the store's return, whenever they were missed.
    /// Guards against a replica that leaves just after the return and gets
    /// requests until it is gone, as if its entry might still come back.
    /// @returns those that are to be treated as gone from now on
    std::vector<endpoint_id> expire_missing(bool store_stable, instant now);

    /// Newer word than the list's: the adapter lies there, ready.
    void mark_resident(
        endpoint_id const& id, adapter_ref const& adapter, instant now);
    /// Newer word: the adapter is about to go from there.
    void mark_unloading(
        endpoint_id const& id, adapter_id const& adapter, instant now);
    /// What all nodes have at a replica, this one included, by the word of the
    /// node that orders for it.
    void update_usage(
        std::uint64_t replica_hash, replica_usage const& total, instant now);
    /// Takes nobody's requests for there where the last word is old: whoever
    /// counted has stopped.
    void expire_usage(instant now);

    /// A request was sent, with a prompt of so many tokens.
    void
    request_started(endpoint_id const& id, unsigned prompt_tokens, instant now);
    /// A request has ended there.
    void request_finished(endpoint_id const& id);

    /// @returns the replica, or null
    replica* find(endpoint_id const& id);
    replica const* find(endpoint_id const& id) const;
    /// @returns all replicas of a service, in the order of their ids
    std::vector<replica*> const& of_service(service_id const& service);
    /// @returns every replica
    std::map<endpoint_id, replica> const& all() const noexcept { return all_; }
    /// @returns a short name of a replica for messages between nodes
    static std::uint64_t id_hash(endpoint_id const& id);
    /// @returns the replica of a short name, or null
    replica* find_by_hash(std::uint64_t hash);

private:
    void rebuild_indexes();
    static bool
    has_restarted(replica const& known, replica_record const& record);
    static bool
    is_stale_record(replica const& known, replica_record const& record);
    static void reset_after_restart(replica& target);
    static void add_cached(replica& target, adapter_id const& adapter);
    static void
    apply_adapters(replica& target, replica_record const& record, instant now);

    std::map<endpoint_id, replica> all_;
    std::unordered_map<service_id, std::vector<replica*>> by_service_;
    std::unordered_map<std::uint64_t, replica*> by_hash_;
};

} // namespace camphorpoint
