#include "Gateway/peer_messenger.hpp"

#include <utility>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

/// Slots become free and loads complete within some hundred milliseconds, so
/// that an older forecast is of little use.
constexpr duration rejection_lifetime = std::chrono::milliseconds(400);
/// Expected wait at a replica without capacity for another request: its running
/// requests have to complete first.
constexpr duration wait_for_capacity = std::chrono::milliseconds(1'000);

bool is_demand(peer_load_request const& request) {
    return request.priority <
           static_cast<std::uint8_t>(load_priority::prefetch);
}

replica_condition read_condition(peer_replica_usage const& from) {
    replica_condition result;
    result.failure_probability = from.failure_permille / permille;
    result.event_interval = interval_tick(from.interval_ticks);
    result.token_time = token_tick(from.token_ticks);
    if (from.slowdown_percent > 0) {
        result.slowdown = from.slowdown_percent / percent;
        result.slowdown_age = milliseconds(from.slowdown_age_ms);
    }
    result.avoided = (from.flags & usage_avoided) != 0;
    result.probe_permitted = (from.flags & usage_probe_permitted) != 0;
    result.readmitted = (from.flags & usage_readmitted) != 0;
    return result;
}

} // namespace

bool peer_messenger::has_capacity_for(
    peer_load_request const& request, instant now) const {
    // Guards against hundreds of requests that all wait for one replica because
    // their adapter has just become busy. Requests beyond the replica's
    // capacity are rejected at once, so that the adapter is loaded at other
    // replicas at the same time.
    replica const* const at = state_->replicas.find_by_hash(request.replica);
    if (at == nullptr || !request.first_request) {
        return true;
    }
    replica_usage const total = request_tracker_.usage(request.replica, now);
    return replica_selector::has_capacity(total, at->record.slots, at->speed);
}

void peer_messenger::handle_load_request(
    peer_load_request const& request, std::string const& from) {
    instant const now = boot_clock::now();
    std::optional<duration> const wait =
        has_capacity_for(request, now) ? handlers_.on_load_request(request)
                                       : wait_for_capacity;
    if (!wait) {
        if (is_demand(request) && request.first_request) {
            request_tracker_.add_waiting_request(request.replica, now);
        }
        return;
    }
    peer_load_rejection const rejection{
        request.replica, request.adapter, clamped_milliseconds(*wait)};
    if (from == state_->own_address) {
        handle_load_rejection(rejection, now);
        return;
    }
    peer_datagram message;
    message.load_rejections.push_back(rejection);
    send(from, std::move(message));
}

void peer_messenger::handle_load_rejection(
    peer_load_rejection const& rejection, instant now) {
    if (replica* const at = state_->replicas.find_by_hash(rejection.replica)) {
        adapter_id const adapter(rejection.adapter);
        at->load_rejections[adapter] = {
            now + rejection_lifetime,
            now + milliseconds(rejection.expected_wait_ms)};
        state_->waiters.notify(adapter);
    }
}

void peer_messenger::receive(std::string const& bytes) {
    auto const message = decode_peer_datagram(bytes);
    if (message && message->from != state_->own_address) {
        handle(*message);
    }
}

