#include "Serving/ownership_router.hpp"

#include <cstdint>
#include <vector>

namespace camphorpoint {

void ownership_router::on_batch(log_batch const& batch, instant now) {
    services_.ownership.on_batch(batch, now);
    if (!batch.records.empty()) {
        keys_.refresh_owners();
    }
}

void ownership_router::refresh_candidates(instant now) {
    std::vector<owner_candidate> live;
    for (live_node const& each : services_.members.live_nodes()) {
        live.push_back({each.id, each.start_time_ms, each.leaving});
    }
    std::vector<resource_id> resources;
    for (endpoint_instance const& each : services_.members.live_endpoints()) {
        if (each.kind == endpoint_kind::engine) {
            resources.push_back(replica_resource(each.id));
        }
    }
    resources.push_back(loads_.store());
    for (std::uint32_t shard = 0; shard < key_shard_count; ++shard) {
        resources.push_back(key_shard_resource(shard));
    }
    services_.ownership.set_candidates(live, resources, now);
    loads_.set_nodes(live.size());
}

void ownership_router::gained(
    ownership_gained const& claim, clock_reading const& clock) {
    switch (claim.resource.kind) {
    case resource_kind::replica:
        grants_.gained(claim, clock.now);
        return;
    case resource_kind::key_shard:
        keys_.gained(claim, clock);
        return;
    case resource_kind::store:
        // The budget receives its authority with the next tick.
        return;
    }
}

void ownership_router::lost(ownership_lost const& loss, instant now) {
    switch (loss.resource.kind) {
    case resource_kind::replica:
        grants_.lost(loss.resource, now);
        return;
    case resource_kind::key_shard:
        keys_.lost(loss.resource);
        return;
    case resource_kind::store:
        loads_.lost(now);
        return;
    }
}

void ownership_router::hand_over(
    handover_requested const& wanted, instant now) {
    switch (wanted.resource.kind) {
    case resource_kind::replica:
        grants_.hand_over(wanted.resource, now);
        return;
    case resource_kind::key_shard:
        // The parts of the table are sent before the offer, on the same
        // connection.
        keys_.hand_over(wanted.resource, wanted.successor);
        services_.ownership.handover_ready(wanted.resource, {}, now);
        return;
    case resource_kind::store:
        loads_.lost(now);
        services_.ownership.handover_ready(wanted.resource, {}, now);
        return;
    }
}

void ownership_router::carry_out(
    ownership_action const& action, clock_reading const& clock) {
    if (auto const* const read = std::get_if<control_read>(&action)) {
        outbox_.emit(read_log{log_stream::control, read->from});
    } else if (
        auto const* const append = std::get_if<control_append>(&action)) {
        outbox_.append(
            {append_source::control, append->append}, log_stream::control,
            append->data);
    } else if (
        auto const* const send = std::get_if<send_ownership_message>(&action)) {
        std::visit(
            [&](auto const& one) { outbox_.send(send->to, one); },
            send->message);
    } else if (
        auto const* const gain = std::get_if<ownership_gained>(&action)) {
        gained(*gain, clock);
    } else if (auto const* const loss = std::get_if<ownership_lost>(&action)) {
        lost(*loss, clock.now);
    } else if (
        auto const* const move = std::get_if<handover_requested>(&action)) {
        hand_over(*move, clock.now);
    } else if (
        auto const* const stay = std::get_if<handover_aborted>(&action)) {
        if (stay->resource.kind == resource_kind::replica) {
            grants_.resume(stay->resource, clock.now);
        }
    } else {
        outbox_.emit(std::get<log_event>(action));
    }
}

bool ownership_router::pump(clock_reading const& clock) {
    std::vector<ownership_action> const actions =
        services_.ownership.take_actions();
    for (ownership_action const& each : actions) {
        carry_out(each, clock);
    }
    return !actions.empty();
}

} // namespace camphorpoint
