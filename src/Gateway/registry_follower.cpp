#include "Gateway/registry_follower.hpp"

#include "platform/configuration_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Longest duration of one long poll. A connection that has died without a
/// reset is noticed after this time plus the store timeout.
constexpr milliseconds max_long_poll_time{2'000};
/// Delay after a failed call. A shorter delay would use up calls to the store
/// that all nodes share.
constexpr milliseconds retry_delay{250};
/// Interval of full polls of the registry. Residency of adapters is reported by
/// the replicas' controllers, so a full poll only repairs what was lost of
/// these reports.
constexpr duration full_poll_interval = std::chrono::seconds(20);
/// Delay after a full poll whose answer was overtaken by other nodes' updates.
constexpr duration overtaken_poll_delay = std::chrono::seconds(2);
constexpr auto topic = platform::store_topic::replicas;

/// @returns the registry entry to send for a replica; a removal when there is
///          no replica
peer_registry_entry to_wire(endpoint_id const& id, replica const* at) {
    peer_registry_entry entry;
    entry.id = id.str();
    if (at == nullptr) {
        return entry;
    }
    replica_record const& record = at->record;
    entry.listed = true;
    entry.heartbeat = record.heartbeat;
    entry.started_at_ms =
        record.started_at ? record.started_at->time_since_epoch().count() : 0;
    entry.service = record.service.str();
    entry.host = record.address.host;
    entry.port = record.address.port;
    entry.domain = record.domain.str();
    entry.software = record.software.str();
    entry.slots = record.slots;
    entry.leaving = record.leaving;
    if (record.remaining) {
        entry.remaining_ms =
            static_cast<std::uint32_t>(record.remaining->count());
    }
    for (model_id const& each : record.models) {
        entry.models.push_back(each.str());
    }
    return entry;
}

/// @returns the record of a received entry, with the adapters that are known
///          here
replica_record
from_wire(peer_registry_entry const& entry, fleet const& replicas) {
    replica_record record;
    record.id = endpoint_id(entry.id);
    record.service = service_id(entry.service);
    record.address = {entry.host, entry.port};
    record.domain = domain_id(entry.domain);
    record.software = software_version(entry.software);
    record.slots = entry.slots;
    record.heartbeat = entry.heartbeat;
    record.leaving = entry.leaving;
    if (entry.remaining_ms > 0) {
        record.remaining = milliseconds(entry.remaining_ms);
    }
    for (std::string const& each : entry.models) {
        record.models.emplace_back(each);
    }
    if (entry.started_at_ms != 0) {
        record.started_at = incarnation(milliseconds(entry.started_at_ms));
    }
    replica const* const known = replicas.find(record.id);
    if (known != nullptr && known->record.started_at == record.started_at) {
        for (auto const& [id, adapter] : known->adapters) {
            if (!adapter.unloading) {
                record.adapters.push_back({id, adapter.version});
            }
        }
    }
    return record;
}

} // namespace

registry_follower::registry_follower(
    gateway_state& state, platform::store_client& store, store_monitor& monitor,
    peer_messenger& messenger, std::function<void()> changed)
    : state_(&state)
    , store_(&store)
    , monitor_(&monitor)
    , messenger_(&messenger)
    , on_change_(std::move(changed))
    , schedule_(state.settings.registry_poll_interval)
    , poll_timer_(state.io) {}

void registry_follower::stop() {
    *running_ = false;
    poll_timer_.cancel();
}

void registry_follower::start() {
    asio::co_spawn(
        state_->io, [this] { return follow(); }, asio::detached);
}

