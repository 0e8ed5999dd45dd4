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

/// How long one reading waits for news. A connection that has gone silent
/// without a reset shows after this and the silence allowed.
constexpr milliseconds wait_for_news{2'000};
/// After a failed call. Shorter would spend calls that all nodes share.
constexpr milliseconds retry_pause{250};
/// The list is read whole so often. Word of adapters comes from those who order
/// for the replicas, so this mends only what was lost of it.
constexpr duration whole_list_again = std::chrono::seconds(20);
constexpr auto topic = platform::store_topic::replicas;

/// @returns what to tell of a replica; its end when there is none
peer_registry_entry change_of(endpoint_id const& id, replica const* at) {
    peer_registry_entry told;
    told.id = id.str();
    if (at == nullptr) {
        return told;
    }
    replica_record const& record = at->record;
    told.listed = true;
    told.heartbeat = record.heartbeat;
    told.born =
        record.started_at ? record.started_at->time_since_epoch().count() : 0;
    told.service = record.service.str();
    told.host = record.address.host;
    told.port = record.address.port;
    told.domain = record.domain.str();
    told.slots = record.slots;
    told.leaving = record.leaving;
    if (record.remaining) {
        told.remaining = static_cast<std::uint32_t>(record.remaining->count());
    }
    for (model_id const& each : record.models) {
        told.models.push_back(each.str());
    }
    return told;
}

/// @returns the entry that was told of, with the adapters that are known here
replica_record
record_of(peer_registry_entry const& told, fleet const& replicas) {
    replica_record record;
    record.id = endpoint_id(told.id);
    record.service = service_id(told.service);
    record.address = {told.host, told.port};
    record.domain = domain_id(told.domain);
    record.slots = told.slots;
    record.heartbeat = told.heartbeat;
    record.leaving = told.leaving;
    if (told.remaining > 0) {
        record.remaining = milliseconds(told.remaining);
    }
    for (std::string const& each : told.models) {
        record.models.emplace_back(each);
    }
    if (told.born != 0) {
        record.started_at = incarnation(milliseconds(told.born));
    }
    replica const* const known = replicas.find(record.id);
    if (known != nullptr && known->record.started_at == record.started_at) {
        for (auto const& [id, held] : known->adapters) {
            if (!held.unloading) {
                record.adapters.push_back({id, held.version});
            }
        }
    }
    return record;
}

} // namespace

registry_follower::registry_follower(
    gateway_state& state, platform::store_client& store, store_monitor& watch,
    peer_messenger& words, std::function<void()> changed)
    : state_(&state)
    , store_(&store)
    , monitor_(&watch)
    , messenger_(&words)
    , changed_(std::move(changed))
    , turns_(state.settings.registry_poll_interval)
    , list_timer_(state.io) {}

void registry_follower::stop() {
    *running_ = false;
    list_timer_.cancel();
}

void registry_follower::start() {
    asio::co_spawn(
        state_->io, [this] { return follow(); }, asio::detached);
}

