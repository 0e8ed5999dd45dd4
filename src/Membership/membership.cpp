#include "Membership/membership.hpp"

#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

membership::membership(
    membership_settings settings, node_instance self,
    std::uint64_t start_time_ms, std::mt19937_64 random)
    : settings_(settings)
    , self_(std::move(self))
    , incarnation_{start_time_ms, 0}
    , random_(random)
    , endpoints_(settings)
    , quota_shares_(self_.id, settings.quota_unit_count, settings.quota_loans) {
    queue_own_update();
}

void membership::on_instance_list(instance_list const& list, instant now) {
    // A correct list contains at least this node. An empty list is a fault of
    // the platform; applying it would remove all members and stop all work.
    if (list.nodes.empty()) {
        return;
    }
    for (node_instance const& each : list.nodes) {
        if (each.id != self_.id) {
            apply_listed_node(each, now);
        }
    }
    remove_unlisted_nodes();
    for (endpoint_id const& each : endpoints_.apply_list(list.endpoints, now)) {
        updates_.add({update_kind::endpoint_leaving, each.str(), {}, {}, {}});
    }
    endpoints_.expire_leaving_reports(now);
}

// A node that was found dead stays dead even if the list contains it, because
// the list lags behind: only a message of the node itself revives it.
void membership::apply_listed_node(node_instance const& node, instant /*now*/) {
    auto const [entry, added] = members_.try_emplace(node.id);
    member& peer = entry->second;
    peer.in_new_list = true;
    if (added || peer.instance != node) {
        ++change_count_;
    }
    peer.instance = node;
    if (added) {
        sorted_ids_.clear();
    }
    bool const is_leaving = node.state == instance_state::leaving;
    if (is_leaving && peer.state != node_state::dead &&
        peer.state != node_state::leaving) {
        set_state(peer, node_state::leaving);
        queue_update(peer);
    }
}

void membership::remove_unlisted_nodes() {
    for (auto entry = members_.begin(); entry != members_.end();) {
        member& peer = entry->second;
        if (std::exchange(peer.in_new_list, false)) {
            ++entry;
            continue;
        }
        suspects_.erase(entry->first);
        pending_probes_.complete(entry->first);
        entry = members_.erase(entry);
        sorted_ids_.clear();
        ++change_count_;
    }
    if (sorted_ids_.empty()) {
        for (auto const& [id, peer] : members_) {
            sorted_ids_.push_back(id);
        }
    }
}

void membership::on_datagram(std::string_view datagram, instant now) {
    std::optional<probe_message> const message = decode_probe(datagram);
    if (!message) {
        ++malformed_datagrams_;
        return;
    }
    on_probe(*message, now);
}

void membership::on_peer_message(node_id const& peer, instant /*now*/) {
    if (settings_.source == member_source::gossip && peer != self_.id) {
        add_or_update_member(peer, {});
    }
    pending_probes_.complete(peer);
    probe_soon_.erase(peer);
}

void membership::report_endpoint_leaving(
    endpoint_id const& endpoint, instant now) {
    if (!endpoints_.report_leaving(endpoint, now)) {
        return;
    }
    add_log_event(
        event_code::endpoint_leaving, log_level::info,
        fmt::format("endpoint={}", endpoint.str()));
    updates_.add({update_kind::endpoint_leaving, endpoint.str(), {}, {}, {}});
}

void membership::on_endpoint_call(
    endpoint_id const& endpoint, bool succeeded, instant now) {
    endpoints_.record_call(endpoint, succeeded, now);
}

void membership::on_endpoint_timeout(
    endpoint_id const& endpoint, answer_trace const& trace, instant now) {
    endpoints_.record_timeout(endpoint, trace, now);
}

void membership::start_leaving(instant /*now*/) {
    leaving_ = true;
    ++change_count_;
    queue_own_update();
}

void membership::on_tick(instant now) {
    // After a pause of this process (debugger, migration) the acks to its
    // probes are still unread in the socket, and it would suspect healthy
    // nodes. On resuming, it therefore drops the pending probes instead of
    // raising many suspicions at once.
    bool const paused =
        last_tick_ && now - *last_tick_ >= settings_.ack_timeout;
    bool const long_paused =
        last_tick_ && now - *last_tick_ >= settings_.leaving_report_lifetime;
    last_tick_ = now;
    if (paused) {
        pending_probes_ = pending_probes();
    }
    if (long_paused) {
        updates_.clear();
        queue_own_update();
    }
    endpoints_.on_tick(now);
    remove_expired_dead(now);
    send_announcements();
    request_quota_loan(now);
    retry_member_list_request(now);
    send_urgent_updates();
    process_pending_probes(now);
    confirm_suspicions(now);
    start_probe_round(now);
}

std::vector<membership_action> membership::take_actions() {
    return std::exchange(actions_, {});
}

std::vector<live_node> membership::live_nodes() const {
    std::vector<live_node> result;
    result.reserve(members_.size() + 1);
    live_node const own{
        self_.id, self_.domain, self_.peer_address, incarnation_.start_time_ms,
        leaving_};
    bool own_added = false;
    for (auto const& [id, peer] : members_) {
        if (!own_added && self_.id < id) {
            result.push_back(own);
            own_added = true;
        }
        if (peer.state != node_state::dead) {
            result.push_back(
                {id, peer.instance.domain, peer.instance.peer_address,
                 peer.known_incarnation.start_time_ms,
                 peer.state == node_state::leaving});
        }
    }
    if (!own_added) {
        result.push_back(own);
    }
    return result;
}

std::optional<node_state> membership::state_of(node_id const& node) const {
    if (node == self_.id) {
        return leaving_ ? node_state::leaving : node_state::live;
    }
    auto const found = members_.find(node);
    if (found == members_.end()) {
        return std::nullopt;
    }
    return found->second.state;
}

std::string membership::peer_address(node_id const& node) const {
    if (node == self_.id) {
        return self_.peer_address;
    }
    auto const found = members_.find(node);
    return found == members_.end() ? std::string()
                                   : found->second.instance.peer_address;
}

domain_id membership::domain_of(node_id const& node) const {
    auto const found = members_.find(node);
    return found == members_.end() ? domain_id()
                                   : found->second.instance.domain;
}

std::vector<endpoint_instance> membership::live_endpoints() const {
    return endpoints_.live_endpoints();
}

endpoint_state membership::state_of(endpoint_id const& endpoint) const {
    return endpoints_.state_of(endpoint);
}

endpoint_instance const* membership::find(endpoint_id const& endpoint) const {
    return endpoints_.find(endpoint);
}

void membership::add_log_event(
    event_code code, log_level level, std::string detail) {
    actions_.push_back(log_event{code, level, std::move(detail)});
}

} // namespace camphorpoint