asio::awaitable<void> registry_follower::sleep_for(milliseconds time) {
    asio::steady_timer timer(state_->io, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void registry_follower::log_removal(endpoint_id const& id) {
    replica const* const removed = state_->replicas.find(id);
    duration const kept = removed == nullptr
                              ? duration::zero()
                              : boot_clock::now() - removed->missing_since;
    state_->log_event(log_line(event_code::replica_gone)
                          .with("replica", id.str())
                          .with("kept_ms", kept));
    on_change_();
}

void registry_follower::log_kept(endpoint_id const& id) {
    replica const* const kept = state_->replicas.find(id);
    if (kept != nullptr && !kept->missing) {
        state_->log_event(log_line(event_code::replica_kept)
                              .with("replica", id.str())
                              .with("leaving", kept->record.leaving ? 1U : 0U));
    }
}

void registry_follower::apply_removal(endpoint_id const& id) {
    instant const now = boot_clock::now();
    bool const keep = state_->registry_outages.may_have_expired(now);
    if (state_->replicas.mark_unlisted(id, keep, now) ==
        fleet_change::removed) {
        log_removal(id);
    } else if (keep) {
        log_kept(id);
    }
}

bool registry_follower::apply_entry(replica_record const& record) {
    replica const* const known = state_->replicas.find(record.id);
    if (known != nullptr && fleet::has_restarted(*known, record)) {
        messenger_->forget_outcomes(record.id);
    }
    fleet_change const change =
        state_->replicas.apply(record, boot_clock::now());
    if (change == fleet_change::none) {
        return false;
    }
    bool const joined = change == fleet_change::joined;
    if (joined) {
        // Wakes the requests that wait for any replica of a service.
        state_->waiters.notify(adapter_id());
        for (adapter_ref const& each : record.adapters) {
            state_->waiters.notify(each.id);
        }
    }
    state_->log_event(
        log_line(
            joined ? event_code::replica_seen : event_code::replica_leaving)
            .with("replica", record.id.str())
            .with("service", record.service.str())
            .with("domain", record.domain.str())
            .with("software", record.software.str()));
    on_change_();
    return true;
}

registry_follower::record_effect
registry_follower::apply_record(platform::keyed_record const& record) {
    if (!record.value) {
        apply_removal(endpoint_id(record.key));
        return {false, true};
    }
    auto const parsed = platform::read_replica(record.key, *record.value);
    if (!parsed) {
        // An unreadable entry is treated as a removal, because the replica that
        // it names can't be used.
        state_->log_event(
            log_line(event_code::configuration_rejected, log_level::error)
                .with("replica", record.key)
                .with("findings", "not a valid replica entry"));
        apply_removal(endpoint_id(record.key));
        return {false, true};
    }
    // An entry that leaves is always broadcast, since this node may know that
    // from an older record than the receivers.
    bool const changed = apply_entry(*parsed) || parsed->leaving;
    for (adapter_ref const& each : parsed->adapters) {
        state_->waiters.notify(each.id);
    }
    return {true, changed};
}

void registry_follower::handle_registry_update(
    peer_registry_update const& update) {
    instant const now = boot_clock::now();
    if (update.to.epoch != update.from.epoch) {
        return;
    }
    registry_poll_schedule const before = schedule_;
    registry_update_fit const fit =
        schedule_.handle_update(update.from, update.to, now);
    if (fit == registry_update_fit::later_epoch) {
        monitor_->observe_epoch(update.to.epoch, epoch_from_peer);
    }
    if (update.to.epoch == state_->epoch) {
        state_->registry_outages.note_answer(now);
        state_->software.note_current(now);
    }
    if (fit == registry_update_fit::applies) {
        for (peer_registry_entry const& each : update.changes) {
            if (before.is_known({update.to.epoch, each.position})) {
                continue;
            }
            if (each.listed) {
                apply_entry(from_wire(each, state_->replicas));
            } else {
                apply_removal(endpoint_id(each.id));
            }
        }
    }
    poll_timer_.cancel();
}

void registry_follower::handle_peer_status(duration answered_for) {
    if (state_->registry_outages.note_answered_at_peer(
            answered_for, boot_clock::now())) {
        // Entries that were kept are removed now.
        poll_timer_.cancel();
    }
}

void registry_follower::apply_and_broadcast(
    store_position from, platform::keyed_batch const& batch) {
    peer_registry_update update;
    update.from = schedule_.claimed_from(from, batch.next);
    update.to = batch.next;
    for (platform::keyed_record const& each : batch.records) {
        if (schedule_.is_known({batch.next.epoch, each.place})) {
            continue;
        }
        record_effect const effect = apply_record(each);
        if (effect.changed) {
            endpoint_id const id(each.key);
            peer_registry_entry change = to_wire(
                id, effect.is_entry ? state_->replicas.find(id) : nullptr);
            change.position = each.place;
            update.changes.push_back(std::move(change));
        }
    }
    messenger_->broadcast_registry_update(std::move(update));
}

void registry_follower::apply_snapshot(platform::keyed_batch const& batch) {
    std::vector<endpoint_id> listed;
    for (platform::keyed_record const& each : batch.records) {
        if (apply_record(each).is_entry) {
            listed.emplace_back(each.key);
        }
    }
    instant const now = boot_clock::now();
    bool const keep = state_->registry_outages.may_have_expired(now);
    for (endpoint_id const& id :
         state_->replicas.mark_unlisted_except(listed, keep, now)) {
        log_removal(id);
    }
}

asio::awaitable<platform::store_result<platform::keyed_batch>>
registry_follower::fetch_batch(bool full, store_position from) {
    platform::reading_times times;
    times.silence = state_->settings.store_timeout;
    if (full) {
        co_return co_await store_->newest(topic, times, reading_);
    }
    // Longer polls of an idle registry would look like outages.
    times.wait =
        std::min(max_long_poll_time, state_->settings.replica_heartbeat);
    co_return co_await store_->read_on(topic, from, times, reading_);
}

asio::awaitable<bool> registry_follower::try_poll() {
    bool const full = schedule_.needs_full_poll();
    store_position const from = schedule_.position();
    instant const began = boot_clock::now();
    schedule_.poll_started();
    reading_ = platform::store_reading();
    auto const batch = co_await fetch_batch(full, from);
    log_store_read(
        *state_, topic, full ? "whole" : "on", from.offset, began, reading_,
        batch);
    if (!batch && reading_.cancelled()) {
        co_return true;
    }
    if (!batch) {
        bool const forgotten =
            batch.error() == platform::store_failure::forgotten;
        if (forgotten) {
            monitor_->note_answer();
            state_->registry_outages.note_answer(boot_clock::now());
            schedule_.position_expired();
        } else {
            state_->registry_outages.note_failure();
            monitor_->note_failure(topic, began, reading_, batch.error());
        }
        co_return forgotten;
    }
    monitor_->note_answer();
    state_->registry_outages.note_answer(boot_clock::now());
    state_->software.note_current(boot_clock::now());
    store_position const next = batch.value().next;
    if (!schedule_.is_valid_answer(full, from, next)) {
        co_return false;
    }
    if (full && schedule_.is_known(next)) {
        // Updates by other nodes have overtaken the snapshot: it lists replicas
        // whose removal is known, and lacks replicas that have joined.
        full_poll_at_ = boot_clock::now() + overtaken_poll_delay;
    } else if (full) {
        apply_snapshot(batch.value());
        monitor_->note_snapshot(topic, next.epoch);
    } else {
        apply_and_broadcast(from, batch.value());
    }
    schedule_.poll_completed(next, boot_clock::now());
    co_return true;
}

asio::awaitable<void> registry_follower::poll() {
    bool const answered = co_await try_poll();
    if (!answered) {
        co_await sleep_for(retry_delay);
    }
}

void registry_follower::on_store_rollback(store_epoch epoch, instant read_at) {
    schedule_.enter_epoch(epoch, read_at);
    state_->registry_outages.note_rollback(boot_clock::now());
    poll_timer_.cancel();
    // The long poll in progress waits at a position of the previous epoch, for
    // up to two seconds.
    if (!reading_.begun()) {
        reading_.cancel();
    }
}

asio::awaitable<void> registry_follower::follow() {
    auto const alive = running_;
    full_poll_at_ = boot_clock::now() + full_poll_interval;
    std::uniform_real_distribution<double> part(0, 1);
    double random_sample = part(state_->random);
    while (*alive) {
        instant const now = boot_clock::now();
        bool const settled = !state_->registry_outages.may_have_expired(now);
        for (endpoint_id const& id :
             state_->replicas.expire_missing(settled, now)) {
            log_removal(id);
        }
        // A node that regards the store as unreachable only notices its
        // recovery by its own polls.
        bool const store_unreachable =
            state_->store_unreachable_since != instant::max();
        if (now >= full_poll_at_) {
            schedule_.require_full_poll();
            full_poll_at_ = now + full_poll_interval;
        }
        if (store_unreachable ||
            now >= schedule_.next_poll_time(random_sample)) {
            co_await poll();
            random_sample = part(state_->random);
            continue;
        }
        instant const settled_from = state_->registry_outages.settled_from();
        instant const due = schedule_.next_poll_time(random_sample);
        instant const wake =
            now < settled_from ? std::min(due, settled_from) : due;
        poll_timer_.expires_after(time_until(wake));
        co_await poll_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace camphorpoint
