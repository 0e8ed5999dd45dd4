#pragma once

#include "Delivery/part_monitor.hpp"
#include "Delivery/request_gate.hpp"
#include "Delivery/stream_origins.hpp"
#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_datagram.hpp"
#include "Gateway/view_reader.hpp"
#include "Limits/rate_schedule.hpp"
#include "Limits/slot_grants.hpp"
#include "Ports/probe_link.hpp"
#include "ReplicaControl/load_priority.hpp"
#include "Teams/usage_counter.hpp"
#include "Teams/usage_history.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace camphorpoint {

/// Whether a request is within its team's usage cap.
enum class usage_outcome : std::uint8_t {
    granted,
    /// Granted by this node's own past rate, since the node that counts the
    /// team's usage does not answer.
    granted_unconfirmed,
    denied,
    /// The node that counts the team's usage does not answer, and this node's
    /// past rate does not suffice.
    unconfirmed
};

/// Answer to a request for units of a usage cap.
struct usage_answer {
    usage_outcome outcome = usage_outcome::unconfirmed;
    /// When denied, the time after which the same request would be granted.
    duration retry_after{0};
};

/// The answer to a question for a slot of a brittle replica.
struct slot_permit {
    rate_permit permit;
    /// Identifies the slot.
    std::uint64_t number = 0;
};

/// Exchanges datagrams with the other nodes: load requests and adapter usage
/// for the lease holder of a replica's partition; residency changes, partition
/// claims, suspicions, quarantines and replica usage for all nodes.
class peer_messenger {
public:
    /// Callbacks for received messages, and for this node's own ones when it is
    /// itself the lease holder.
    struct message_handlers {
        /// Handles a request to load an adapter.
        /// @returns nothing when the request is accepted, otherwise the
        ///          expected time until the adapter would be ready
        std::function<std::optional<duration>(peer_load_request const& request)>
            on_load_request;
        std::function<void(peer_adapter_usage const& use)> on_usage;
        /// @returns how many more adapters could be loaded now at a replica of
        ///          which this node is the controller, less the pending load
        ///          requests
        std::function<int(std::uint64_t replica)> free_slots;
        /// Another node has polled new changes of the replica registry.
        std::function<void(peer_registry_update const& reading)>
            on_registry_update;
        /// Another node reports its position in the operator's declarations and
        /// the sum of the versions that it knows.
        std::function<void(store_position position, std::uint64_t total)>
            on_peer_progress;
        /// Another node reports for how long polls of the registry were
        /// answered.
        std::function<void(duration answered_for)> on_registry_answered;
        /// Another node reports a later store epoch.
        std::function<void(store_epoch epoch)> on_epoch;
    };

    /// @param state updated from received messages; must outlive this object
    /// @param handlers called for messages that other components handle
    peer_messenger(gateway_state& state, message_handlers handlers);

    /// Sets what reads whether this node's view is current; must be called
    /// before `start`.
    void set_view_reader(view_reader& reader) { view_reader_ = &reader; }
    /// Binds the peer address and starts the periodic broadcasts.
    /// @returns the reason when the address can't be bound, empty on success
    std::string start();
    /// Stops the broadcasts and closes the peer address.
    void stop();

