#pragma once

#include "Core/time.hpp"
#include "Fleet/machine_slowdown.hpp"
#include "Fleet/prompt_backlog.hpp"
#include "Fleet/replica_health.hpp"
#include "Fleet/replica_pace.hpp"
#include "Fleet/replica_record.hpp"
#include "Fleet/running_request_tracker.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// This node's view of an adapter on a replica.
struct resident_adapter {
    std::uint32_t version = 0;
    /// When a message that is newer than the registry last changed this entry.
    /// A registry update does not override it before `registry_override_period`
    /// has passed.
    instant confirmed_at;
    /// The replica was commanded to unload or replace the adapter.
    bool unloading = false;
};

/// A load request that the replica's controller has denied.
struct load_rejection {
    /// The denial is valid until then.
    instant until;
    /// When the adapter would have been ready.
    instant ready_at;
};

/// Each of up to 90 nodes repeats a replica's usage within a second; two of
/// these messages may be lost.
inline constexpr duration usage_report_lifetime =
    std::chrono::milliseconds(2'500);

/// A node that may try an avoided replica sends the request for which it asked
/// within this time; a later one has to ask again.
inline constexpr duration probe_permission_lifetime =
    std::chrono::milliseconds(100);

/// By then attempts at a replica that stands still have stalled. One where none
/// has is used again: a single request there may have lost its connection.
inline constexpr duration longest_silence_to_avoid =
    std::chrono::milliseconds(2'000);

/// The rate of requests that a replica takes from all nodes together, as named
/// in its answers.
struct replica_rate_limit {
    double per_second = 0;
    /// When the latest answer that named it was received.
    instant named_at;
};

/// A removed replica is remembered for as long as requests may still run there,
/// and as streams of it may be resumed.
inline constexpr duration removed_retention = std::chrono::seconds(60);

/// A limited replica is selected like any other when its limit was not named
/// for this long, since only an answer can show that the limit is lifted.
inline constexpr duration rate_limit_check_interval = std::chrono::seconds(1);

/// The replicas of a service fall over when they have to reject too many
/// requests for want of room, as named in their answers.
struct service_brittleness {
    /// Rejections in a second, of requests of all nodes, that a replica bears.
    unsigned max_rejections = 0;
    /// When the latest answer that named it was received.
    instant named_at;
};

/// This node's view of one replica.
struct replica {
    replica_record record;
    replica_health health;
    std::unordered_map<adapter_id, resident_adapter> adapters;
    /// Adapters that were unloaded, the latest last. The replica keeps them in
    /// its memory, from which a load takes a tenth of the time and does not
    /// read the weight store.
    std::vector<adapter_id> cached_adapters;
    /// Requests of this node that are running at the replica.
    unsigned running_local = 0;
    /// Requests of all other nodes there, as last reported by the replica's
    /// controller, and when that report was received.
    unsigned running_remote = 0;
    instant usage_received_at;
    /// What its controller has learnt about it, from the same report.
    replica_condition condition;
    /// This node may send a request to the avoided replica before this time.
    instant probe_until;
    /// Adapters that could be loaded there at once, less those that wait for a
    /// load, from the same report. Negative when more adapters wait.
    int free_slots = 0;
    /// Prompts that this node and all other nodes have sent there.
    prompt_backlog local_backlog;
    prompt_backlog remote_backlog;
    /// How long it takes for work, as its controller last told, and when.
    pace_measure pace;
    instant pace_told_at;
    /// The same, compared with the other replicas of its service.
    replica_speed speed;
    /// What it or its controller last said about its machine.
    machine_slowdown slowdown;
    /// When this node last told the controller of a slowdown.
    instant slowdown_told_at;

    /// When the entry disappeared from the registry.
    instant missing_since = instant::max();
    bool missing = false;
    /// Load requests that the replica's controller denied since the adapters
    /// would be ready too late, with the time at which they would be ready.
    std::unordered_map<adapter_id, load_rejection> load_rejections;
    /// Set while the replica limits the rate of its requests: each send needs a
    /// permit from its controller.
    std::optional<replica_rate_limit> rate_limit;
    /// When the request was sent whose answer last named no rate.
    instant unlimited_at;
    /// No permit is available before this time.
    instant permit_from;
    /// The replica has asked this node to send no requests before this time.
    instant resting_until;
    /// When this node last received anything from it, over any connection.
    std::optional<instant> heard_at;
    /// Since when requests of this node have been in progress there.
    instant in_use_since;
    /// When an attempt of this node last stalled there.
    std::optional<instant> stalled_at;
    /// The attempts of this node there whose answers have no head yet, by their
    /// numbers, and when an attempt that was sent earlier last received data.
    std::map<std::uint64_t, std::optional<instant>> unanswered;
    /// When the request was sent whose answer last did not say that the replica
    /// is brittle.
    instant not_brittle_at;
    /// When this node last told the controller that it is no longer brittle.
    instant brittleness_end_told_at;
    /// The controller of a brittle replica has not answered, and is not asked
    /// for a slot before this time.
    instant unanswered_until;
    /// When the replica shuts down, if it announced this at short notice.
    instant shutdown_at = instant::max();

    /// @returns true when the replica should still have the adapter cached
    bool has_cached(adapter_id const& adapter) const {
        return std::ranges::find(cached_adapters, adapter) !=
               cached_adapters.end();
    }
    /// @returns the denial of the adapter that is valid now, or null
    load_rejection const*
    load_rejection_of(adapter_id const& adapter, instant now) const {
        auto const found = load_rejections.find(adapter);
        bool const is_valid =
            found != load_rejections.end() && now < found->second.until;
        return is_valid ? &found->second : nullptr;
    }
    /// @returns true when other replicas are preferred because of a limit
    bool yields_to_others(instant now) const noexcept {
        return rate_limit &&
               now < rate_limit->named_at + rate_limit_check_interval;
    }
    /// @returns the number of requests of all nodes that are running there
    unsigned running() const noexcept { return running_local + running_remote; }
    /// @returns true when the usage by other nodes was reported recently.
    ///          Guards against a replica that every node takes for idle because
    ///          its controller sends no reports.
    bool usage_known(instant now) const noexcept {
        return now < usage_received_at + usage_report_lifetime;
    }
    /// @returns true while the replica's controller advises against it
    bool avoided(instant now) const noexcept {
        return condition.avoided && usage_known(now);
    }
    /// @returns true while this node may try it with one request
    bool probe_permitted(instant now) const noexcept {
        return now < probe_until;
    }
    /// @returns true when an attempt of this node has stalled there, and
    ///          nothing has arrived from the replica since
    bool silent_since_stall() const {
        return stalled_at && heard_at.value_or(instant{}) < *stalled_at;
    }
    /// @param longest_usual a replica of the service usually sends something
    ///                      within this time; nothing while that is not known
    /// @returns true while the replica owes answers to this node and has sent
    ///          nothing for longer than usual. After a stall it is tried with
    ///          one request at a time until it answers.
    bool
    falls_silent(std::optional<duration> longest_usual, instant now) const {
        instant const since =
            std::max(in_use_since, heard_at.value_or(instant{}));
        bool const owes_long = longest_usual && now >= since + *longest_usual &&
                               now < since + longest_silence_to_avoid;
        return running_local > 0 && (owes_long || silent_since_stall());
    }
    /// @returns true while requests should be sent to other replicas, by what
    ///          the controller or this node has seen of it
    bool distrusted(instant now) const noexcept {
        return !probe_permitted(now) && (health.suspected(now) || avoided(now));
    }
    /// @returns the probability that an attempt there fails
    double failure_probability(instant now) const {
        double const own = health.failure_fraction(now);
        return usage_known(now) ? std::max(own, condition.failure_probability)
                                : own;
    }
    /// @returns running requests per slot
    double load() const noexcept {
        return static_cast<double>(running()) / std::max(1U, record.slots);
    }
    /// @returns how long work takes there at the moment, relative to the median
    ///          replica of the service
    double slowness(instant now) const {
        return speed.pace * slowdown.factor(now);
    }
    /// @returns running requests per slot, by the time that they take there
    double timed_load() const { return load_in_time(load(), speed.pace); }
    /// @returns how long a prompt takes there at the moment
    duration prompt_time(double tokens, instant now) const {
        std::chrono::duration<double> const token = speed.token_time;
        return std::chrono::duration_cast<duration>(
            token * tokens * slowdown.factor(now));
    }
    /// @returns how long the prompts take that the replica has yet to process
    duration backlog_time(instant now) const {
        return prompt_time(backlog(now), now);
    }
    /// @returns prompt tokens that the replica has yet to process
    double backlog(instant now) const {
        return local_backlog.remaining_tokens(now) +
               remote_backlog.remaining_tokens(now);
    }
    /// @returns true while the replica wants no requests of this node
    bool resting(instant now) const noexcept { return now < resting_until; }
    /// @returns true when new requests may be sent to the replica
    bool accepts_requests() const noexcept {
        return !record.leaving && !missing;
    }
};

/// A software version that replicas of a service ran under an id which now
/// names another version or service.
struct former_software {
    software_version version;
    /// When the last of these entries changed.
    instant until;
};

/// A change in this node's view of a replica, for the log.
enum class fleet_change : std::uint8_t { none, joined, leaving, removed };

/// This node's view of all replicas: the entries of the replica registry,
/// corrected by newer messages from the replicas' controllers and by this
/// node's own requests.
class fleet {
public:
    /// Applies a replica's registry entry. A replica whose process has
    /// restarted counts as joined.
    /// @returns what has changed
    fleet_change apply(replica_record const& record, instant now);
    /// @returns true when the entry is of another process than the known one
    static bool
    has_restarted(replica const& known, replica_record const& record);
    /// Marks a replica whose entry has disappeared from the registry. It is
    /// removed at once, unless `keep_in_use` is set, since entries that expire
    /// during a store outage reappear after it.
    /// @param keep_in_use true while the store is unstable or has just
    ///                    recovered
    fleet_change
    mark_unlisted(endpoint_id const& id, bool keep_in_use, instant now);
    /// Marks all replicas that a full poll of the registry did not return.
    /// @param listed the replicas that the poll returned
    /// @returns the replicas that are removed by this
    std::vector<endpoint_id> mark_unlisted_except(
        std::vector<endpoint_id> const& listed, bool keep_in_use, instant now);
    /// Removes replicas whose entry is still missing when the store is stable
    /// again, and forgets those that were removed long ago, and software
    /// versions that entries named before then. Entries that
    /// expired in an outage reappear within two seconds of the store's
    /// recovery, no matter when they were found missing. Guards against a
    /// replica that leaves just after the recovery and gets requests until it
    /// is gone, as if its entry might still reappear.
    /// @returns the replicas that count as removed from now on
    std::vector<endpoint_id> expire_missing(bool store_stable, instant now);

    /// Applies a message that is newer than the registry: the adapter is
    /// resident there and ready.
    void mark_resident(
        endpoint_id const& id, adapter_ref const& adapter, instant now);
    /// Applies a message that is newer than the registry: the adapter is about
    /// to be unloaded there.
    void mark_unloading(
        endpoint_id const& id, adapter_id const& adapter, instant now);
    /// Applies a report by the replica's controller of what all nodes, this one
    /// included, have running there.
    /// @param replica_hash `id_hash` of the replica; unknown replicas are
    ///                     ignored
    void update_usage(
        std::uint64_t replica_hash, replica_usage const& total, instant now);
    /// Applies what an answer of the replica, received here, says about its
    /// machine.
    /// @param factor 1 when work takes as long as usual
    /// @returns true when that differs from what was known
    bool note_slowdown(endpoint_id const& id, double factor, instant now);
    /// Applies an answer that names a rate limit, received here or by another
    /// node.
    /// @param named_at when the answer was received
    /// @returns true when the limit was unknown or another one
    bool limit_rate(endpoint_id const& id, double per_second, instant named_at);
    /// Applies an answer that names no rate limit. Answers may overtake each
    /// other, so only one to a request that was sent after the limit was named
    /// lifts it.
    /// @returns true when this lifts a limit
    bool lift_rate_limit(endpoint_id const& id, instant sent_at);
    /// Applies an answer that says that a service's replicas are brittle,
    /// received here or by another node. It holds for replicas that are listed
    /// later, too: one that has fallen over comes back under a new id.
    /// @param named_at when the answer was received
    /// @returns true when that was unknown
    bool mark_brittle(
        service_id const& service, unsigned max_rejections, instant named_at);
    /// Applies an answer of a replica that does not say so. It is brittle again
    /// when a replica of its service names it later.
    /// @param sent_at when the request was sent
    /// @returns true when this lifts it
    bool clear_brittle(endpoint_id const& id, instant sent_at);
    /// @returns true when a request that was sent there after the given time
    ///          was answered without saying that the replica is brittle
    static bool not_brittle_since(replica const& of, instant named_at) {
        return of.not_brittle_at > named_at;
    }
    /// Decides whether the controller of a replica that has answered is told
    /// now that it is no longer brittle. That is repeated, since a datagram may
    /// be lost and the controller may change.
    /// @param news the answer has shown it
    bool begin_telling_brittleness_end(
        endpoint_id const& id, bool news, instant now);
    /// @returns what the replica bears; nothing when it is not brittle
    std::optional<service_brittleness> brittleness(replica const& of) const;
    /// @returns true when each request to the replica needs a granted slot
    bool is_brittle(replica const& of) const {
        return brittleness(of).has_value();
    }
    /// @returns the services whose replicas have named it
    std::unordered_map<service_id, service_brittleness> const&
    brittle_services() const noexcept {
        return brittle_services_;
    }
    /// Records that a replica has announced its shutdown. Entries that do not
    /// say so yet do not withdraw it.
    /// @param process the process that has announced it; nothing when that is
    ///                not known. Another one does not leave.
    /// @returns true when that was unknown
    bool
    mark_leaving(endpoint_id const& id, std::optional<incarnation> process);
    /// Records that a replica wants no requests of this node. A shorter rest
    /// does not end a longer one, a restart of the replica ends it.
    void mark_resting(endpoint_id const& id, instant until);
    /// Records that this node has received something from a replica.
    void mark_heard(endpoint_id const& id, instant now);
    /// Records that an attempt has stalled.
    void mark_stalled(endpoint_id const& id, instant now);
    /// Records that an attempt is sent to a replica.
    /// @returns the number of the attempt; later ones have higher numbers
    std::uint64_t attempt_sent(endpoint_id const& id);
    /// Records that an attempt has received data.
    void
    attempt_heard(endpoint_id const& id, std::uint64_t number, instant now);
    /// Records that the head of an attempt's answer has arrived, or that the
    /// attempt has ended.
    void attempt_answered(endpoint_id const& id, std::uint64_t number);
    /// @returns when an attempt there that was sent before this one last
    ///          received data; nothing when none did since this one was sent
    std::optional<instant>
    heard_before(endpoint_id const& id, std::uint64_t number) const;
    /// Records that the controller of a brittle replica has not answered.
    void mark_unanswered(endpoint_id const& id, instant until);
    /// Resets the usage by other nodes where the last report is too old, since
    /// the controller that counted has stopped, and drops denials that are no
    /// longer valid.
    void expire_usage(instant now);

    /// Ends the suspicion of all replicas: this node did not reach them because
    /// of its own links.
    void clear_suspicions();

    /// Counts a request of this node that was sent to the replica. It uses up
    /// the permission to try an avoided replica.
    /// @param prompt_tokens length of its prompt
    /// @returns true when there was such a permission
    bool
    request_started(endpoint_id const& id, unsigned prompt_tokens, instant now);
    /// Counts the completion of a request of this node.
    void request_finished(endpoint_id const& id);

    /// @returns the replica, or null
    replica* find(endpoint_id const& id);
    replica const* find(endpoint_id const& id) const;
    /// @returns all replicas of a service, ordered by id
    std::vector<replica*> const& of_service(service_id const& service);
    /// @returns the software versions whose streams may still be resumed
    ///          although the entries of their replicas name others
    std::vector<former_software> const&
    former_versions(service_id const& service) const;
    /// @returns the replicas of all services that have an entry of the adapter,
    ///          ordered by id
    std::vector<replica*> const& with_adapter(adapter_id const& adapter) const;
    /// @returns every replica
    std::map<endpoint_id, replica> const& all() const noexcept { return all_; }
    /// @returns the hash that identifies a replica in messages between nodes
    static std::uint64_t id_hash(endpoint_id const& id);
    /// @returns the replica with this hash, or null
    replica* find_by_hash(std::uint64_t hash);

private:
    void add_to_service(replica& target);
    void remove_from_service(replica& target);
    void index_adapter(adapter_id const& adapter, replica& target);
    void unindex_adapter(adapter_id const& adapter, replica& target);
    void unindex_adapters(replica& target);
    resident_adapter& adapter_entry(replica& target, adapter_id const& adapter);
    void forget(endpoint_id const& id);
    void keep_former_software(replica_record const& former, instant now);
    void expire_former_software(instant now);
    static void
    adopt_condition(replica& target, replica_condition const& of, instant now);
    /// Compares the replicas of a service anew, when that is due.
    void refresh_speeds(service_id const& service, instant now);
    static bool
    is_stale_record(replica const& known, replica_record const& record);
    void reset_after_restart(replica& target);
    static void add_cached(replica& target, adapter_id const& adapter);
    void
    apply_adapters(replica& target, replica_record const& record, instant now);

    std::map<endpoint_id, replica> all_;
    std::unordered_map<service_id, std::vector<replica*>> by_service_;
    std::unordered_map<std::uint64_t, replica*> by_hash_;
    /// At the size to design for a service has 12,000 replicas, and an adapter
    /// is resident on a few of them.
    std::unordered_map<adapter_id, std::vector<replica*>> by_adapter_;
    /// When the replicas of a service are compared next.
    std::unordered_map<service_id, instant> next_comparison_;
    std::unordered_map<service_id, service_brittleness> brittle_services_;
    std::uint64_t last_attempt_ = 0;
    std::unordered_map<service_id, std::vector<former_software>>
        former_versions_;
};

} // namespace camphorpoint
