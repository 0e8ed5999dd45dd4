#pragma once

#include "Delivery/request_gate.hpp"
#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_datagram.hpp"
#include "Ports/probe_link.hpp"
#include "ReplicaControl/load_priority.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

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

/// What nodes tell each other, by datagrams: wants of adapters to the node that
/// orders for the replica, word of what was loaded or is about to go to all,
/// and counts of running requests.
class peer_messenger {
public:
    /// Takes wants and uses that are this node's to heed.
    struct message_handlers {
        /// @returns nothing when it is taken, else how long it would take
        std::function<std::optional<duration>(peer_load_request const& request)>
            on_load_request;
        std::function<void(peer_adapter_usage const& use)> on_usage;
        /// @returns adapters that could be loaded at a replica that this node
        ///          orders for, less those that wait
        std::function<int(std::uint64_t replica)> free_slots;
        /// Another node has read on in the list of replicas.
        std::function<void(peer_registry_update const& reading)>
            on_registry_update;
        /// Another node has read so far in what the operator declares, and
        /// knows so much of it.
        std::function<void(store_position position, std::uint64_t total)>
            on_peer_progress;
        /// Another node has met this era of the store.
        std::function<void(store_epoch epoch)> on_epoch;
    };

    /// @param beliefs where word from others goes; must outlive this
    peer_messenger(gateway_state& state, message_handlers handlers);

    /// Binds and begins to tell counts.
    /// @returns the reason when the address can't be had, empty on success
    std::string start();
    /// Ends.
    void stop();

    /// Asks whoever orders for the replica to load the adapter there.
    /// @param kind     for whom
    /// @param first_request the request has not asked at this replica before
    /// @param patience how long the request may wait for it there
    void request_load(
        replica const& at, adapter_ref const& adapter, load_priority priority,
        bool first_request, duration wait_budget);
    /// Tells all nodes of changes at a replica that this node orders for.
    void broadcast_residency(
        endpoint_id const& at, std::vector<peer_residency> residencies);
    /// Tells all nodes that this one orders for a partition.
    void broadcast_claim(std::size_t partition, std::uint64_t token);
    /// Tells all nodes that a replica is silent.
    void broadcast_suspicion(replica const& at, duration backoff);
    /// Counts that a replica ended while it ran a content, here and at the
    /// nodes that count it.
    /// @param replica another name for each start of it
    /// @returns true when others count it, who may know of more ends
    bool report_crash(request_fingerprint fingerprint, std::uint64_t replica);
    /// A run of a content ended well: it has not ended its replicas.
    void report_completion(request_fingerprint fingerprint);
    /// @returns true when runs of a content begin one at a time: a replica has
    ///          ended under it, or this node has begun and may not know of that
    bool requires_admission(request_fingerprint fingerprint, instant now) const;
    /// A run asks to begin.
    /// @param run number of the run, unique over all nodes
    /// @returns false when another run of the content is under way somewhere
    boost::asio::awaitable<bool>
    request_admission(request_fingerprint fingerprint, std::uint64_t attempt);
    /// A run of a content has brought a part of its answer.
    void report_progress(request_fingerprint fingerprint);
    /// A run that was let begin has ended and has shown nothing.
    void report_attempt_ended(
        request_fingerprint fingerprint, std::uint64_t attempt);
    /// Tells all nodes whether a content is run.
    void broadcast_quarantine(quarantine_update const& update);
    /// Asks a few nodes how much they know of what the operator declares, while
    /// this one has begun and has not heard it.
    void query_declared();
    /// Tells all nodes what this one has read in the list.
    void broadcast_registry_update(peer_registry_update update);
    /// Notes that a request uses an adapter, until `release`, and tells whoever
    /// orders for the replica.
    /// @param prompt_tokens that the replica has to read for it
    void begin_use(
        endpoint_id const& at, adapter_id const& adapter,
        unsigned prompt_tokens);
    void end_use(endpoint_id const& at, adapter_id const& adapter);
    /// Asks whoever orders for these replicas how full they are, where the
    /// last word of it is not fresh. Whoever waits for the adapter is woken by
    /// the answers.
    /// @returns those that were asked for
    std::vector<endpoint_id> query_replica_usage(
        std::vector<replica*> const& of, adapter_id const& adapter,
        instant now);
    /// @returns true when nobody is known who orders for a replica, or that
    ///          node has not been heard for a while
    bool lacks_reachable_lease_holder(instant now) const;
    /// A node orders for a partition, as the group's list says.
    void set_lease_holder(std::size_t partition, std::string member);

private:
    struct use_count {
        unsigned running = 0;
        /// Not yet told.
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
    void send_use(use_key const& key, use_count& count);
    void repeat_uses();
    void handle_usage(
        peer_adapter_usage const& use, std::string const& from, instant now);
    void handle_usage_query(
        peer_replica_usage_query const& query, std::string const& from,
        instant now);
    replica_usage current_usage(std::uint64_t replica, instant now) const;
    std::optional<peer_replica_usage>
    usage_message(std::uint64_t replica, instant now) const;
    void broadcast_status(instant now);
    bool is_lease_holder(endpoint_id const& at) const;
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
    void handle_quarantine(
        peer_quarantine const& message, std::string const& from, instant now);

    std::string
    gate_node_of(request_fingerprint fingerprint, instant now) const;
    bool admit_locally(
        request_fingerprint fingerprint, std::uint64_t attempt, instant now);
    void send_gate_message(std::string const& to, peer_gate_message message);
    void handle_gate_message(
        peer_gate_message const& message, std::string const& from, instant now);

    /// An ask at a content's gate, until it is answered.
    struct pending_admission {
        boost::asio::steady_timer* timer = nullptr;
        std::optional<bool> admitted;
    };
    /// An end that this node has seen, and until when it is told again.
    struct reported_crash {
        peer_crash crash;
        instant repeat_until;
    };

    gateway_state* state_;
    message_handlers handlers_;
    probe_link link_;
    std::map<std::size_t, std::string> lease_holders_;
    std::map<use_key, use_count> uses_;
    /// When this node said last that it waits for an adapter at a replica.
    std::map<use_key, instant> last_load_requests_;
    running_request_tracker request_tracker_;
    std::deque<reported_crash> recent_crashes_;
    /// Contents whose ends this node has told, and when it did last.
    std::unordered_map<request_fingerprint, instant> reported_fingerprints_;
    request_gate gate_;
    std::unordered_map<std::uint64_t, pending_admission> pending_admissions_;
    bool running_ = false;
};

/// Nodes that count the ends under a content. One may be gone without the
/// others' knowing, and another may have begun a moment ago.
inline constexpr unsigned crash_counter_nodes = 3;

/// @returns the partition of a replica
std::size_t partition_of(endpoint_id const& replica);

} // namespace camphorpoint