    /// Asks the controller of a replica to load an adapter there.
    /// @param priority whether a request waits for the load, or it is a
    ///        prefetch
    /// @param first_request true when the waiting request has not asked for a
    ///        load at this replica before
    /// @param wait_budget how long the request may wait for the load
    void request_load(
        replica const& at, adapter_ref const& adapter, load_priority priority,
        bool first_request, duration wait_budget);
    /// Broadcasts residency changes at a replica of which this node is the
    /// controller.
    void broadcast_residency(
        endpoint_id const& at, std::vector<peer_residency> residencies);
    /// Broadcasts that this node holds the lease of a partition.
    /// @param token fencing number of the claim
    void broadcast_claim(std::size_t partition, std::uint64_t token);
    /// Broadcasts that a replica did not answer.
    /// @param backoff how long other nodes should avoid it
    void broadcast_suspicion(replica const& at, duration backoff);
    /// Counts a replica crash during an attempt of a request, here and at the
    /// nodes that count the crashes of this fingerprint.
    /// @param replica identifies the replica process: another value after each
    ///        restart
    /// @returns true when other nodes count too, so that they may know of more
    ///          crashes
    bool report_crash(request_fingerprint fingerprint, std::uint64_t replica);
    /// Reports that an attempt of a request completed without a crash of its
    /// replica, which lifts a quarantine of its fingerprint.
    void report_completion(request_fingerprint fingerprint);
    /// Reports that a replica crashed during an attempt before it had written
    /// any part of the answer, which may be due to a part of the prompt.
    /// @param parts   fingerprints of the prompt's shared parts
    /// @param request fingerprint of the whole request
    /// @param replica identifies the replica process
    /// @param attempt_began when the attempt began
    void report_part_crash(
        std::vector<request_fingerprint> const& parts,
        request_fingerprint request, std::uint64_t replica,
        instant attempt_began);
    /// Admits a request as the trial of a quarantined part, if this node
    /// decides on it and there has been none.
    bool try_quarantined_part(request_fingerprint part);
    /// Reports that a replica has written the first part of an answer on these
    /// prompt parts, which lifts a quarantine of them.
    void report_output(std::vector<request_fingerprint> const& parts);
    /// @returns true when attempts of a request must be admitted one at a time:
    ///          a replica has crashed under it, or this node started recently
    ///          and may not know of such a crash
    bool requires_admission(request_fingerprint fingerprint, instant now) const;
    /// Asks the request gate to admit an attempt. The gate is kept by one node
    /// for all.
    /// @param attempt number of the attempt, unique over all nodes
    /// @returns false when another attempt of the same request is in progress
    ///          on some node, or the request is quarantined
    boost::asio::awaitable<bool>
    request_admission(request_fingerprint fingerprint, std::uint64_t attempt);
    /// Reports to the gate that an attempt has delivered a part of its answer.
    void report_progress(request_fingerprint fingerprint);
    /// Reports to the gate that an admitted attempt has ended without any part
    /// of an answer.
    void report_attempt_ended(
        request_fingerprint fingerprint, std::uint64_t attempt);
    /// Broadcasts that a request fingerprint is quarantined or released.
    void broadcast_quarantine(quarantine_update const& update);
    /// While this node is starting and its peers have not reported yet, asks a
    /// few of them how many of the operator's declarations they know.
    void query_declared();
    /// Broadcasts the changes that this node has polled from the replica
    /// registry.
    void broadcast_registry_update(peer_registry_update update);
    /// Counts a request that uses an adapter, until `end_use`, and reports the
    /// use to the controller of the replica.
    /// @param prompt_tokens prompt tokens that the replica has to process for
    ///        the request
    void begin_use(
        endpoint_id const& at, adapter_id const& adapter,
        unsigned prompt_tokens);
    /// @param report how the attempt has ended; nothing when that says nothing
    ///               about the replica
    void end_use(
        endpoint_id const& at, adapter_id const& adapter,
        std::optional<attempt_report> const& report);
    /// Applies what an answer of a replica says about its machine, and tells
    /// the replica's controller when it differs from what this node has known.
    /// @param factor 1 when work takes as long as usual
    void report_slowdown(endpoint_id const& at, double factor);
    /// Forgets how attempts at a replica have ended, since another process runs
    /// there now.
    void forget_outcomes(endpoint_id const& at);
    /// Asks the controllers of replicas for their usage, where the last
    /// reported usage is out of date. Each answer wakes the requests that wait
    /// for the adapter.
    /// @param may_probe the request loses little when it is sent to an avoided
    ///                  replica and fails
    /// @returns the replicas whose controllers were asked
    std::vector<endpoint_id> query_replica_usage(
        std::vector<replica*> const& of, adapter_id const& adapter,
        bool may_probe, instant now);
    /// Applies what an answer of a replica says about its rate limit, and
    /// reports it to the replica's controller.
    /// @param per_second the rate that it names; nothing when it names none
    /// @param sent_at when the request was sent
    void report_rate_limit(
        endpoint_id const& at, std::optional<double> per_second,
        instant sent_at);
    /// Applies an answer of a replica that announces its shutdown, and tells
    /// all nodes when it is news.
    void report_leaving(endpoint_id const& at);
    /// Applies what an answer of a replica says about its brittleness. Tells
    /// all nodes when it is news that it is brittle, and the replica's
    /// controller that it is no longer.
    /// @param max_rejections as it names it; nothing when it names none
    /// @param sent_at when the request was sent
    void report_brittleness(
        endpoint_id const& at, std::optional<unsigned> max_rejections,
        instant sent_at);
    /// Reports to the controller of a brittle replica that it has rejected a
    /// request.
    /// @param number of the slot with which the request was sent, 0 for none
    void report_rejection(endpoint_id const& at, std::uint64_t number);
    /// @returns true when each request to the replica needs a granted slot
    bool is_brittle(endpoint_id const& at) const;
    /// Asks the controller of a brittle replica for a slot. The request counts
    /// as running from the grant on. A controller that does not answer has
    /// granted none.
    /// @param budget how long the request may wait for a slot
    boost::asio::awaitable<slot_permit>
    request_slot(endpoint_id at, duration budget);
    /// Asks the controller of a replica with a rate limit for a permit to send
    /// one request there. A controller that does not answer has granted none.
    /// @param budget how long the request may wait
    boost::asio::awaitable<rate_permit>
    request_permit(endpoint_id at, duration budget);
    /// Asks the node that counts a team's usage for the units of one request.
    /// @param team  the team's hash
    /// @param cap   the team's cap, which limits
    /// @param units what the request uses
    boost::asio::awaitable<usage_answer>
    request_usage(std::uint64_t team, usage_cap cap, std::uint64_t units);
    /// Returns the units of a request that was granted and has not run.
    void return_usage(std::uint64_t team, std::uint64_t units);
    /// Records at which software version a stream of this node is written, here
    /// and at the stream's keepers. Must be called before its first event is
    /// forwarded.
    void record_stream(service_id const& service, stream_record const& record);
    /// Notes that the caller of a stream has all of it.
    void stream_completed(stream_key stream);
    /// Finds the software version at which a stream may be resumed. Asks the
    /// stream's keepers unless this node knows it.
    boost::asio::awaitable<stream_resumption>
    find_stream_origin(stream_key stream, service_id service);
    /// @returns the number of teams whose usage this node counts
    std::size_t counted_teams() const noexcept { return usage_counter_.size(); }
    /// Broadcasts this node's status at once.
    void announce_status() { broadcast_status(boot_clock::now()); }
    /// Selects a node to which a request can be relayed: one from which a
    /// message was received lately, and which reaches replicas.
    /// @param tried nodes that are not selected
    /// @param worst nodes that reach less than this are not selected
    /// @returns its peer address; nothing when there is no such node
    std::optional<std::string> select_relay(
        std::set<std::string> const& tried, replica_links worst, instant now);
    /// @returns true when the lease holder of a replica in use is unknown, or
    ///          no message has been received from it for a while
    bool lacks_reachable_lease_holder(instant now) const;
    /// Records the lease holder of a partition, as listed by the store.
    /// @param member peer address of the lease holder
    void set_lease_holder(std::size_t partition, std::string const& member);

private:
    struct pending_stream_question;
    struct use_count {
        unsigned running = 0;
        /// How often it is still to be reported that none is running.
        int end_repeats = 0;
        /// Prompt tokens that have not been reported yet.
        unsigned prompt_tokens = 0;
    };
    struct use_key {
        endpoint_id replica;
        adapter_id adapter;
        friend auto operator<=>(use_key const&, use_key const&) = default;
    };

