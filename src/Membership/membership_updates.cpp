// Membership: applies updates about nodes.
#include "Membership/membership.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint {

namespace {

/// Number of nodes that must suspect a node before it is declared dead, so that
/// one node's broken link or fault cannot remove another node.
constexpr std::size_t required_suspecting_nodes = 2;
/// Maximum number of suspecting nodes in an update, so that the update fits
/// into a datagram.
constexpr std::size_t max_reported_suspecting_nodes = 3;
/// With this many updates in the queue, enough for two probes, joins are no
/// longer gossiped.
constexpr std::size_t max_queued_updates_for_joins = 12;

update_kind kind_of(node_state state) {
    switch (state) {
    case node_state::live:
        return update_kind::node_alive;
    case node_state::suspect:
        return update_kind::node_suspect;
    case node_state::dead:
        return update_kind::node_dead;
    case node_state::leaving:
        return update_kind::node_leaving;
    }
    return update_kind::node_alive;
}

} // namespace

void membership::apply(membership_update const& update, instant now) {
    if (update.kind == update_kind::endpoint_leaving) {
        report_endpoint_leaving(endpoint_id(update.name), now);
        return;
    }
    node_id const id(update.name);
    if (id == self_.id) {
        apply_to_self(update);
        return;
    }
    bool const joins = settings_.source == member_source::gossip &&
                       update.kind == update_kind::node_alive;
    if (joins && !members_.contains(id)) {
        member const& peer = add_or_update_member(id, update.attributes);
        // When all nodes start at the same time, updates about joins would fill
        // the probes for minutes and delay updates about dead nodes. Member
        // list requests spread the joins sooner.
        if (updates_.size() < max_queued_updates_for_joins) {
            queue_update(peer);
        }
    }
    auto const found = members_.find(id);
    if (found == members_.end()) {
        return;
    }
    switch (update.kind) {
    case update_kind::node_alive:
        apply_alive(found->second, update);
        return;
    case update_kind::node_suspect:
        apply_suspect(found->second, update, now);
        return;
    case update_kind::node_dead:
        apply_dead(found->second, update, now);
        return;
    case update_kind::node_leaving:
        apply_leaving(found->second, update);
        return;
    case update_kind::endpoint_leaving:
        return;
    }
}

// A node that was paused may find itself suspected or declared dead when it
// resumes. It refutes with a higher incarnation, which takes precedence over
// all earlier updates. Updates about an earlier process do not apply to this
// one.
void membership::apply_to_self(membership_update const& update) {
    if (settings_.source == member_source::gossip &&
        update.node_incarnation.start_time_ms > incarnation_.start_time_ms) {
        supersede_former_process(update.node_incarnation);
        return;
    }
    bool const is_suspicion = update.kind == update_kind::node_suspect ||
                              update.kind == update_kind::node_dead;
    if (!is_suspicion ||
        update.node_incarnation.start_time_ms != incarnation_.start_time_ms ||
        update.node_incarnation < incarnation_) {
        return;
    }
    incarnation_.refutations = update.node_incarnation.refutations + 1;
    add_log_event(
        event_code::suspicion_refuted, log_level::warning,
        fmt::format("refuted={}", incarnation_.refutations));
    queue_own_update();
}

void membership::apply_alive(member& peer, membership_update const& update) {
    if (update.node_incarnation <= peer.known_incarnation) {
        return;
    }
    bool const restarted = update.node_incarnation.start_time_ms !=
                           peer.known_incarnation.start_time_ms;
    // That a listed node is alive is nothing new to the other nodes; gossiping
    // it would fill the probes for half an hour after the start of a cluster.
    bool const is_new =
        is_suspect_or_dead(peer) ||
        (restarted && peer.known_incarnation.start_time_ms != 0);
    peer.known_incarnation = update.node_incarnation;
    peer.suspected_by.clear();
    if (peer.state == node_state::leaving && !restarted) {
        return;
    }
    if (peer.state == node_state::dead) {
        add_log_event(
            event_code::node_returned, log_level::info,
            fmt::format("node={}", peer.instance.id.str()));
    }
    change_count_ += restarted ? 1 : 0;
    set_state(peer, node_state::live);
    if (is_new) {
        queue_update(peer);
    }
}

void membership::apply_suspect(
    member& peer, membership_update const& update, instant now) {
    bool const newer = update.node_incarnation > peer.known_incarnation;
    if (update.node_incarnation < peer.known_incarnation ||
        (peer.state == node_state::dead && !newer)) {
        return;
    }
    if (newer) {
        change_count_ += update.node_incarnation.start_time_ms !=
                                 peer.known_incarnation.start_time_ms
                             ? 1
                             : 0;
        peer.known_incarnation = update.node_incarnation;
        peer.suspected_by.clear();
    }
    std::size_t const before = peer.suspected_by.size();
    peer.suspected_by.insert(
        update.suspected_by.begin(), update.suspected_by.end());
    bool const new_suspicion = peer.state != node_state::suspect || newer;
    if (new_suspicion) {
        peer.suspect_until = now + settings_.suspicion_timeout;
        set_state(peer, node_state::suspect);
        add_log_event(
            event_code::node_suspected, log_level::info,
            fmt::format("node={}", peer.instance.id.str()));
    }
    if (new_suspicion || peer.suspected_by.size() > before) {
        queue_update(peer);
    }
    // A second node must confirm the suspicion soon, so this node probes the
    // suspect as well.
    if (peer.suspected_by.size() < required_suspecting_nodes &&
        !peer.suspected_by.contains(self_.id)) {
        probe_soon_.insert(peer.instance.id);
    }
}

