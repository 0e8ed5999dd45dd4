// Member discovery without an instance list, and anti-entropy: nodes compare
// digests of their member sets and request member lists when the digests
// differ.
// Reference: A. Demers et al., "Epidemic algorithms for replicated database
// maintenance", PODC 1987: anti-entropy, the comparison of complete states,
// repairs what gossip has missed.
#include "Core/hash.hpp"
#include "Membership/membership.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorpoint {

namespace {

/// How long the number of members that a peer reported is used.
constexpr duration peer_count_lifetime = std::chrono::seconds(10);
/// Approximate encoded size of a member with its domain and incarnation.
constexpr std::size_t bytes_per_member = 64;
/// Encoded size of a page without its members and the sender's id and domain.
constexpr std::size_t page_overhead_bytes = 124;

} // namespace

membership::member& membership::add_or_update_member(
    node_id const& id, node_attributes const& attributes) {
    auto const [entry, added] = members_.try_emplace(id);
    member& peer = entry->second;
    if (added) {
        peer.instance.id = id;
        peer.instance.peer_address = id.str();
        sorted_ids_.insert(std::ranges::lower_bound(sorted_ids_, id), id);
        ++change_count_;
    }
    if (!attributes.domain.empty()) {
        bool const changed =
            peer.instance.processor_percent != attributes.processor_percent;
        change_count_ += changed ? 1 : 0;
        peer.instance.domain = attributes.domain;
        peer.instance.processor_percent = attributes.processor_percent;
    }
    return peer;
}

node_attributes membership::own_attributes() const {
    return {self_.domain, self_.processor_percent};
}

void membership::add_known_node(node_id const& node, instant /*now*/) {
    bool const is_new = settings_.source == member_source::gossip &&
                        node != self_.id && !members_.contains(node);
    if (is_new) {
        add_or_update_member(node, {});
        unannounced_.push_back(node);
    }
}

void membership::on_quota_units_assigned(
    std::vector<std::size_t> const& own_units,
    std::vector<node_id> unit_holders, instant now) {
    quota_shares_.set_assigned_units(own_units, std::move(unit_holders), now);
}

void membership::request_quota_loan(instant now) {
    if (auto const due = quota_shares_.next_loan_request(now)) {
        actions_.emplace_back(send_probe{
            due->to, peer_address(due->to),
            quota_loan_request{self_.id, incarnation_, due->request_number}});
    }
}

void membership::handle_message(
    quota_loan_request const& message, instant now) {
    record_alive(message.from, message.from_incarnation);
    quota_loan_reply const answer{
        self_.id, incarnation_, message.request_number,
        quota_shares_.handle_loan_request(message.from, now)};
    actions_.emplace_back(send_probe{message.from, message.from.str(), answer});
}

void membership::handle_message(quota_loan_reply const& message, instant now) {
    record_alive(message.from, message.from_incarnation);
    quota_shares_.handle_loan_reply(
        message.from, message.request_number, message.amount, now);
}

// Nodes that the platform names receive a message from this node directly. When
// all nodes start at the same time, probes alone would take ten seconds until
// each node knows all others.
void membership::send_announcements() {
    std::size_t const count =
        std::min(unannounced_.size(), settings_.announcements_per_tick);
    for (std::size_t index = 0; index < count; ++index) {
        send_to_member(unannounced_[index], probe(), 0);
    }
    unannounced_.erase(
        unannounced_.begin(),
        unannounced_.begin() + static_cast<std::ptrdiff_t>(count));
}

void membership::record_sender(
    node_id const& from, incarnation at, node_attributes const& attributes) {
    if (settings_.source == member_source::gossip) {
        add_or_update_member(from, attributes);
    }
    record_alive(from, at);
}

// If the clock of an instance is set back before the node restarts, other nodes
// take its messages for older than those of its former process, regard it as
// dead and send it no updates any more. The node therefore continues with a
// start time later than that of the former process.
void membership::supersede_former_process(incarnation former) {
    incarnation_ = {former.start_time_ms + 1, 0};
    add_log_event(
        event_code::suspicion_refuted, log_level::warning, "former_run=true");
    queue_own_update();
}

member_digest membership::digest() const {
    // The digest is cached because each probe and ack carries it: computing it
    // for 1,900 nodes takes 60 us.
    if (digest_change_count_ == change_count_) {
        return digest_;
    }
    member_digest result{1, hash_text(self_.id.str(), 0)};
    for (auto const& [id, peer] : members_) {
        bool const is_active =
            peer.state != node_state::dead && peer.state != node_state::leaving;
        if (is_active) {
            ++result.count;
            result.name_hash_sum += hash_text(id.str(), 0);
        }
    }
    digest_ = result;
    digest_change_count_ = change_count_;
    return result;
}

