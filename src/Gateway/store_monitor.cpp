#include "Gateway/store_monitor.hpp"

#include <chrono>
#include <cstdint>
#include <random>
#include <utility>

namespace camphorpoint {

namespace {

/// After a rollback each node reads the store in full at a random time within
/// this period: the nodes don't all read at once, yet soon enough for the two
/// seconds in which a draining replica or a new configuration must be known.
constexpr std::chrono::milliseconds rollback_poll_spread{800};

} // namespace

store_monitor::store_monitor(
    gateway_state& state, std::function<void()> on_recovered,
    std::function<void(store_epoch epoch, instant read_at)> on_rollback)
    : state_(&state)
    , on_recovered_(std::move(on_recovered))
    , on_rollback_(std::move(on_rollback)) {}

// Guards against reading on from an old offset after the store was restored
// from an older snapshot: the first records of the new epoch are written below
// that offset and would never be read. Every answer of the store contains the
// epoch, and so do the messages between nodes.
void store_monitor::observe_epoch(store_epoch epoch, std::string_view by) {
    bool const nothing_read = state_->epoch == store_epoch{} &&
                              !state_->configured &&
                              state_->replicas.all().empty();
    if (nothing_read && by == epoch_from_answer) {
        state_->epoch = epoch;
    }
    if (nothing_read || epoch <= state_->epoch) {
        return;
    }
    instant const now = boot_clock::now();
    std::uniform_real_distribution<double> sample(0, 1);
    instant const read_at =
        now + std::chrono::duration_cast<duration>(
                  rollback_poll_spread * sample(state_->random));
    state_->log_event(
        log_line(event_code::store_gone_back, log_level::warning)
            .with("from", static_cast<std::uint32_t>(state_->epoch))
            .with("to", static_cast<std::uint32_t>(epoch))
            .with("by", by)
            .with("reads", "replicas declarations contents")
            .with("in_ms", read_at - now));
    state_->metrics.count_store_rollback();
    state_->epoch = epoch;
    // Entries that are missing in the snapshot are written again by their
    // replicas, as after an outage.
    state_->store_reachable_since = now;
    state_->leases.on_store_rollback(epoch);
    epoch_observed_at_ = now;
    registry_complete_ = false;
    declarations_complete_ = false;
    on_rollback_(epoch, read_at);
}

void store_monitor::note_snapshot(
    platform::store_topic topic, store_epoch epoch) {
    if (!epoch_observed_at_ || epoch != state_->epoch) {
        return;
    }
    registry_complete_ =
        registry_complete_ || topic == platform::store_topic::replicas;
    declarations_complete_ =
        declarations_complete_ || topic == platform::store_topic::declarations;
    if (registry_complete_ && declarations_complete_) {
        state_->log_event(
            log_line(event_code::store_whole_again)
                .with("era", static_cast<std::uint32_t>(epoch))
                .with("took_ms", boot_clock::now() - *epoch_observed_at_));
        epoch_observed_at_.reset();
    }
}

void store_monitor::note_answer() {
    instant const now = boot_clock::now();
    last_answer_ = now;
    if (state_->store_unreachable_since == instant::max()) {
        return;
    }
    state_->log_event(
        log_line(event_code::dependency_regained)
            .with("what", "store")
            .with("out_ms", now - state_->store_unreachable_since));
    state_->store_unreachable_since = instant::max();
    state_->store_reachable_since = now;
    on_recovered_();
}

void store_monitor::note_failure(
    platform::store_topic topic, instant began,
    platform::store_reading const& reading, platform::store_failure failure) {
    bool const truncated =
        failure == platform::store_failure::no_answer && reading.begun();
    bool const unreachable = state_->store_unreachable_since != instant::max();
    // Guards against taking a poll that is cut off on a saturated link for an
    // outage of the store. In an outage, entries that disappear are kept for a
    // while, so a replica that has left would get requests. The store is
    // reachable when it has answered since the poll began, or has begun to
    // answer it.
    if (unreachable || truncated || last_answer_ >= began) {
        return;
    }
    state_->store_unreachable_since = boot_clock::now();
    state_->log_event(log_line(event_code::dependency_lost, log_level::warning)
                          .with("what", "store")
                          .with("call", to_string(topic)));
}

void log_store_read(
    gateway_state& state, platform::store_topic topic, std::string_view how,
    std::uint64_t from, instant began, platform::store_reading const& reading,
    platform::store_result<platform::keyed_batch> const& result) {
    // A long poll without records is not logged.
    if (result && result.value().records.empty() &&
        result.value().unreadable == 0) {
        return;
    }
    if (reading.cancelled()) {
        return;
    }
    log_level const level = result ? log_level::info : log_level::warning;
    std::size_t const records = result ? result.value().records.size() : 0;
    unsigned const unreadable = result ? result.value().unreadable : 0;
    state.log_event(
        log_line(event_code::records_read, level)
            .with("topic", to_string(topic))
            .with("how", how)
            .with("from", from)
            .with("records", records)
            .with("unreadable", unreadable)
            .with("bytes", reading.bytes())
            .with("took_ms", boot_clock::now() - began)
            .with("end", result ? "answered" : to_string(result.error())));
}

} // namespace camphorpoint
