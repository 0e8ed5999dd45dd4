// Membership: probes, and the gossip of updates on the probes.
#include "Membership/membership.hpp"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <variant>

namespace camphorpoint {

namespace {

/// Maximum number of nodes that are probed in one period in addition because
/// other nodes suspect them.
constexpr std::size_t max_extra_probes = 3;
/// Maximum number of updates in a message that carries nothing else.
constexpr std::size_t max_urgent_updates = 12;
/// Bytes kept free for an update in which the receiver reads that it is
/// suspected.
constexpr std::size_t suspicion_update_bytes = 200;

} // namespace

void membership::start_probe_round(instant now) {
    if (next_probe_round_ && now < *next_probe_round_) {
        return;
    }
    if (!next_probe_round_) {
        // Spreads the probe rounds of nodes that started together.
        auto const period = static_cast<std::uint64_t>(
            duration(settings_.probe_period).count());
        next_probe_round_ = now + duration(random_() % period);
        return;
    }
    next_probe_round_ = now + settings_.probe_period;
    for (node_id const& each : neighbours()) {
        probe_node(each, now);
    }
    for (node_id const& each : pick_random(1, true)) {
        probe_node(each, now);
    }
    for (std::size_t count = 0; count < max_extra_probes; ++count) {
        if (probe_soon_.empty()) {
            return;
        }
        // A random start, so that the nodes do not all probe the same suspect.
        auto next = probe_soon_.begin();
        std::advance(next, random_() % probe_soon_.size());
        node_id const target = *next;
        probe_soon_.erase(next);
        probe_node(target, now);
    }
}

void membership::probe_node(node_id const& target, instant now) {
    if (!members_.contains(target) || pending_probes_.contains(target)) {
        return;
    }
    probe message;
    message.sequence = pending_probes_.start(
        target, now + settings_.ack_timeout, now + settings_.probe_period);
    send_to_member(target, message, settings_.updates_per_probe);
}

void membership::process_pending_probes(instant now) {
    for (pending_probes::late_probe const& each :
         pending_probes_.drain_late(now)) {
        for (node_id const& helper :
             pick_random(settings_.indirect_probers, false)) {
            if (helper == each.target) {
                continue;
            }
            probe_request message;
            message.from = self_.id;
            message.from_incarnation = incarnation_;
            message.sequence = each.sequence;
            message.target = each.target;
            send(
                helper, peer_address(helper), message,
                settings_.updates_per_probe);
        }
    }
    for (node_id const& each : pending_probes_.drain_failed(now)) {
        suspect_node(each, now);
    }
}

// A leaving endpoint must not get new requests for more than two seconds.
// Gossip on the probes, which takes one period per hop, would be too slow.
void membership::send_urgent_updates() {
    if (!updates_.has_urgent()) {
        return;
    }
    updates_.on_urgent_message_sent();
    for (node_id const& each : pick_random(1, false)) {
        send_to_member(each, probe(), max_urgent_updates);
    }
}

std::vector<node_id> membership::neighbours() const {
    std::vector<node_id> result;
    auto const after =
        std::upper_bound(sorted_ids_.begin(), sorted_ids_.end(), self_.id);
    auto const first = static_cast<std::size_t>(after - sorted_ids_.begin());
    for (std::size_t step = 0; step < sorted_ids_.size(); ++step) {
        if (result.size() == settings_.neighbours) {
            break;
        }
        node_id const& next = sorted_ids_[(first + step) % sorted_ids_.size()];
        if (members_.at(next).state != node_state::dead) {
            result.push_back(next);
        }
    }
    return result;
}

std::vector<node_id>
membership::pick_random(std::size_t count, bool include_dead) {
    std::vector<node_id> result;
    if (sorted_ids_.empty()) {
        return result;
    }
    // Dead members are skipped by sampling again. The limit bounds the work of
    // a node that regards nearly all other members as dead.
    std::size_t const max_attempts = 8 * count;
    for (std::size_t attempt = 0; attempt < max_attempts; ++attempt) {
        node_id const& next = sorted_ids_[random_() % sorted_ids_.size()];
        bool const is_candidate =
            include_dead || members_.at(next).state != node_state::dead;
        if (is_candidate && std::ranges::find(result, next) == result.end()) {
            result.push_back(next);
        }
        if (result.size() == count) {
            break;
        }
    }
    return result;
}

template <class Message>
void membership::send(
    node_id const& to, std::string const& address, Message message,
    std::size_t max_updates) {
    std::size_t const base =
        encode_probe(message).size() + suspicion_update_bytes;
    std::size_t const free_bytes =
        max_datagram_bytes - std::min(max_datagram_bytes, base);
    message.updates =
        updates_.select(max_updates, free_bytes, members_.size() + 1);
    auto const found = members_.find(to);
    // A suspected or dead receiver gets the update about itself, so that it can
    // refute it.
    if (found != members_.end() && is_suspect_or_dead(found->second)) {
        message.updates.push_back(make_update(found->second));
    }
    send_probe action{to, address, std::move(message)};
    actions_.emplace_back(std::move(action));
}

void membership::send_to_member(
    node_id const& to, probe message, std::size_t max_updates) {
    message.from = self_.id;
    message.from_incarnation = incarnation_;
    message.from_address = self_.peer_address;
    if (settings_.source == member_source::gossip) {
        message.from_attributes = own_attributes();
        message.digest = digest();
    }
    send(to, peer_address(to), std::move(message), max_updates);
}

void membership::on_probe(probe_message const& message, instant now) {
    std::visit(
        [&](auto const& each) {
            if (each.from == self_.id) {
                return;
            }
            handle_message(each, now);
        },
        message);
}

void membership::handle_message(probe const& message, instant now) {
    record_sender(
        message.from, message.from_incarnation, message.from_attributes);
    for (membership_update const& each : message.updates) {
        apply(each, now);
    }
    compare_digests(message.from, message.digest, now);
    if (message.sequence == 0) {
        return;
    }
    probe_ack answer;
    answer.from = self_.id;
    answer.from_incarnation = incarnation_;
    answer.sequence = message.sequence;
    answer.on_behalf_of = message.on_behalf_of;
    answer.requester_sequence = message.requester_sequence;
    if (settings_.source == member_source::gossip) {
        answer.from_attributes = own_attributes();
        answer.digest = digest();
    }
    send(
        message.from, message.from_address, answer,
        settings_.updates_per_probe);
}

void membership::handle_message(probe_ack const& message, instant now) {
    record_sender(
        message.from, message.from_incarnation, message.from_attributes);
    for (membership_update const& each : message.updates) {
        apply(each, now);
    }
    compare_digests(message.from, message.digest, now);
    bool const for_other =
        !message.on_behalf_of.empty() && message.on_behalf_of != self_.id;
    if (!for_other) {
        return;
    }
    probe_ack forwarded_ack;
    forwarded_ack.from = message.from;
    forwarded_ack.from_incarnation = message.from_incarnation;
    forwarded_ack.sequence = message.requester_sequence;
    if (members_.contains(message.on_behalf_of)) {
        send(
            message.on_behalf_of, peer_address(message.on_behalf_of),
            forwarded_ack, settings_.updates_per_probe);
    }
}

void membership::handle_message(probe_request const& message, instant now) {
    record_alive(message.from, message.from_incarnation);
    for (membership_update const& each : message.updates) {
        apply(each, now);
    }
    probe indirect;
    indirect.sequence = message.sequence;
    indirect.on_behalf_of = message.from;
    indirect.requester_sequence = message.sequence;
    if (members_.contains(message.target)) {
        send_to_member(message.target, indirect, settings_.updates_per_probe);
    }
}

} // namespace camphorpoint