std::chrono::milliseconds
membership::sync_interval(member_digest peer_digest) const {
    std::size_t const own = members_.size() + 1;
    bool const many_missing = peer_digest.count > own + own / 8;
    if (many_missing || list_request_count_ < settings_.initial_syncs) {
        return settings_.initial_sync_interval;
    }
    std::chrono::milliseconds const bandwidth_interval(
        own * bytes_per_member * 1'000 / settings_.sync_bytes_per_s);
    return std::max(settings_.min_sync_interval, bandwidth_interval);
}

void membership::compare_digests(
    node_id const& peer, member_digest peer_digest, instant now) {
    if (settings_.source != member_source::gossip || peer_digest.count == 0) {
        return;
    }
    if (peer_digest.count >= max_peer_count_ ||
        now >= max_peer_count_at_ + peer_count_lifetime) {
        max_peer_count_ = peer_digest.count;
        max_peer_count_at_ = now;
    }
    bool const due = !last_list_request_ ||
                     now >= *last_list_request_ + sync_interval(peer_digest);
    if (due && peer_digest != digest()) {
        ++list_request_count_;
        request_member_list(peer, {}, now);
    }
}

void membership::request_member_list(
    node_id const& peer, node_id const& after, instant now) {
    last_list_request_ = now;
    list_request_after_ = after;
    actions_.emplace_back(send_probe{
        peer, peer_address(peer),
        member_list_request{self_.id, incarnation_, own_attributes(), after}});
}

void membership::handle_message(
    member_list_request const& message, instant /*now*/) {
    if (settings_.source != member_source::gossip) {
        return;
    }
    record_sender(
        message.from, message.from_incarnation, message.from_attributes);
    member_list_page page{self_.id, incarnation_, own_attributes(), false, {}};
    std::size_t free_bytes = max_datagram_bytes - page_overhead_bytes -
                             self_.id.str().size() - self_.domain.str().size();
    for (auto each = members_.upper_bound(message.after);
         each != members_.end(); ++each) {
        if (each->second.state != node_state::live) {
            continue;
        }
        membership_update update = make_update(each->second);
        std::size_t const size = encoded_size(update);
        if (size > free_bytes) {
            page.has_more = true;
            break;
        }
        free_bytes -= size;
        page.updates.push_back(std::move(update));
    }
    actions_.emplace_back(
        send_probe{message.from, message.from.str(), std::move(page)});
}

void membership::handle_message(member_list_page const& message, instant now) {
    if (settings_.source != member_source::gossip) {
        return;
    }
    record_sender(
        message.from, message.from_incarnation, message.from_attributes);
    for (membership_update const& each : message.updates) {
        node_id const id(each.name);
        // Members from a page are not gossiped: only this node lacked them.
        if (id != self_.id) {
            add_or_update_member(id, each.attributes);
        }
        apply(each, now);
    }
    list_request_after_.reset();
    if (message.has_more && !message.updates.empty()) {
        request_member_list(
            message.from, node_id(message.updates.back().name), now);
    }
}

// A lost datagram would cut a member list short: hundreds of members take ten
// or more pages, and on a link that loses one datagram in ten most such
// sequences lose at least one page. The request for the missing page is
// therefore repeated at a random member.
void membership::retry_member_list_request(instant now) {
    bool const timed_out = list_request_after_ &&
                           now >= *last_list_request_ + settings_.ack_timeout;
    if (!timed_out) {
        return;
    }
    for (node_id const& each : pick_random(1, false)) {
        request_member_list(each, node_id(*list_request_after_), now);
    }
}

void membership::remove_expired_dead(instant now) {
    bool const due = settings_.source == member_source::gossip &&
                     now >= last_dead_check_ + settings_.probe_period;
    if (!due) {
        return;
    }
    last_dead_check_ = now;
    std::size_t const before = members_.size();
    std::erase_if(members_, [&](auto const& each) {
        member const& peer = each.second;
        return peer.state == node_state::dead &&
               now >= peer.dead_since + settings_.dead_member_retention;
    });
    if (members_.size() != before) {
        std::erase_if(sorted_ids_, [this](node_id const& each) {
            return !members_.contains(each);
        });
        ++change_count_;
    }
}

bool membership::ranks_before(
    node_instance const& left, node_instance const& right) {
    // Nodes with the same CPU share are ordered by the hash of their ids, so
    // that the first ones are spread over all failure domains even if the
    // addresses within a domain are similar.
    return std::tuple(
               right.processor_percent, hash_text(left.id.str(), 0), left.id) <
           std::tuple(
               left.processor_percent, hash_text(right.id.str(), 0), right.id);
}

std::size_t membership::capacity_rank() const {
    if (rank_change_count_ == change_count_) {
        return rank_;
    }
    rank_ = static_cast<std::size_t>(
        std::ranges::count_if(members_, [this](auto const& each) {
            member const& peer = each.second;
            bool const is_active = peer.state != node_state::dead &&
                                   peer.state != node_state::leaving;
            return is_active && ranks_before(peer.instance, self_);
        }));
    rank_change_count_ = change_count_;
    return rank_;
}

double membership::quota_share(instant now) const {
    if (settings_.quota_unit_count > 0) {
        return quota_shares_.current_share(now);
    }
    std::size_t const reported_count =
        now < max_peer_count_at_ + peer_count_lifetime ? max_peer_count_ : 0;
    return 1.0 /
           static_cast<double>(std::max(members_.size() + 1, reported_count));
}

} // namespace camphorpoint