void membership::apply_dead(
    member& peer, membership_update const& update, instant now) {
    if (update.suspected_by.size() < required_suspecting_nodes) {
        apply_suspect(peer, update, now);
        return;
    }
    bool const outdated = update.node_incarnation < peer.known_incarnation;
    if (outdated || (peer.state == node_state::dead &&
                     update.node_incarnation == peer.known_incarnation)) {
        return;
    }
    peer.known_incarnation = update.node_incarnation;
    peer.suspected_by.insert(
        update.suspected_by.begin(), update.suspected_by.end());
    add_log_event(
        event_code::node_declared_dead, log_level::warning,
        fmt::format("node={}", peer.instance.id.str()));
    set_state(peer, node_state::dead);
    peer.dead_since = now;
    queue_update(peer);
}

void membership::apply_leaving(member& peer, membership_update const& update) {
    bool const is_new = update.node_incarnation > peer.known_incarnation ||
                        (update.node_incarnation == peer.known_incarnation &&
                         peer.state == node_state::live);
    if (!is_new) {
        return;
    }
    peer.known_incarnation = update.node_incarnation;
    peer.suspected_by.clear();
    add_log_event(
        event_code::node_leaving, log_level::info,
        fmt::format("node={}", peer.instance.id.str()));
    set_state(peer, node_state::leaving);
    queue_update(peer);
}

void membership::set_state(member& peer, node_state state) {
    if (peer.state == state) {
        return;
    }
    bool const was_unavailable =
        peer.state == node_state::dead || peer.state == node_state::leaving;
    bool const is_unavailable =
        state == node_state::dead || state == node_state::leaving;
    // A suspicion alone changes nothing that callers compute from the members.
    change_count_ += was_unavailable || is_unavailable ? 1 : 0;
    peer.state = state;
    if (state == node_state::suspect) {
        suspects_.insert(peer.instance.id);
    } else {
        suspects_.erase(peer.instance.id);
    }
}

membership_update membership::make_update(member const& peer) const {
    membership_update result;
    result.kind = kind_of(peer.state);
    result.name = peer.instance.id.str();
    result.node_incarnation = peer.known_incarnation;
    if (settings_.source == member_source::gossip) {
        result.attributes = {
            peer.instance.domain, peer.instance.processor_percent};
    }
    for (node_id const& each : peer.suspected_by) {
        if (is_suspect_or_dead(peer) &&
            result.suspected_by.size() < max_reported_suspecting_nodes) {
            result.suspected_by.push_back(each);
        }
    }
    return result;
}

bool membership::is_suspect_or_dead(member const& peer) noexcept {
    return peer.state == node_state::suspect || peer.state == node_state::dead;
}

void membership::queue_update(member const& peer) {
    updates_.add(make_update(peer));
}

void membership::queue_own_update() {
    update_kind const kind =
        leaving_ ? update_kind::node_leaving : update_kind::node_alive;
    membership_update own{kind, self_.id.str(), incarnation_, {}, {}};
    if (settings_.source == member_source::gossip) {
        own.attributes = own_attributes();
    }
    updates_.add(std::move(own));
}

void membership::suspect_node(node_id const& target, instant now) {
    auto const found = members_.find(target);
    if (found == members_.end() || found->second.state == node_state::dead) {
        return;
    }
    membership_update own = make_update(found->second);
    own.kind = update_kind::node_suspect;
    own.suspected_by = {self_.id};
    apply_suspect(found->second, own, now);
}

// A suspicion leads to death only if the probes of at least two nodes failed.
// The suspicion of a single node remains until the suspect refutes it, and has
// no effect.
void membership::confirm_suspicions(instant now) {
    std::vector<node_id> const open(suspects_.begin(), suspects_.end());
    for (node_id const& each : open) {
        member& peer = members_.at(each);
        if (now < peer.suspect_until ||
            peer.suspected_by.size() < required_suspecting_nodes) {
            continue;
        }
        membership_update death_update = make_update(peer);
        death_update.kind = update_kind::node_dead;
        apply_dead(peer, death_update, now);
    }
}

void membership::record_alive(node_id const& from, incarnation at) {
    pending_probes_.complete(from);
    probe_soon_.erase(from);
    auto const found = members_.find(from);
    if (found != members_.end()) {
        apply_alive(
            found->second, {update_kind::node_alive, from.str(), at, {}, {}});
    }
}

} // namespace camphorpoint
