#include "Gateway/quarantine_persistence.hpp"

#include "platform/quarantine_record.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// The node that holds the lease of this partition reads and writes the
/// quarantines for all nodes.
constexpr std::size_t writer_partition = 0;
/// Number of keys in the store. The store retains the newest record of each key
/// permanently, so this number bounds the stored quarantines. All of them fit
/// into one page of an answer.
constexpr std::uint64_t key_count = 256;
/// Delay after a failed call; doubles with each consecutive failure.
constexpr milliseconds initial_retry_delay{250};
constexpr unsigned max_doublings = 4;
constexpr auto topic = platform::store_topic::quarantine;

std::string key_of(request_fingerprint content) {
    return std::to_string(static_cast<std::uint64_t>(content) % key_count);
}

} // namespace

quarantine_persistence::quarantine_persistence(
    gateway_state& state, platform::store_client& store,
    peer_messenger& messenger)
    : state_(&state)
    , store_(&store)
    , messenger_(&messenger) {}

std::vector<quarantine_update>
quarantine_persistence::unsaved(instant now) const {
    auto updates = state_->quarantine.all_updates(now);
    std::erase_if(updates, [&](quarantine_update const& each) {
        auto const found = saved_.find(each.fingerprint);
        return found != saved_.end() && found->second >= each.revision;
    });
    return updates;
}

void quarantine_persistence::on_store_rollback() {
    loaded_ = false;
    saved_.clear();
}

void quarantine_persistence::poll() {
    instant const now = boot_clock::now();
    if (!state_->leases.holds(writer_partition)) {
        // Another node may write to the store while this node does not hold the
        // lease.
        on_store_rollback();
        return;
    }
    bool const up_to_date = loaded_ && unsaved(now).empty();
    if (!*running_ || active_ || up_to_date || now < retry_at_) {
        return;
    }
    active_ = true;
    asio::co_spawn(
        state_->io, [this] { return work(); }, asio::detached);
}

asio::awaitable<void> quarantine_persistence::work() {
    auto const alive = running_;
    bool done = loaded_ || co_await read();
    auto const updates = unsaved(boot_clock::now());
    for (std::size_t next = 0; done && *alive && next < updates.size();
         ++next) {
        done = co_await write(updates[next]);
    }
    active_ = false;
}

asio::awaitable<bool> quarantine_persistence::read() {
    auto const alive = running_;
    instant const began = boot_clock::now();
    // A different epoch at the end of the read means that the store was
    // restored from an older snapshot during the read.
    store_epoch const epoch = state_->epoch;
    platform::store_reading seen;
    platform::reading_times times;
    times.silence = state_->settings.store_timeout;
    auto const batch = co_await store_->newest(topic, times, seen);
    instant const now = boot_clock::now();
    log_store_read(*state_, topic, "whole", 0, began, seen, batch);
    bool const absent =
        !batch && batch.error() == platform::store_failure::absent;
    if (!batch && !absent) {
        note_failure(batch.error(), now);
        co_return false;
    }
    failures_ = 0;
    if (epoch != state_->epoch) {
        co_return false;
    }
    loaded_ = true;
    saved_.clear();
    end_ = absent ? store_position{epoch, 0} : batch.value().next;
    if (absent) {
        co_return true;
    }
    wall_time const calendar = wall_now();
    for (platform::keyed_record const& each : batch.value().records) {
        auto const update =
            platform::read_quarantine(each.value.value_or(""), calendar);
        if (!update) {
            continue;
        }
        saved_[update->fingerprint] = update->revision;
        if (state_->quarantine.apply(*update, now)) {
            state_->log_event(
                log_line(event_code::content_held, log_level::warning)
                    .with("content", to_string(update->fingerprint))
                    .with("turn", update->revision)
                    .with("by", "store"));
            messenger_->broadcast_quarantine(*update);
        }
    }
    co_return true;
}

asio::awaitable<bool> quarantine_persistence::write(quarantine_update update) {
    auto const alive = running_;
    store_epoch const epoch = state_->epoch;
    std::string key = key_of(update.fingerprint);
    std::string text = platform::write_quarantine(update, wall_now());
    auto const written =
        co_await store_->put(topic, std::move(key), std::move(text), end_);
    instant const now = boot_clock::now();
    if (!written) {
        // A call that was turned away has not been done and will not be.
        loaded_ = written.error() == platform::store_failure::turned_away;
        note_failure(written.error(), now);
        co_return false;
    }
    failures_ = 0;
    if (epoch != state_->epoch) {
        co_return false;
    }
    end_ = written.value();
    saved_[update.fingerprint] = update.revision;
    state_->log_event(log_line(event_code::content_kept)
                          .with("content", to_string(update.fingerprint))
                          .with("turn", update.revision));
    co_return true;
}

void quarantine_persistence::note_failure(
    platform::store_failure why, instant now) {
    milliseconds const retry_delay =
        initial_retry_delay * (1U << std::min(failures_, max_doublings));
    ++failures_;
    retry_at_ = now + retry_delay;
    state_->log_event(log_line(event_code::content_kept, log_level::warning)
                          .with("failed", to_string(why))
                          .with("again_ms", retry_delay));
}

} // namespace camphorpoint
