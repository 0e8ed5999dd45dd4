#include "Routing/declaration_poll_schedule.hpp"

#include <algorithm>

namespace camphorpoint {

using std::chrono::milliseconds;

namespace {

/// @returns `time` doubled `doublings` times, but at most `limit`
milliseconds
backed_off(milliseconds time, unsigned doublings, milliseconds limit) noexcept {
    // Four doublings exceed every limit.
    constexpr unsigned max_doublings = 4;
    return std::min(limit, time * (1U << std::min(doublings, max_doublings)));
}

} // namespace

declaration_poll_schedule::declaration_poll_schedule(
    declaration_poll_settings settings, double random_fraction)
    : settings_(settings)
    , random_fraction_(random_fraction) {}

instant declaration_poll_schedule::next_full_poll_time(unsigned nodes) const {
    if (last_full_poll_at_ < history_stale_until_) {
        return last_full_poll_at_ + settings_.stale_history_poll_interval;
    }
    if (!configured_) {
        return last_full_poll_at_ + settings_.unconfigured_full_poll_interval;
    }
    // Between half and one and a half of the interval, so that nodes that
    // started together do not poll together.
    double const fraction = 0.5 + random_fraction_;
    return last_full_poll_at_ +
           std::chrono::duration_cast<duration>(
               settings_.full_poll_interval * nodes * fraction);
}

bool declaration_poll_schedule::missed_declarations() const noexcept {
    return !is_ahead(peer_position_, position_) && peer_total_ > known_total_ &&
           peer_total_ > searched_total_;
}

bool declaration_poll_schedule::is_behind() const noexcept {
    return epoch_outdated() || is_ahead(peer_position_, position_) ||
           missed_declarations() || long_poll_distrusted_;
}

declaration_poll
declaration_poll_schedule::next_poll(instant now, unsigned nodes) const {
    declaration_poll poll;
    poll.full = full_poll_needed_ || epoch_outdated() ||
                missed_declarations() || now >= next_full_poll_time(nodes);
    poll.from = position_;
    // What another node has already read is available at once, so there is
    // nothing to wait for.
    poll.long_poll = !poll.full && !is_ahead(peer_position_, position_);
    poll.response_timeout = backed_off(
        settings_.response_timeout, failures_, settings_.max_response_timeout);
    if (epoch_outdated() && now < epoch_poll_at_) {
        poll.delay = std::chrono::ceil<milliseconds>(epoch_poll_at_ - now);
    } else if (failures_ > 0) {
        poll.delay = backed_off(
            settings_.retry_delay, failures_ - 1, settings_.max_retry_delay);
    } else if (expirations_ > 1) {
        // The result of the full poll was older than the oldest record that the
        // store still has.
        poll.delay = settings_.retry_delay;
    }
    return poll;
}

void declaration_poll_schedule::poll_succeeded(
    declaration_poll const& poll, store_position end_position, instant now) {
    failures_ = 0;
    long_poll_distrusted_ = false;
    bool const is_valid = poll.full || end_position.epoch == poll.from.epoch;
    if (end_position.epoch < epoch_ || !is_valid) {
        // The store rolled back during the poll, so the answer does not
        // describe its present contents.
        epoch_ = std::max(epoch_, end_position.epoch);
        return;
    }
    epoch_ = end_position.epoch;
    // A store that does not report its epoch may have rolled back as well, so
    // the position may also become lower.
    bool const rolled_back = poll.full && expirations_ > 0;
    position_ =
        rolled_back ? end_position : max_position(position_, end_position);
    if (poll.full) {
        full_poll_needed_ = false;
        last_full_poll_at_ = now;
        searched_total_ = peer_total_;
    } else {
        expirations_ = 0;
    }
    if (!poll.long_poll) {
        // The store has no records beyond this position; the peer's report
        // referred to something else.
        peer_position_ = position_;
    }
}

void declaration_poll_schedule::poll_failed() {
    ++failures_;
}

void declaration_poll_schedule::position_expired(instant now) {
    failures_ = 0;
    ++expirations_;
    full_poll_needed_ = true;
    history_stale_until_ = now + settings_.stale_history_period;
}

void declaration_poll_schedule::enter_epoch(
    store_epoch epoch, instant poll_at) noexcept {
    if (epoch > epoch_) {
        epoch_ = epoch;
        epoch_poll_at_ = poll_at;
    }
}

void declaration_poll_schedule::handle_peer_progress(
    store_position end_position, std::uint64_t total) noexcept {
    peer_position_ = max_position(peer_position_, end_position);
    peer_total_ = std::max(peer_total_, total);
}

void declaration_poll_schedule::long_poll_cancelled() noexcept {
    long_poll_distrusted_ = false;
}

} // namespace camphorpoint
