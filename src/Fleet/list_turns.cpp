#include "Fleet/list_turns.hpp"

namespace camphorpoint {

void list_turns::was_read(store_position next, instant now) {
    if (next.epoch < era_) {
        // The answer was on its way when the store went back.
        return;
    }
    next_ = next;
    era_ = next.epoch;
    known_ = true;
    gap_ = false;
    whole_ = false;
    since_ = now;
}

void list_turns::new_era(store_epoch epoch, instant at) {
    if (epoch > era_) {
        era_ = epoch;
        era_read_at_ = at;
    }
}

list_word
list_turns::heard(store_position from, store_position to, instant now) {
    if (known_ && to.epoch > era_) {
        return list_word::later_era;
    }
    if (!known_ || outdated() || to.epoch != next_.epoch ||
        is_ahead(next_, to)) {
        return list_word::old;
    }
    if (is_ahead(from, next_)) {
        gap_ = true;
        return list_word::gap;
    }
    bool const fresh = is_ahead(to, next_);
    next_ = to;
    since_ = now;
    gap_ = false;
    return fresh ? list_word::applies : list_word::old;
}

instant list_turns::due(double draw) const {
    if (outdated()) {
        return era_read_at_;
    }
    if (gap_ || whole_) {
        return since_;
    }
    double const part = least_part + (1 - least_part) * draw;
    return since_ + std::chrono::duration_cast<duration>(longest_ * part);
}

} // namespace camphorpoint