void peer_messenger::handle(peer_datagram const& message) {
    instant const now = boot_clock::now();
    state_->peers[message.from] = now;
    // The epoch is handled first, so that the positions in this message are
    // compared within the new epoch.
    if (message.declared_position.epoch > state_->epoch) {
        handlers_.on_epoch(message.declared_position.epoch);
    }
    if (message.alive) {
        state_->startup.handle_peer_total(message.from, message.declared_total);
        handlers_.on_registry_answered(
            milliseconds(message.registry_answered_ms));
        if (message.registry_answered_ms > 0) {
            state_->leases.on_store_answered_other(
                now - registry_outage_tracker::min_outage_of(
                          state_->settings.replica_heartbeat));
        }
        if (message.links == replica_links::intact) {
            state_->peer_links.erase(message.from);
        } else {
            state_->peer_links[message.from] = message.links;
        }
    }
    if (message.queries_declared) {
        send(message.from, status_message());
    }
    for (peer_replica_usage const& each : message.replica_usages) {
        replica_usage const total{
            each.running, static_cast<double>(each.backlog_tokens),
            each.free_slots, read_condition(each)};
        state_->replicas.update_usage(each.replica, total, now);
    }
    for (peer_replica_usage_query const& each : message.usage_queries) {
        if (message.answers_queries) {
            state_->waiters.notify(adapter_id(each.adapter));
        } else {
            handle_usage_query(each, message.from, now);
        }
    }
    for (peer_claim const& each : message.claims) {
        if (each.partition >= partition_count) {
            continue;
        }
        store_lease_holder(each.partition, message.from);
        state_->leases.on_higher_token(each.partition, each.token);
    }
    for (peer_residency const& each : message.residencies) {
        replica const* const at = state_->replicas.find_by_hash(each.replica);
        adapter_id const adapter(each.adapter);
        if (at == nullptr) {
            continue;
        }
        if (each.resident) {
            state_->replicas.mark_resident(
                at->record.id, {adapter, each.version}, now);
            state_->waiters.notify(adapter);
        } else {
            state_->replicas.mark_unloading(at->record.id, adapter, now);
        }
    }
    for (peer_suspicion const& each : message.suspicions) {
        if (replica* const at = state_->replicas.find_by_hash(each.replica)) {
            at->health.adopt_suspicion(now + milliseconds(each.milliseconds));
        }
    }
    for (peer_load_request const& each : message.load_requests) {
        handle_load_request(each, message.from);
    }
    for (peer_load_rejection const& each : message.load_rejections) {
        handle_load_rejection(each, now);
    }
    for (peer_crash const& each : message.crashes) {
        count_crash(each, now);
    }
    for (std::uint64_t const each : message.completions) {
        lift_quarantine(request_fingerprint{each});
    }
    handle_part_messages(message, now);
    for (peer_gate_message const& each : message.gate_messages) {
        handle_gate_message(each, message.from, now);
    }
    for (peer_rate_limit const& each : message.rate_limits) {
        apply_rate_limit(each, "message", now);
    }
    for (peer_brittle_service const& each : message.brittle_services) {
        apply_brittleness(each, "message", now);
    }
    for (peer_brittleness_end const& each : message.brittleness_ends) {
        if (replica const* const at =
                state_->replicas.find_by_hash(each.replica)) {
            end_brittleness(
                at->record.id, now - milliseconds(each.age_ms), "message");
        }
    }
    for (peer_leaving_replica const& each : message.leaving_replicas) {
        handle_leaving(each);
    }
    for (peer_rejection const& each : message.rejections) {
        handle_rejection(each, message.from, now);
    }
    for (peer_permit_request const& each : message.permit_requests) {
        handle_permit_request(each, message.from, now);
    }
    for (peer_permit_reply const& each : message.permit_replies) {
        handle_permit_reply(each);
    }
    for (peer_usage_message const& each : message.usage_messages) {
        handle_usage_message(each, message.from, now);
    }
    handle_stream_messages(message, now);
    if (message.knows_quarantines) {
        state_->quarantine_sync_state.on_message_from_synced_node(now);
    }
    for (peer_quarantine const& each : message.quarantines) {
        handle_quarantine(each, message.from, now);
    }
    for (peer_attempt_report const& each : message.attempt_reports) {
        handle_attempt_report(each, now);
    }
    for (peer_slowdown const& each : message.slowdowns) {
        replica const* const at = state_->replicas.find_by_hash(each.replica);
        if (at != nullptr && is_lease_holder(at->record.id)) {
            request_tracker_.add_slowdown(
                each.replica, each.percent / percent, now);
        }
    }
    for (peer_adapter_usage const& each : message.adapter_usages) {
        handle_usage(each, message.from, now);
    }
    for (peer_registry_update const& each : message.registry_updates) {
        handlers_.on_registry_update(each);
    }
    if (is_ahead(message.declared_position, state_->declared_position) ||
        message.declared_total > state_->declared_total()) {
        state_->behind_peers_at = now;
        handlers_.on_peer_progress(
            message.declared_position, message.declared_total);
    }
}

} // namespace camphorpoint
