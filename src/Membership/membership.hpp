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

/// What this node believes of another one.
enum class node_state : std::uint8_t { live, suspect, dead, leaving };

/// A node that takes part.
struct live_node {
    node_id id;
    domain_id domain;
    std::string peer_address;
    /// The run last heard of; 0 when only the platform's list names the node.
    std::uint64_t start_time_ms = 0;
    /// True when the node has said that it stops: it finishes what it has and
    /// must get nothing new.
    bool leaving = false;
};

/// Who is alive: the platform's late list, corrected by probes.
/// Reference: A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent
/// infection-style process group membership protocol", DSN 2002. Several
/// accusers before a removal: A. Dadgar, J. Phillips, J. Currey, "Lifeguard:
/// local health awareness for more accurate failure detection", 2017.
class membership {
public:
    /// @param settings the same on all nodes
    /// @param self     this node, as the platform's list names it
    /// @param run      when the process started, calendar milliseconds
    /// @param random   seeded
    membership(
        membership_settings settings, node_instance self,
        std::uint64_t start_time_ms, std::mt19937_64 random);

    /// A new answer of the platform's list.
    void on_instance_list(instance_list const& list, instant now);
    /// A datagram from a peer; a broken one is counted and dropped.
    void on_datagram(std::string_view datagram, instant now);
    /// A message from a peer.
    void on_probe(probe_message const& message, instant now);
    /// A peer was heard by other words than probes, which is as good as an
    /// answer to one.
    void on_peer_message(node_id const& peer, instant now);
    /// An engine or service refused work because it is leaving. The report is
    /// spread to all nodes.
    void report_endpoint_leaving(endpoint_id const& endpoint, instant now);
    /// A direct call to an endpoint succeeded or failed. Failures make it
    /// suspect on this node alone.
    void
    on_endpoint_call(endpoint_id const& endpoint, bool succeeded, instant now);
    /// Somebody else names a node; it takes part from now on. Only where nodes
    /// are met.
    void add_known_node(node_id const& node, instant now);
    /// The platform has dealt the parts of the common limits anew.
    /// @param own     those of this node
    /// @param holders the nodes that have any
    void on_quota_units_assigned(
        std::vector<std::size_t> const& own_units,
        std::vector<node_id> unit_holders, instant now);
    /// This node begins a planned stop and says so.
    void start_leaving(instant now);
    /// Time has passed.
    void on_tick(instant now);
    /// @returns what is to be done, in order; the list is empty afterwards
    std::vector<membership_action> take_actions();

    /// @returns a counter that grows with each change of what is asked below,
    /// so that others recompute only then
    std::uint64_t change_count() const noexcept {
        return change_count_ + endpoints_.change_count();
    }
    /// @returns all nodes that are neither dead nor gone, this one included,
    /// in the order of their names
    std::vector<live_node> live_nodes() const;
    /// @returns the part of a common limit that this node may use, from 0 to 1.
    ///          Only where nodes are met. Where the platform deals no parts it
    ///          goes by the nodes that are known, and may be too much.
    double quota_share(instant now) const;
    /// @returns how many nodes that are there go before this one in an order
    ///          that all agree on: those with more of a processor first. Few
    ///          nodes do by it what one could do for all.
    std::size_t capacity_rank() const;
    /// @returns whom this node takes to be there
    member_digest digest() const;
    /// @returns the node's state; nothing when it is unknown
    std::optional<node_state> state_of(node_id const& node) const;
    /// @returns the node's address for TCP and UDP; empty when unknown
    std::string peer_address(node_id const& node) const;
    /// @returns the node's failure domain; empty when unknown
    domain_id domain_of(node_id const& node) const;
    /// @returns endpoints that may get new work, in the order of their names
    std::vector<endpoint_instance> live_endpoints() const;
    /// @returns the endpoint's state
    endpoint_state state_of(endpoint_id const& endpoint) const;
    /// @returns the endpoint's data; null when the list never named it
    endpoint_instance const* find(endpoint_id const& endpoint) const;
    /// @returns datagrams that could not be read
    std::uint64_t malformed_datagrams() const noexcept {
        return malformed_datagrams_;
    }

private:
    struct member {
        node_instance instance;
        /// Whether the list that is being read names it.
        bool in_new_list = false;
        node_state state = node_state::live;
        incarnation known_incarnation;
        /// Whose own probes of it failed.
        std::set<node_id> suspected_by;
        /// When the suspicion ends in death.
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
    /// The other nodes' names in order, rebuilt when members come or go.
    std::vector<node_id> sorted_ids_;
    std::set<node_id> suspects_;
    endpoint_table endpoints_;
    update_queue updates_;
    pending_probes pending_probes_;
    std::set<node_id> probe_soon_;
    /// Named by the platform, and not yet told that this node is there.
    std::vector<node_id> unannounced_;
    std::vector<membership_action> actions_;
    std::optional<instant> next_probe_round_;
    std::optional<instant> last_tick_;
    /// When this node asked for names last.
    std::optional<instant> last_list_request_;
    /// The name after which names were asked for; none when they have come.
    std::optional<node_id> list_request_after_;
    std::size_t list_request_count_ = 0;
    instant last_dead_check_;
    mutable member_digest digest_;
    mutable std::size_t rank_ = 0;
    /// The counts of changes that these were found at.
    mutable std::uint64_t rank_change_count_ =
        std::numeric_limits<std::uint64_t>::max();
    mutable std::uint64_t digest_change_count_ =
        std::numeric_limits<std::uint64_t>::max();
    quota_shares quota_shares_;
    /// The most nodes that a peer has lately known, and when it said so.
    std::uint32_t max_peer_count_ = 0;
    instant max_peer_count_at_;
    std::uint64_t change_count_ = 0;
    std::uint64_t malformed_datagrams_ = 0;
};

} // namespace camphorpoint
