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

void node_core::dispatch_peer_message(
    node_id const& from, peer_message const& message) {
    auto const dispatch = [&]<class Message>(Message const& each) {
        if constexpr (std::is_same_v<Message, grant_issued>) {
            requests_.on_grant(from, each, clock_.now);
        } else if constexpr (std::is_same_v<Message, grant_refused>) {
            requests_.on_refusal(from, each, clock_.now);
        } else if constexpr (is_one_of<
                                 Message, handover_offer, handover_accepted,
                                 holder_stopped>) {
            services_.ownership.on_message(from, each, clock_.now);
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
                                 quarantine_sync_request, part_crash_message,
                                 part_inquiry_message, part_output_message>) {
            quarantine_.on_message(from, each, clock_.now);
        } else {
            grants_.on_message(from, each, clock_.now);
        }
    };
    if (auto const* const request = std::get_if<grant_request>(&message)) {
        config_.require_offset(request->configuration, from, clock_.now);
    }
    if (auto const* const yes = std::get_if<grant_issued>(&message)) {
        if (auto const* const request = requests_.find(yes->request)) {
            services_.endpoint_selector.on_feedback(
                yes->replica, request->target_profile.adapter, yes->feedback,
                clock_.now);
        }
    }
    if (auto const* const no = std::get_if<grant_refused>(&message)) {
        if (auto const* const request = requests_.find(no->request)) {
            services_.endpoint_selector.on_feedback(
                no->replica, request->target_profile.adapter, no->feedback,
                clock_.now);
        }
    }
    std::visit(dispatch, message);
}

// Executes the services' actions until none produces further ones. Tables of
// key shards are sent before the ownership service's offer of the shard, so
// they arrive first.
void node_core::run_pending_work() {
    bool has_more = true;
    while (has_more) {
        pump_members();
        has_more = ownership_.pump(clock_);
        has_more = grants_.pump(clock_.now) || has_more;
        has_more = loads_.pump(clock_.now) || has_more;
        has_more = pump_plain_services() || has_more;
        std::vector<key_decision> const settled = keys_.pump();
        for (key_decision const& each : settled) {
            requests_.on_key_decision(each, clock_.now);
        }
        has_more = has_more || !settled.empty();
        while (auto const message = outbox_.pop_local()) {
            dispatch_peer_message(outbox_.self(), *message);
            has_more = true;
        }
    }
    log_readiness();
    finish_drain();
}

void node_core::pump_members() {
    for (membership_action const& each : services_.members.take_actions()) {
        std::visit([this](auto const& one) { outbox_.emit(one); }, each);
    }
    if (services_.members.change_count() != seen_membership_changes_) {
        seen_membership_changes_ = services_.members.change_count();
        refresh_members();
    }
}

void node_core::refresh_members() {
    ownership_.refresh_candidates(clock_.now);
    config_.refresh_peers();
    quarantine_.refresh_members();
    grants_.refresh_endpoints(clock_.now);
    refresh_placement();
    refresh_plain_services();
    reroute_from_unreachable_owners();
}

// Guards against a request that waits for a dead owner: the queue is lost with
// the owner, and the request would wait until its deadline.
void node_core::reroute_from_unreachable_owners() {
    for (endpoint_id const& replica : requests_.awaited_replicas()) {
        if (services_.reachable_owner(replica_resource(replica)).empty()) {
            requests_.on_owner_unreachable(replica, clock_.now);
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
    services_.endpoint_selector.set_endpoints(engines);
    services_.endpoint_selector.set_nodes(
        services_.members.live_nodes().size());
}

void node_core::refresh_plain_services() {
    std::map<model_id, std::vector<service_endpoint>> listed;
    for (auto const& [name, service] : services_.plain_services) {
        listed[name];
    }
    for (endpoint_instance const& each : services_.members.live_endpoints()) {
        if (each.kind == endpoint_kind::service) {
            listed[each.model].push_back(
                {each.id, each.domain, each.batch_limit, false});
        }
    }
    for (auto const& [name, replicas] : listed) {
        auto const made = services_.plain_services.try_emplace(
            name, settings_.services, settings_.health, settings_.self.domain,
            settings_.seed);
        made.first->second.set_endpoints(replicas, clock_.now);
    }
}

bool node_core::pump_plain_services() {
    bool any = false;
    for (auto& [name, service] : services_.plain_services) {
        for (service_action const& each : service.take_actions()) {
            any = true;
            auto const* const dispatch = std::get_if<service_dispatch>(&each);
            if (dispatch == nullptr) {
                requests_.on_service_refusal(
                    std::get<service_refusal>(each), clock_.now);
                continue;
            }
            std::string const address =
                environment_.address_of(dispatch->endpoint);
            if (!requests_.on_dispatch(*dispatch, address, clock_.now)) {
                service.on_finished(
                    dispatch->id, service_outcome::cancelled, {}, clock_.now);
            }
        }
    }
    return any;
}

void node_core::log_readiness() {
    bool const now_ready = not_ready(clock_.now) == reason::none;
    if (now_ready && !ready_) {
        outbox_.emit(log_event{event_code::node_ready, log_level::info, ""});
    }
    ready_ = now_ready;
}

void node_core::finish_drain() {
    bool const finished = environment_.draining() && !drained_ &&
                          requests_.size() == 0 && services_.keys.open() == 0 &&
                          services_.ownership.drained();
    if (finished) {
        drained_ = true;
        outbox_.emit(drain_finished{});
    }
}

} // namespace camphorpoint
