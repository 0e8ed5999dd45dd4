#include "Gateway/peer_messenger.hpp"

#include <utility>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

/// Slots come free and loads end within some hundred milliseconds: a forecast
/// that is older says little.
constexpr duration denial_lasts = std::chrono::milliseconds(400);
/// How long it may take a replica that has no place for another request: its
/// runs have to end first.
constexpr duration until_place = std::chrono::milliseconds(1'000);

bool waits(peer_load_request const& want) {
    return want.kind < static_cast<std::uint8_t>(load_priority::prefetch);
}

} // namespace

bool peer_messenger::has_place_for(
    peer_load_request const& want, instant now) const {
    // Guards against hundreds of requests for an adapter that has just become
    // busy which all wait for one replica: those beyond its places are turned
    // away at once and have it loaded elsewhere at the same time.
    replica const* const at = state_->replicas.find_by_hash(want.replica);
    if (at == nullptr || !want.first_request) {
        return true;
    }
    replica_usage const total = ledger_.usage(want.replica, now);
    return replica_selector::has_capacity(total, at->record.slots);
}

void peer_messenger::take_want(
    peer_load_request const& want, std::string const& from) {
    instant const now = boot_clock::now();
    std::optional<duration> const wait =
        has_place_for(want, now) ? to_.want(want) : until_place;
    if (!wait) {
        if (waits(want) && want.first_request) {
            ledger_.add_waiting_request(want.replica, now);
        }
        return;
    }
    peer_load_rejection const denial{
        want.replica, want.adapter, clamped_milliseconds(*wait)};
    if (from == state_->own_address) {
        take_denial(denial, now);
        return;
    }
    peer_datagram message;
    message.denials.push_back(denial);
    send(from, std::move(message));
}

void peer_messenger::take_denial(
    peer_load_rejection const& denial, instant now) {
    if (replica* const at = state_->replicas.find_by_hash(denial.replica)) {
        adapter_id const adapter(denial.adapter);
        at->denials[adapter] = {
            now + denial_lasts, now + milliseconds(denial.wait_ms)};
        state_->waiters.notify(adapter);
    }
}

void peer_messenger::receive(std::string const& bytes) {
    auto const message = decode_peer_datagram(bytes);
    if (message && message->from != state_->own_address) {
        take(*message);
    }
}

void peer_messenger::take(peer_datagram const& message) {
    instant const now = boot_clock::now();
    state_->peers[message.from] = now;
    // First, so that places of it are met by who knows it.
    if (message.declared_position.epoch > state_->epoch) {
        to_.epoch(message.declared_position.epoch);
    }
    if (message.present) {
        state_->start.handle_peer_total(message.from, message.declared_total);
    }
    if (message.queries_declared) {
        send(message.from, declared());
    }
    for (peer_replica_usage const& each : message.loads) {
        replica_usage const total{
            each.running, static_cast<double>(each.backlog_tokens),
            each.free_slots};
        state_->replicas.update_usage(each.replica, total, now);
    }
    for (peer_replica_usage_query const& each : message.asks) {
        if (message.answers) {
            state_->waiters.notify(adapter_id(each.adapter));
        } else {
            take_ask(each, message.from, now);
        }
    }
    for (peer_claim const& each : message.claims) {
        if (each.partition >= partition_count) {
            continue;
        }
        owners_[each.partition] = message.from;
        state_->leases.on_higher_token(each.partition, each.token);
    }
    for (peer_residency const& each : message.words) {
        replica const* const at = state_->replicas.find_by_hash(each.replica);
        adapter_id const adapter(each.adapter);
        if (at == nullptr) {
            continue;
        }
        if (each.held) {
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
    for (peer_load_request const& each : message.wants) {
        take_want(each, message.from);
    }
    for (peer_load_rejection const& each : message.denials) {
        take_denial(each, now);
    }
    for (peer_crash const& each : message.ends) {
        count_end(each, now);
    }
    for (std::uint64_t const each : message.completions) {
        clear(request_fingerprint{each});
    }
    for (peer_gate_message const& each : message.gates) {
        take_gate(each, message.from, now);
    }
    if (message.knows_quarantines) {
        state_->quarantine_sync_state.on_message_from_synced_node(now);
    }
    for (peer_quarantine const& each : message.quarantines) {
        take_quarantine(each, message.from, now);
    }
    for (peer_adapter_usage const& each : message.uses) {
        take_use(each, message.from, now);
    }
    for (peer_registry_update const& each : message.readings) {
        to_.reading(each);
    }
    if (is_ahead(message.declared_position, state_->declared_position) ||
        message.declared_total > state_->declared_total()) {
        to_.declarations(message.declared_position, message.declared_total);
    }
}

} // namespace camphorpoint
