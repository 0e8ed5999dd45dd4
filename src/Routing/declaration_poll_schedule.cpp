#include "Routing/declaration_poll_schedule.hpp"

#include <algorithm>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

/// @returns the time, doubled so often, within its bound
milliseconds
doubled(milliseconds time, unsigned times, milliseconds most) noexcept {
    // Four doublings pass every bound.
    constexpr unsigned enough = 4;
    return std::min(most, time * (1U << std::min(times, enough)));
}

} // namespace

declaration_poll_schedule::declaration_poll_schedule(
    declaration_poll_settings times, double draw)
    : times_(times)
    , draw_(draw) {}

instant declaration_poll_schedule::check_due(unsigned nodes) const {
    if (read_whole_ < doubted_until_) {
        return read_whole_ + times_.stale_history_poll_interval;
    }
    // Between half and one and a half of the pause, so that nodes which began
    // together do not read together.
    double const part = 0.5 + draw_;
    return read_whole_ + std::chrono::duration_cast<duration>(
                             times_.full_poll_interval * nodes * part);
}

bool declaration_poll_schedule::misses_something() const noexcept {
    return !is_ahead(told_place_, position_) && told_total_ > known_ &&
           told_total_ > looked_for_;
}

bool declaration_poll_schedule::is_behind() const noexcept {
    return outdated() || is_ahead(told_place_, position_) ||
           misses_something() || wait_distrusted_;
}

declaration_poll
declaration_poll_schedule::next_poll(instant now, unsigned nodes) const {
    declaration_poll reading;
    reading.full =
        whole_ || outdated() || misses_something() || now >= check_due(nodes);
    reading.from = position_;
    // What others have read already is there: nothing to wait for.
    reading.long_poll = !reading.full && !is_ahead(told_place_, position_);
    reading.response_timeout = doubled(
        times_.response_timeout, failures_, times_.max_response_timeout);
    if (outdated() && now < epoch_poll_at_) {
        reading.delay = std::chrono::ceil<milliseconds>(epoch_poll_at_ - now);
    } else if (failures_ > 0) {
        reading.delay =
            doubled(times_.retry_delay, failures_ - 1, times_.max_retry_delay);
    } else if (forgettings_ > 1) {
        // What was read whole was older than the history that is left.
        reading.delay = times_.retry_delay;
    } else if (empty_) {
        reading.delay = times_.unconfigured_delay;
    }
    return reading;
}

void declaration_poll_schedule::poll_succeeded(
    declaration_poll const& asked, store_position place, instant now) {
    failures_ = 0;
    wait_distrusted_ = false;
    bool const of_place = asked.full || place.epoch == asked.from.epoch;
    if (place.epoch < epoch_ || !of_place) {
        // The store has gone back meanwhile: it says nothing of what is there.
        epoch_ = std::max(epoch_, place.epoch);
        return;
    }
    epoch_ = place.epoch;
    // A store that does not name its era may have lost the place too.
    bool const gone_back = asked.full && forgettings_ > 0;
    position_ = gone_back ? place : max_position(position_, place);
    empty_ = !configured_;
    if (asked.full) {
        whole_ = !configured_;
        read_whole_ = now;
        looked_for_ = told_total_;
    } else {
        forgettings_ = 0;
    }
    if (!asked.long_poll) {
        // The store has nothing beyond: the word was of something else.
        told_place_ = position_;
    }
}

void declaration_poll_schedule::poll_failed() {
    ++failures_;
}

void declaration_poll_schedule::position_expired(instant now) {
    failures_ = 0;
    ++forgettings_;
    whole_ = true;
    doubted_until_ = now + times_.stale_history_period;
}

void declaration_poll_schedule::enter_epoch(
    store_epoch epoch, instant at) noexcept {
    if (epoch > epoch_) {
        epoch_ = epoch;
        epoch_poll_at_ = at;
    }
}

void declaration_poll_schedule::handle_peer_progress(
    store_position place, std::uint64_t total) noexcept {
    told_place_ = max_position(told_place_, place);
    told_total_ = std::max(told_total_, total);
}

void declaration_poll_schedule::long_poll_cancelled() noexcept {
    wait_distrusted_ = false;
}

} // namespace camphorpoint
