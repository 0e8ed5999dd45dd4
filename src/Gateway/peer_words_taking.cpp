#include "Gateway/peer_words.hpp"

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

bool waits(peer_want const& want) {
    return want.kind < static_cast<std::uint8_t>(want_kind::ahead);
}

} // namespace

bool peer_words::has_place_for(peer_want const& want, instant now) const {
    // Guards against hundreds of requests for an adapter that has just become
    // busy which all wait for one replica: those beyond its places are turned
    // away at once and have it loaded elsewhere at the same time.
    replica const* const at = beliefs_->replicas.find_short(want.replica);
    if (at == nullptr || !want.new_here) {
        return true;
    }
    replica_total const total = ledger_.total(want.replica, now);
    return replica_choice::has_place(total, at->record.slots);
}

void peer_words::take_want(peer_want const& want, std::string const& from) {
    instant const now = boot_clock::now();
    std::optional<duration> const wait =
        has_place_for(want, now) ? to_.want(want) : until_place;
    if (!wait) {
        if (waits(want) && want.new_here) {
            ledger_.awaited(want.replica, now);
        }
        return;
    }
    peer_denial const denial{
        want.replica, want.adapter, whole_milliseconds(*wait)};
    if (from == beliefs_->own_name) {
        take_denial(denial, now);
        return;
    }
    peer_datagram message;
    message.denials.push_back(denial);
    send(from, std::move(message));
}

void peer_words::take_denial(peer_denial const& denial, instant now) {
    if (replica* const at = beliefs_->replicas.find_short(denial.replica)) {
        adapter_id const adapter(denial.adapter);
        at->denials[adapter] = {
            now + denial_lasts, now + milliseconds(denial.wait_ms)};
        beliefs_->waiters.notify(adapter);
    }
}

void peer_words::receive(std::string const& bytes) {
    auto const message = decode_peer_datagram(bytes);
    if (message && message->from != beliefs_->own_name) {
        take(*message);
    }
}

void peer_words::take(peer_datagram const& message) {
    instant const now = boot_clock::now();
    beliefs_->peers[message.from] = now;
    // First, so that places of it are met by who knows it.
    if (message.declared_place.era > beliefs_->era) {
        to_.era(message.declared_place.era);
    }
    if (message.present) {
        beliefs_->start.heard(message.from, message.declared_total);
    }
    if (message.asks_declared) {
        send(message.from, declared());
    }
    for (peer_load const& each : message.loads) {
        replica_total const total{
            each.running, static_cast<double>(each.backlog_tokens),
            each.free_slots};
        beliefs_->replicas.told_total(each.replica, total, now);
    }
    for (peer_ask const& each : message.asks) {
        if (message.answers) {
            beliefs_->waiters.notify(adapter_id(each.adapter));
        } else {
            take_ask(each, message.from, now);
        }
    }
    for (peer_claim const& each : message.claims) {
        if (each.partition >= partition_count) {
            continue;
        }
        owners_[each.partition] = message.from;
        beliefs_->leases.overtaken(each.partition, each.token);
    }
    for (peer_word const& each : message.words) {
        replica const* const at = beliefs_->replicas.find_short(each.replica);
        adapter_id const adapter(each.adapter);
        if (at == nullptr) {
            continue;
        }
        if (each.held) {
            beliefs_->replicas.told_held(
                at->record.id, {adapter, each.version}, now);
            beliefs_->waiters.notify(adapter);
        } else {
            beliefs_->replicas.told_dropped(at->record.id, adapter, now);
        }
    }
    for (peer_suspicion const& each : message.suspicions) {
        if (replica* const at = beliefs_->replicas.find_short(each.replica)) {
            at->health.note_hearsay(now + milliseconds(each.milliseconds));
        }
    }
    for (peer_want const& each : message.wants) {
        take_want(each, message.from);
    }
    for (peer_denial const& each : message.denials) {
        take_denial(each, now);
    }
    for (peer_end const& each : message.ends) {
        count_end(each, now);
    }
    for (std::uint64_t const each : message.wholes) {
        clear(content_digest{each});
    }
    for (peer_gate const& each : message.gates) {
        take_gate(each, message.from, now);
    }
    if (message.knows_held) {
        beliefs_->held_known.heard(now);
    }
    for (peer_quarantine const& each : message.quarantines) {
        take_quarantine(each, message.from, now);
    }
    for (peer_use const& each : message.uses) {
        take_use(each, message.from, now);
    }
    for (peer_reading const& each : message.readings) {
        to_.reading(each);
    }
    if (further(message.declared_place, beliefs_->declared_place) ||
        message.declared_total > beliefs_->declared_total()) {
        to_.declarations(message.declared_place, message.declared_total);
    }
}

} // namespace camphorpoint