    boost::asio::awaitable<void> run_broadcasts();
    void receive(std::string const& bytes);
    void handle(peer_datagram const& message);
    void send(std::string const& peer, peer_datagram message);
    void send_all(peer_datagram const& message);
    void send_use(
        use_key const& key, use_count& count,
        std::optional<attempt_report> const& report = std::nullopt);
    void repeat_uses();
    void handle_attempt_report(peer_attempt_report const& report, instant now);
    /// Tells the tracker what this node knows of a replica.
    void describe(std::uint64_t hash, replica const& at, instant now);
    /// Permits this node to try an avoided replica that it controls.
    void permit_own_probe(std::uint64_t replica, bool suitable, instant now);
    void log_avoidance(
        endpoint_id const& at, bool begins, std::string_view why, instant now);
    void handle_usage(
        peer_adapter_usage const& use, std::string const& from, instant now);
    void handle_usage_query(
        peer_replica_usage_query const& query, std::string const& from,
        instant now);
    replica_usage current_usage(std::uint64_t replica, instant now) const;
    std::optional<peer_replica_usage>
    usage_message(std::uint64_t replica, instant now) const;
    void broadcast_status(instant now);
    /// @returns the interval between two status broadcasts of a node
    duration status_interval() const;
    bool is_lease_holder(endpoint_id const& at) const;
    void store_lease_holder(std::size_t partition, std::string const& member);
    void expire_peers(instant now);
    peer_datagram status_message() const;
    void
    handle_load_rejection(peer_load_rejection const& rejection, instant now);
    bool has_capacity_for(peer_load_request const& request, instant now) const;
    void handle_load_request(
        peer_load_request const& request, std::string const& from);
    void count_crash(peer_crash const& crash, instant now);
    void lift_quarantine(request_fingerprint fingerprint);
    void expire_reported_fingerprints(instant now);
    std::set<std::string> crash_counters_of(std::uint64_t fingerprint) const;
    void repeat_crashes(instant now);
    void repeat_quarantines(instant now);
    void send_part_crash(part_crash const& crash, instant now);
    void count_part_crash(part_crash const& crash, instant now);
    void handle_part_messages(peer_datagram const& message, instant now);
    void repeat_part_crashes(instant now);
    void report_completion_to_counters(request_fingerprint fingerprint);
    void quarantine_confirmed_parts(instant now);
    void announce_quarantine(quarantine_update const& update);
    void handle_quarantine(
        peer_quarantine const& message, std::string const& from, instant now);

