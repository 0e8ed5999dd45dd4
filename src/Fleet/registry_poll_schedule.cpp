#include "Fleet/registry_poll_schedule.hpp"

namespace camphorpoint {

void registry_poll_schedule::poll_completed(store_position next, instant now) {
    if (next.epoch < epoch_) {
        // The answer was on its way when the store went back.
        return;
    }
    next_ = next;
    epoch_ = next.epoch;
    known_ = true;
    gap_ = false;
    whole_ = false;
    since_ = now;
}

void registry_poll_schedule::enter_epoch(store_epoch epoch, instant at) {
    if (epoch > epoch_) {
        epoch_ = epoch;
        epoch_poll_at_ = at;
    }
}

registry_update_fit registry_poll_schedule::handle_update(
    store_position from, store_position to, instant now) {
    if (known_ && to.epoch > epoch_) {
        return registry_update_fit::later_epoch;
    }
    if (!known_ || outdated() || to.epoch != next_.epoch ||
        is_ahead(next_, to)) {
        return registry_update_fit::nothing_new;
    }
    if (is_ahead(from, next_)) {
        gap_ = true;
        return registry_update_fit::gap;
    }
    bool const fresh = is_ahead(to, next_);
    next_ = to;
    since_ = now;
    gap_ = false;
    return fresh ? registry_update_fit::applies
                 : registry_update_fit::nothing_new;
}

instant registry_poll_schedule::next_poll_time(double draw) const {
    if (outdated()) {
        return epoch_poll_at_;
    }
    if (gap_ || whole_) {
        return since_;
    }
    double const part = least_part + (1 - least_part) * draw;
    return since_ + std::chrono::duration_cast<duration>(longest_ * part);
}

} // namespace camphorpoint
