#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Membership/endpoint_table.hpp"
#include "Membership/incarnation.hpp"
#include "Membership/membership_action.hpp"
#include "Membership/membership_settings.hpp"
#include "Membership/pending_probes.hpp"
#include "Membership/probe_message.hpp"
#include "Membership/quota_shares.hpp"
#include "Membership/update_queue.hpp"
#include "Records/instance_record.hpp"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// State of another node as this node sees it.
enum class node_state : std::uint8_t { live, suspect, dead, leaving };

/// A member that is not dead.
struct live_node {
    node_id id;
    domain_id domain;
    std::string peer_address;
    /// Start time of the node's process as last received, in milliseconds of
    /// the calendar clock; 0 if only the platform's instance list names the
    /// node.
    std::uint64_t start_time_ms = 0;
    /// True if the node has announced that it is shutting down: it completes
    /// its requests and must get no new ones.
    bool leaving = false;
};

/// Tracks which nodes and endpoints are live: the platform's instance list,
/// which lags behind, corrected by probes between the nodes.
/// Reference: A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent
/// infection-style process group membership protocol", DSN 2002. That several
/// nodes must suspect a node before it is removed is from A. Dadgar, J.
/// Phillips, J. Currey, "Lifeguard: local health awareness for more accurate
/// failure detection", 2017.
class membership {
public:
    /// @param settings the same on all nodes
    /// @param self this node as in the platform's instance list
    /// @param start_time_ms start time of the process, in milliseconds of the
    /// calendar clock
    /// @param random seeded random number generator
    membership(
        membership_settings settings, node_instance self,
        std::uint64_t start_time_ms, std::mt19937_64 random);

    /// Applies a new instance list of the platform. A list without nodes is
    /// ignored.
    void on_instance_list(instance_list const& list, instant now);
    /// Handles a datagram from a peer. A malformed datagram is counted and
    /// dropped.
    void on_datagram(std::string_view datagram, instant now);
    /// Handles a message from a peer.
    void on_probe(probe_message const& message, instant now);
    /// Records that a message other than a probe was received from a peer. It
    /// proves that the peer is alive as well as an ack does.
    void on_peer_message(node_id const& peer, instant now);
    /// Reports that an endpoint refused a request because it is leaving. The
    /// report is gossiped to all nodes.
    void report_endpoint_leaving(endpoint_id const& endpoint, instant now);
    /// Records the result of a call to an endpoint. Repeated failures make the
    /// endpoint suspect on this node only.
    void
    on_endpoint_call(endpoint_id const& endpoint, bool succeeded, instant now);
    /// Records a call to an endpoint that reached its deadline. It counts as
    /// failed when the endpoint has been silent for long.
    /// @param trace how the answer arrived until then
    void on_endpoint_timeout(
        endpoint_id const& endpoint, answer_trace const& trace, instant now);
    /// Adds a node that a source other than gossip has named, for instance the
    /// platform. Has an effect only if the members come from gossip.
    void add_known_node(node_id const& node, instant now);
    /// Applies a new assignment of quota units by the platform.
    /// @param own_units units assigned to this node
    /// @param unit_holders nodes that have at least one unit
    void on_quota_units_assigned(
        std::vector<std::size_t> const& own_units,
        std::vector<node_id> unit_holders, instant now);
    /// Starts the planned shutdown of this node and announces it to the other
    /// nodes.
    void start_leaving(instant now);
    /// Performs what is due at this time: probes, timeouts, updates.
    void on_tick(instant now);
    /// Removes and returns the pending actions.
    /// @returns the actions, to be performed in this order
    std::vector<membership_action> take_actions();

    /// @returns a counter that grows with each change of what the functions
    /// below return, so that callers recompute only after a change
    std::uint64_t change_count() const noexcept {
        return change_count_ + endpoints_.change_count();
    }
    /// @returns all members that are not dead, this node included, in the order
    /// of their ids
    std::vector<live_node> live_nodes() const;
    /// @returns the fraction of a common limit that this node may use, from 0
    /// to 1. Meaningful only if the members come from gossip. If the platform
    /// assigns no quota units, it is computed from the number of known members
    /// and may be too large.
    double quota_share(instant now) const;
    /// @returns the number of members, neither dead nor leaving, that rank
    /// before this one. Nodes with a larger CPU share rank first, and nodes
    /// that know the same members agree on the order. It selects the few nodes
    /// that do a task on behalf of all.
    std::size_t capacity_rank() const;
    /// @returns the digest of the members that this node knows, neither dead
    /// nor leaving
    member_digest digest() const;
    /// @returns the node's state; nothing if the node is unknown
    std::optional<node_state> state_of(node_id const& node) const;
    /// @returns the node's address for TCP and UDP; empty if unknown
    std::string peer_address(node_id const& node) const;
    /// @returns the node's failure domain; empty if unknown
    domain_id domain_of(node_id const& node) const;
    /// @returns the endpoints that may receive new requests, in the order of
    /// their ids
    std::vector<endpoint_instance> live_endpoints() const;
    /// @returns the endpoint's state
    endpoint_state state_of(endpoint_id const& endpoint) const;
    /// @returns the endpoint's entry in the instance list; null if the list
    /// does not contain the endpoint
    endpoint_instance const* find(endpoint_id const& endpoint) const;
    /// @returns the number of datagrams that could not be decoded
    std::uint64_t malformed_datagrams() const noexcept {
        return malformed_datagrams_;
    }

private:
    struct member {
        node_instance instance;
        /// Whether the list that is being applied contains the node.
        bool in_new_list = false;
        node_state state = node_state::live;
        incarnation known_incarnation;
        /// The nodes whose own probes of this member failed.
        std::set<node_id> suspected_by;
        /// When an unrefuted suspicion may turn into death.
        instant suspect_until;
        instant dead_since;
    };