    std::string
    gate_node_of(request_fingerprint fingerprint, instant now) const;
    bool admit_locally(
        request_fingerprint fingerprint, std::uint64_t attempt, instant now);
    void apply_rate_limit(
        peer_rate_limit const& message, std::string_view by, instant now);
    /// @returns true when it was not known that the service is brittle
    bool apply_brittleness(
        peer_brittle_service const& message, std::string_view by, instant now);
    /// Applies an answer that does not say that the replica is brittle.
    /// @param sent_at when its request was sent
    /// @returns true when the replica was taken for brittle
    bool end_brittleness(
        endpoint_id const& at, instant sent_at, std::string_view by);
    /// Tells the controller of a replica that has answered that it is no longer
    /// brittle, unless it was told lately.
    /// @param news the answer has shown it
    void tell_brittleness_end(endpoint_id const& at, bool news, instant now);
    /// @returns true when it was not known that the replica leaves
    bool apply_leaving(
        endpoint_id const& id, std::optional<incarnation> process,
        std::string_view by);
    /// @returns the replicas whose shutdown this node has reported lately
    void handle_leaving(peer_leaving_replica const& message);
    std::vector<peer_leaving_replica> recently_leaving(instant now);
    /// @returns the services whose answers have said lately that they are
    ///          brittle
    std::vector<peer_brittle_service> brittle_services(instant now) const;
    void handle_rejection(
        peer_rejection const& message, std::string const& from, instant now);
    /// @returns the decision, nothing when this node does not control the
    ///          replica
    std::optional<peer_permit_reply> grant_slot(
        peer_permit_request const& request, std::string const& from,
        instant now);
    /// Sends a request for a permit to another node and waits for its answer.
    boost::asio::awaitable<std::optional<peer_permit_reply>> ask_controller(
        std::string controller, peer_permit_request request, duration timeout);
    /// Drops the slots of replicas that are gone or no longer brittle.
    void drop_unused_grants();
    /// @returns how often a report about a replica's usage is sent
    int copies_of_report(endpoint_id const& at) const;
    /// @returns the message about a replica's limit, or about its absence
    static peer_rate_limit rate_limit_message(replica const& at, instant now);
    std::optional<peer_permit_reply>
    reserve_permit(std::uint64_t replica, duration budget, instant now);
    void handle_permit_request(
        peer_permit_request const& message, std::string const& from,
        instant now);
    void handle_permit_reply(peer_permit_reply const& message);
    /// @returns the decision, nothing when this node does not count the team
    std::optional<usage_decision> count_usage(
        usage_question const& question, usage_cap const& cap, instant now);
    /// Asks another node, twice at most.
    /// @returns the decision, nothing when no answer arrives
    boost::asio::awaitable<std::optional<usage_decision>>
    query_usage(std::string counter, peer_usage_message question);
    void send_usage_message(
        std::string const& to, peer_usage_message const& message);
    void handle_usage_message(
        peer_usage_message const& message, std::string const& from,
        instant now);
    void answer_usage_request(
        peer_usage_message const& message, std::string const& from,
        instant now);
    /// @returns the node that counts a team's usage, empty when none is known
    std::string usage_counter_of(std::uint64_t team) const;
    void announce_stream(stream_record const& record);
    void announce_deferred_streams(instant now);
    origin_evidence
    evidence_of(stream_key stream, service_id const& service, instant now);
    /// Asks the keepers until all have answered, one of them has a record, or
    /// the questions have been repeated often enough.
    boost::asio::awaitable<void>
    ask_stream_keepers(pending_stream_question& pending);
    void send_stream_questions(pending_stream_question const& pending);
    resumption_choice
    choose_origin(pending_stream_question const& pending, bool confirmed);
    void handle_stream_messages(peer_datagram const& message, instant now);
    void send_gate_message(std::string const& to, peer_gate_message message);
    void handle_gate_message(
        peer_gate_message const& message, std::string const& from, instant now);

