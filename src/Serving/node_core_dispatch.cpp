#include "Serving/node_core.hpp"

#include <map>
#include <type_traits>
#include <variant>
#include <vector>

namespace camphorpoint {

namespace {

template <class T, class... Types>
inline constexpr bool is_one_of = (std::is_same_v<T, Types> || ...);

} // namespace

void node_core::on_peer(node_id const& from, peer_message const& message) {
    auto const carry = [&]<class Message>(Message const& each) {
        if constexpr (std::is_same_v<Message, grant_issued>) {
            requests_.on_grant(from, each, clock_.now);
        } else if constexpr (std::is_same_v<Message, grant_refused>) {
            requests_.on_refusal(from, each, clock_.now);
        } else if constexpr (is_one_of<
                                 Message, handover_offer, handover_accepted,
                                 holder_stopped>) {
            services_.owning.on_message(from, each, clock_.now);
        } else if constexpr (is_one_of<
                                 Message, config_ask, config_records,
                                 config_state>) {
            config_.on_peer(from, each, clock_.now);
            grants_.refresh_versions(clock_.now);
        } else if constexpr (is_one_of<
                                 Message, load_request, load_result,
                                 load_cancelled>) {
            loads_.on_message(from, each, clock_.now);
        } else if constexpr (is_one_of<
                                 Message, key_permission_request, key_reply,
                                 key_completion, key_completion_ack,
                                 key_heartbeat, key_handover>) {
            keys_.on_message(from, each, clock_);
        } else if constexpr (is_one_of<
                                 Message, replica_crash_message,
                                 request_success_message, quarantine_message,
                                 quarantine_sync_request>) {
            contents_.on_message(from, each, clock_.now);
        } else {
            grants_.on_message(from, each, clock_.now);
        }
    };
    if (auto const* const ask = std::get_if<grant_request>(&message)) {
        config_.needs(ask->configuration, from, clock_.now);
    }
    if (auto const* const yes = std::get_if<grant_issued>(&message)) {
        if (auto const* const request = requests_.find(yes->request)) {
            services_.choice.on_feedback(
                yes->replica, request->what.adapter, yes->feedback, clock_.now);
        }
    }
    if (auto const* const no = std::get_if<grant_refused>(&message)) {
        if (auto const* const request = requests_.find(no->request)) {
            services_.choice.on_feedback(
                no->replica, request->what.adapter, no->feedback, clock_.now);
        }
    }
    std::visit(carry, message);
}

// Services answer one another until nothing more is to be said. A key's table
// is pumped before ownership's offer of it, so that it arrives first.
void node_core::settle() {
    bool more = true;
    while (more) {
        pump_members();
        more = ownership_.pump(clock_);
        more = grants_.pump(clock_.now) || more;
        more = loads_.pump(clock_.now) || more;
        more = pump_plain() || more;
        std::vector<key_decision> const settled = keys_.pump();
        for (key_decision const& each : settled) {
            requests_.on_key_settled(each, clock_.now);
        }
        more = more || !settled.empty();
        while (auto const message = outbox_.take_local()) {
            on_peer(outbox_.self(), *message);
            more = true;
        }
    }
    tell_readiness();
    finish_drain();
}

void node_core::pump_members() {
    for (membership_action const& each : services_.members.take_actions()) {
        std::visit([this](auto const& one) { outbox_.act(one); }, each);
    }
    if (services_.members.change_count() != members_seen_) {
        members_seen_ = services_.members.change_count();
        refresh_members();
    }
}

void node_core::refresh_members() {
    ownership_.refresh_candidates(clock_.now);
    config_.refresh_peers();
    contents_.refresh_members();
    grants_.refresh_endpoints(clock_.now);
    refresh_placement();
    refresh_plain();
    leave_lost_owners();
}

// Guards against a wait for an owner that is dead: its queue died with it, so
// that the request would stand still until its deadline.
void node_core::leave_lost_owners() {
    for (endpoint_id const& replica : requests_.waited_for()) {
        if (services_.reachable_owner(replica_resource(replica)).empty()) {
            requests_.on_owner_lost(replica, clock_.now);
        }
    }
}

void node_core::refresh_placement() {
    std::vector<placement_endpoint> engines;
    for (endpoint_instance const& each : services_.members.live_endpoints()) {
        if (each.kind == endpoint_kind::engine) {
            engines.push_back(
                {each.id, each.model, each.domain, each.batch_limit,
                 each.adapter_slots, true});
        }
    }
    services_.choice.set_endpoints(engines);
    services_.choice.set_nodes(services_.members.live_nodes().size());
}

void node_core::refresh_plain() {
    std::map<model_id, std::vector<service_endpoint>> listed;
    for (auto const& [name, service] : services_.plain) {
        listed[name];
    }
    for (endpoint_instance const& each : services_.members.live_endpoints()) {
        if (each.kind == endpoint_kind::service) {
            listed[each.model].push_back(
                {each.id, each.domain, each.batch_limit, false});
        }
    }
    for (auto const& [name, replicas] : listed) {
        auto const made = services_.plain.try_emplace(
            name, settings_.services, settings_.health, settings_.self.domain,
            settings_.seed);
        made.first->second.set_endpoints(replicas, clock_.now);
    }
}

bool node_core::pump_plain() {
    bool any = false;
    for (auto& [name, service] : services_.plain) {
        for (service_action const& each : service.take_actions()) {
            any = true;
            auto const* const go = std::get_if<service_dispatch>(&each);
            if (go == nullptr) {
                requests_.on_service_refusal(
                    std::get<service_refusal>(each), clock_.now);
                continue;
            }
            std::string const address = surroundings_.address_of(go->endpoint);
            if (!requests_.on_dispatch(*go, address, clock_.now)) {
                service.on_finished(
                    go->id, service_outcome::cancelled, clock_.now);
            }
        }
    }
    return any;
}

void node_core::tell_readiness() {
    bool const now_ready = not_ready(clock_.now) == reason::none;
    if (now_ready && !ready_) {
        outbox_.act(log_event{event_code::node_ready, log_level::info, ""});
    }
    ready_ = now_ready;
}

void node_core::finish_drain() {
    bool const over = surroundings_.draining() && !drained_ &&
                      requests_.size() == 0 && services_.keys.open() == 0 &&
                      services_.owning.drained();
    if (over) {
        drained_ = true;
        outbox_.act(drain_finished{});
    }
}

} // namespace camphorpoint
