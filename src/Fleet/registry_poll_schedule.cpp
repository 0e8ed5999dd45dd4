#include "Fleet/registry_poll_schedule.hpp"

namespace camphorpoint {

void registry_poll_schedule::poll_completed(store_position end, instant now) {
    if (end.epoch < epoch_) {
        // The poll was in progress when the store rolled back.
        return;
    }
    position_ = expired_ ? end : max_position(position_, end);
    expired_ = false;
    epoch_ = end.epoch;
    polled_once_ = true;
    gap_ = gap_in_poll_ && gap_open();
    full_poll_needed_ = false;
    last_poll_at_ = now;
}

store_position registry_poll_schedule::claimed_from(
    store_position const& from, store_position const& end) const noexcept {
    return is_ahead(end, position_) ? max_position(from, position_) : end;
}

void registry_poll_schedule::enter_epoch(store_epoch epoch, instant poll_at) {
    if (epoch > epoch_) {
        epoch_ = epoch;
        epoch_poll_at_ = poll_at;
    }
}

registry_update_fit registry_poll_schedule::handle_update(
    store_position from, store_position to, instant now) {
    if (polled_once_ && to.epoch > epoch_) {
        return registry_update_fit::later_epoch;
    }
    if (!polled_once_ || epoch_outdated() || to.epoch != position_.epoch ||
        is_ahead(position_, to)) {
        return registry_update_fit::nothing_new;
    }
    if (is_ahead(from, position_)) {
        gap_end_ = gap_ ? max_position(gap_end_, from) : from;
        gap_ = true;
        gap_in_poll_ = true;
        return registry_update_fit::gap;
    }
    bool const has_new_records = is_ahead(to, position_);
    position_ = to;
    last_poll_at_ = now;
    gap_ = gap_open();
    return has_new_records ? registry_update_fit::applies
                           : registry_update_fit::nothing_new;
}

instant registry_poll_schedule::next_poll_time(double random_fraction) const {
    if (epoch_outdated()) {
        return epoch_poll_at_;
    }
    if (gap_ || full_poll_needed_) {
        return last_poll_at_;
    }
    double const fraction =
        min_interval_fraction + (1 - min_interval_fraction) * random_fraction;
    return last_poll_at_ +
           std::chrono::duration_cast<duration>(max_interval_ * fraction);
}

} // namespace camphorpoint