    member&
    add_or_update_member(node_id const& id, node_attributes const& attributes);
    void record_sender(
        node_id const& from, incarnation at, node_attributes const& attributes);
    node_attributes own_attributes() const;
    static bool
    ranks_before(node_instance const& left, node_instance const& right);
    void compare_digests(
        node_id const& peer, member_digest peer_digest, instant now);
    void
    request_member_list(node_id const& peer, node_id const& after, instant now);
    void retry_member_list_request(instant now);
    void remove_expired_dead(instant now);
    void send_announcements();
    void request_quota_loan(instant now);
    void supersede_former_process(incarnation former);
    std::chrono::milliseconds sync_interval(member_digest peer_digest) const;
    void apply_listed_node(node_instance const& node, instant now);
    void remove_unlisted_nodes();
    void apply(membership_update const& update, instant now);
    void apply_to_self(membership_update const& update);
    void apply_alive(member& peer, membership_update const& update);
    void
    apply_suspect(member& peer, membership_update const& update, instant now);
    void apply_dead(member& peer, membership_update const& update, instant now);
    void apply_leaving(member& peer, membership_update const& update);
    void set_state(member& peer, node_state state);
    void queue_update(member const& peer);
    void queue_own_update();
    membership_update make_update(member const& peer) const;
    void record_alive(node_id const& from, incarnation at);
    void suspect_node(node_id const& target, instant now);
    void confirm_suspicions(instant now);
    void start_probe_round(instant now);
    void process_pending_probes(instant now);
    void send_urgent_updates();
    void probe_node(node_id const& target, instant now);
    std::vector<node_id> neighbours() const;
    std::vector<node_id> pick_random(std::size_t count, bool include_dead);
    static bool is_suspect_or_dead(member const& peer) noexcept;
    template <class Message>
    void send(
        node_id const& to, std::string const& address, Message message,
        std::size_t max_updates);
    void
    send_to_member(node_id const& to, probe message, std::size_t max_updates);
    void handle_message(probe const& message, instant now);
    void handle_message(probe_ack const& message, instant now);
    void handle_message(probe_request const& message, instant now);
    void handle_message(member_list_request const& message, instant now);
    void handle_message(member_list_page const& message, instant now);
    void handle_message(quota_loan_request const& message, instant now);
    void handle_message(quota_loan_reply const& message, instant now);
    void add_log_event(event_code code, log_level level, std::string detail);

    membership_settings settings_;
    node_instance self_;
    incarnation incarnation_;
    bool leaving_ = false;
    std::mt19937_64 random_;
    std::map<node_id, member> members_;
    /// The other members' ids in ascending order, rebuilt when members are
    /// added or removed.
    std::vector<node_id> sorted_ids_;
    std::set<node_id> suspects_;
    endpoint_table endpoints_;
    update_queue updates_;
    pending_probes pending_probes_;
    /// Nodes suspected by others, to be probed in the next rounds in addition.
    std::set<node_id> probe_soon_;
    /// Nodes that the platform has named and to which this node has not
    /// announced itself yet.
    std::vector<node_id> unannounced_;
    std::vector<membership_action> actions_;
    std::optional<instant> next_probe_round_;
    std::optional<instant> last_tick_;
    /// When this node last requested a member list.
    std::optional<instant> last_list_request_;
    /// The id after which the pending member list request asks for members;
    /// empty if no request is pending.
    std::optional<node_id> list_request_after_;
    std::size_t list_request_count_ = 0;
    instant last_dead_check_;
    mutable member_digest digest_;
    mutable std::size_t rank_ = 0;
    /// Change count at which the cached rank was computed.
    mutable std::uint64_t rank_change_count_ =
        std::numeric_limits<std::uint64_t>::max();
    /// Change count at which the cached digest was computed.
    mutable std::uint64_t digest_change_count_ =
        std::numeric_limits<std::uint64_t>::max();
    quota_shares quota_shares_;
    /// The largest number of members that a peer has reported lately, and when
    /// it did so.
    std::uint32_t max_peer_count_ = 0;
    instant max_peer_count_at_;
    std::uint64_t change_count_ = 0;
    std::uint64_t malformed_datagrams_ = 0;
};

} // namespace camphorpoint