asio::awaitable<void> registry_follower::pause(milliseconds time) {
    asio::steady_timer timer(state_->io, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void registry_follower::note_gone(endpoint_id const& id) {
    state_->log_event(
        log_line(event_code::replica_gone).with("replica", id.str()));
    changed_();
}

void registry_follower::take_end(endpoint_id const& id) {
    instant const now = boot_clock::now();
    bool const keep = !state_->store_stable(now);
    if (state_->replicas.mark_unlisted(id, keep, now) ==
        fleet_change::removed) {
        note_gone(id);
    }
}

bool registry_follower::apply(replica_record const& record) {
    fleet_change const change =
        state_->replicas.apply(record, boot_clock::now());
    if (change == fleet_change::none) {
        return false;
    }
    bool const seen = change == fleet_change::joined;
    if (seen) {
        // Those that wait for any replica of a service.
        state_->waiters.notify(adapter_id());
        for (adapter_ref const& each : record.adapters) {
            state_->waiters.notify(each.id);
        }
    }
    state_->log_event(
        log_line(seen ? event_code::replica_seen : event_code::replica_leaving)
            .with("replica", record.id.str())
            .with("service", record.service.str())
            .with("domain", record.domain.str()));
    changed_();
    return true;
}

registry_follower::taken
registry_follower::take_replica(platform::keyed_record const& record) {
    if (!record.value) {
        take_end(endpoint_id(record.key));
        return {false, true};
    }
    auto const read = platform::read_replica(record.key, *record.value);
    if (!read) {
        // Whoever wrote it: what it names can't be used, as if it had ended.
        state_->log_event(
            log_line(event_code::configuration_rejected, log_level::error)
                .with("replica", record.key)
                .with("findings", "no entry of a replica"));
        take_end(endpoint_id(record.key));
        return {false, true};
    }
    bool const news = apply(*read);
    for (adapter_ref const& each : read->adapters) {
        state_->waiters.notify(each.id);
    }
    return {true, news};
}

void registry_follower::handle_registry_update(
    peer_registry_update const& reading) {
    instant const now = boot_clock::now();
    if (reading.to.epoch != reading.from.epoch) {
        return;
    }
    registry_update_fit const word =
        turns_.handle_update(reading.from, reading.to, now);
    if (word == registry_update_fit::later_epoch) {
        monitor_->observe_epoch(reading.to.epoch, epoch_from_peer);
    }
    if (word == registry_update_fit::applies) {
        for (peer_registry_entry const& each : reading.changes) {
            if (each.listed) {
                apply(record_of(each, state_->replicas));
            } else {
                take_end(endpoint_id(each.id));
            }
        }
    }
    list_timer_.cancel();
}

void registry_follower::tell(
    store_position from, platform::keyed_batch const& batch) {
    peer_registry_update reading;
    // What others have told meanwhile is no news here any more, so this word
    // must not cover it: whoever has missed theirs would take it for whole.
    bool const told_on = is_ahead(batch.next, turns_.position());
    reading.from = max_position(from, told_on ? turns_.position() : batch.next);
    reading.to = batch.next;
    for (platform::keyed_record const& each : batch.records) {
        taken const came = take_replica(each);
        if (came.news) {
            endpoint_id const id(each.key);
            peer_registry_entry change =
                change_of(id, came.entry ? state_->replicas.find(id) : nullptr);
            change.place = each.place;
            reading.changes.push_back(std::move(change));
        }
    }
    messenger_->broadcast_registry_update(std::move(reading));
}

void registry_follower::take_whole(platform::keyed_batch const& batch) {
    std::vector<endpoint_id> listed;
    for (platform::keyed_record const& each : batch.records) {
        if (take_replica(each).entry) {
            listed.emplace_back(each.key);
        }
    }
    instant const now = boot_clock::now();
    bool const keep = !state_->store_stable(now);
    for (endpoint_id const& id :
         state_->replicas.mark_unlisted_except(listed, keep, now)) {
        note_gone(id);
    }
}

asio::awaitable<platform::store_result<platform::keyed_batch>>
registry_follower::ask(bool whole, store_position from) {
    platform::reading_times times;
    times.silence = state_->settings.store_timeout;
    if (whole) {
        co_return co_await store_->newest(topic, times, reading_);
    }
    times.wait = wait_for_news;
    co_return co_await store_->read_on(topic, from, times, reading_);
}

asio::awaitable<bool> registry_follower::step() {
    bool const whole = turns_.needs_full_poll();
    store_position const from = turns_.position();
    instant const began = boot_clock::now();
    reading_ = platform::store_reading();
    auto const batch = co_await ask(whole, from);
    log_store_read(
        *state_, topic, whole ? "whole" : "on", from.offset, began, reading_,
        batch);
    if (!batch && reading_.cancelled()) {
        co_return true;
    }
    if (!batch) {
        bool const forgotten =
            batch.error() == platform::store_failure::forgotten;
        if (forgotten) {
            monitor_->note_answer();
            turns_.position_expired();
        } else {
            monitor_->note_failure(topic, began, reading_, batch.error());
        }
        co_return forgotten;
    }
    monitor_->note_answer();
    store_position const next = batch.value().next;
    if (!turns_.is_valid_answer(whole, from, next)) {
        co_return false;
    }
    if (whole) {
        take_whole(batch.value());
        monitor_->note_snapshot(topic, next.epoch);
    } else {
        tell(from, batch.value());
    }
    turns_.poll_completed(next, boot_clock::now());
    co_return true;
}

asio::awaitable<void> registry_follower::read() {
    bool const answered = co_await step();
    if (!answered) {
        co_await pause(retry_pause);
    }
}

void registry_follower::on_store_rollback(store_epoch epoch, instant read_at) {
    turns_.enter_epoch(epoch, read_at);
    list_timer_.cancel();
    // It waits for what comes after an old place, for as long as two seconds.
    if (!reading_.begun()) {
        reading_.cancel();
    }
}

asio::awaitable<void> registry_follower::follow() {
    auto const alive = running_;
    instant read_whole = boot_clock::now();
    std::uniform_real_distribution<double> part(0, 1);
    double draw = part(state_->random);
    while (*alive) {
        instant const now = boot_clock::now();
        for (endpoint_id const& id :
             state_->replicas.expire_missing(state_->store_stable(now), now)) {
            note_gone(id);
        }
        // A node that takes the store for lost sees its return by itself only.
        bool const lost = state_->store_unreachable_since != instant::max();
        if (now >= read_whole + whole_list_again) {
            turns_.require_full_poll();
            read_whole = now;
        }
        if (lost || now >= turns_.next_poll_time(draw)) {
            co_await read();
            draw = part(state_->random);
            continue;
        }
        instant const calm = state_->store_stable_from();
        instant const due = turns_.next_poll_time(draw);
        instant const wake = now < calm ? std::min(due, calm) : due;
        list_timer_.expires_after(time_until(wake));
        co_await list_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace camphorpoint