    /// An admission request to another node's gate, until it is answered.
    struct pending_admission {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<bool> admitted;
    };
    /// A permit request to another node, until it is answered.
    struct pending_permit {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<peer_permit_reply> reply;
    };
    /// A question about a team's usage, until it is answered.
    struct pending_usage {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<usage_decision> decision;
    };
    /// A question about a stream's origin, until the keepers have answered.
    struct pending_stream_question {
        peer_stream_question question;
        boost::asio::steady_timer* timer = nullptr;
        std::vector<std::string> asked;
        std::map<std::string, origin_evidence> answers;

        /// @returns true when a node that has answered has a record
        bool found() const;
        /// @returns true when all nodes that were asked have answered
        bool answered() const;
    };
    /// A crash that this node has seen, and how long its report is repeated.
    struct reported_crash {
        peer_crash crash;
        instant repeat_until;
    };

    /// The same for a crash that a prompt part may have caused.
    struct reported_part_crash {
        part_crash crash;
        instant repeat_until;
    };

    gateway_state* state_;
    message_handlers handlers_;
    view_reader* view_reader_ = nullptr;
    probe_link link_;
    std::map<std::size_t, std::string> lease_holders_;
    /// The latest two changes of each partition's lease holder that this node
    /// knows of, the newer one first.
    std::map<std::size_t, std::array<std::optional<instant>, 2>>
        holder_changes_;
    std::map<use_key, use_count> uses_;
    /// When this node last requested a load of an adapter at a replica.
    std::map<use_key, instant> last_load_requests_;
    running_request_tracker request_tracker_;
    std::deque<reported_crash> recent_crashes_;
    /// Fingerprints of which this node has reported a crash, with the time of
    /// the last report.
    std::unordered_map<request_fingerprint, instant> reported_fingerprints_;
    part_monitor part_monitor_;
    std::deque<reported_part_crash> recent_part_crashes_;
    request_gate gate_;
    std::unordered_map<std::uint64_t, pending_admission> pending_admissions_;
    /// Permits for the replicas with a rate limit that this node controls.
    std::unordered_map<std::uint64_t, rate_schedule> rate_schedules_;
    std::unordered_map<std::uint64_t, pending_permit> pending_permits_;
    /// Replicas whose shutdown this node has reported, and when.
    struct reported_leaving {
        peer_leaving_replica message;
        instant reported_at;
    };
    std::unordered_map<std::uint64_t, reported_leaving> reported_leaving_;
    /// Slots of the brittle replicas that this node controls.
    std::unordered_map<std::uint64_t, slot_grants> slot_grants_;
    std::uint64_t last_permit_request_ = 0;
    usage_counter usage_counter_;
    /// What each team's requests at this node were granted.
    std::unordered_map<std::uint64_t, usage_history> usage_histories_;
    std::unordered_map<std::uint64_t, pending_usage> pending_usages_;
    std::uint64_t last_usage_request_ = 0;
    stream_origins stream_origins_;
    std::unordered_map<std::uint64_t, pending_stream_question>
        pending_stream_questions_;
    std::uint64_t last_stream_question_ = 0;
    instant started_at_;
    bool running_ = false;
};

/// Number of nodes that count the crashes of a fingerprint. One of them may
/// have stopped without the others knowing, and another may have started a
/// moment ago.
inline constexpr unsigned crash_counter_nodes = 3;

/// @returns the partition that a replica belongs to
std::size_t partition_of(endpoint_id const& replica);

/// @returns the partition whose lease holder counts a team's usage
/// @param team the hash of its name
std::size_t partition_of_team(std::uint64_t team);

} // namespace camphorpoint
