#include "Serving/node_core.hpp"

#include <utility>
#include <variant>

namespace camphorpoint {

node_core::node_core(serving_settings settings)
    : settings_(std::move(settings))
    , services_(settings_)
    , outbox_(settings_.self.id)
    , loads_(settings_, services_, outbox_)
    , grants_(settings_, services_, outbox_, loads_)
    , keys_(services_, outbox_)
    , ownership_(services_, outbox_, grants_, keys_, loads_)
    , config_(services_, outbox_)
    , quarantine_(settings_, services_, outbox_)
    , environment_(settings_, services_, outbox_, quarantine_)
    , requests_(settings_.requests, environment_)
    , heartbeats_(settings_.requests, services_, outbox_) {}

void node_core::handle(
    node_event const& event, instant now, wall_time wall,
    std::vector<node_action>& out) {
    outbox_.begin(out);
    clock_ = {wall, now};
    environment_.set_clock(clock_);
    std::visit([this](auto const& each) { on(each); }, event);
    run_pending_work();
    outbox_.finish();
}

void node_core::on(caller_request const& event) {
    requests_.on_request(event, clock_.now);
}

void node_core::on(caller_resume const& event) {
    requests_.on_resume(event, clock_.now);
}

void node_core::on(caller_disconnected const& event) {
    requests_.on_caller_disconnected(event.id, clock_.now);
}

void node_core::on(attempt_progress const& event) {
    requests_.on_progress(event, clock_.now);
}

void node_core::on(attempt_ended const& event) {
    requests_.on_attempt_ended(event, clock_.now);
}

void node_core::on(log_batch const& event) {
    if (event.stream == log_stream::control) {
        ownership_.on_batch(event, clock_.now);
        return;
    }
    config_.on_batch(event, clock_.now);
    grants_.refresh_versions(clock_.now);
}

void node_core::on(log_read_failed const& event) {
    if (event.stream == log_stream::control) {
        services_.ownership.on_read_failed(clock_.now);
    } else {
        config_.on_read_failed(clock_.now);
    }
}

void node_core::on(log_append_ended const& event) {
    auto const origin = outbox_.append_ended(event.append);
    if (!origin) {
        return;
    }
    if (origin->source == append_source::control) {
        services_.ownership.on_append_ended(
            origin->number, event.how, event.offset, clock_.now);
        return;
    }
    config_.on_append_ended(*origin, event, clock_.now);
}

void node_core::on(instance_list const& event) {
    services_.members.on_instance_list(event, clock_.now);
}

void node_core::on(engine_report const& event) {
    grants_.on_report(event, clock_.now);
}

void node_core::on(command_ended const& event) {
    grants_.on_command_ended(event, clock_.now);
}

void node_core::on(peer_received const& event) {
    services_.members.on_peer_message(event.from, clock_.now);
    dispatch_peer_message(event.from, event.message);
}

// Grant requests that may be lost are sent to another replica. Running attempts
// do not need the owner.
void node_core::on(peer_unreachable const& event) {
    for (endpoint_id const& replica : requests_.awaited_replicas()) {
        auto const known =
            services_.ownership.owner_of(replica_resource(replica));
        if (known && known->owner.node == event.peer) {
            requests_.on_owner_unreachable(replica, clock_.now);
        }
    }
}

void node_core::on(publish_request const& event) {
    config_.on_publish(event, clock_.now);
}

void node_core::on(tick const& /*event*/) {
    services_.members.on_tick(clock_.now);
    services_.ownership.on_tick(clock_.now);
    config_.on_tick(clock_.now, clock_.wall);
    loads_.on_tick(clock_.now);
    grants_.on_tick(clock_.now);
    keys_.on_tick(clock_);
    quarantine_.on_tick(clock_.now);
    for (auto& [name, service] : services_.plain_services) {
        service.on_tick(clock_.now);
    }
    requests_.on_tick(clock_.now);
    if (heartbeats_.due(clock_.now)) {
        heartbeats_.send(requests_.grants_in_use(), clock_.now);
    }
}

void node_core::on(drain_started const& /*event*/) {
    if (environment_.draining()) {
        return;
    }
    environment_.start_draining();
    outbox_.emit(log_event{event_code::node_draining, log_level::info, ""});
    services_.members.start_leaving(clock_.now);
    services_.ownership.start_drain(clock_.now);
}

void node_core::on(probe_received const& event) {
    services_.members.on_datagram(event.datagram, clock_.now);
}

reason node_core::not_ready(instant now) const {
    if (environment_.draining()) {
        return reason::draining;
    }
    return services_.follower.may_serve(now);
}

} // namespace camphorpoint
