#include "Routing/declaration_plan.hpp"

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

declaration_plan::declaration_plan(declaration_times times, double draw)
    : times_(times)
    , draw_(draw) {}

instant declaration_plan::check_due(unsigned nodes) const {
    if (read_whole_ < doubted_until_) {
        return read_whole_ + times_.doubt_check;
    }
    // Between half and one and a half of the pause, so that nodes which began
    // together do not read together.
    double const part = 0.5 + draw_;
    return read_whole_ +
           std::chrono::duration_cast<duration>(times_.check * nodes * part);
}

bool declaration_plan::misses_something() const noexcept {
    return !is_ahead(told_place_, place_) && told_total_ > known_ &&
           told_total_ > looked_for_;
}

bool declaration_plan::behind() const noexcept {
    return outdated() || is_ahead(told_place_, place_) || misses_something() ||
           wait_distrusted_;
}

declaration_reading declaration_plan::next(instant now, unsigned nodes) const {
    declaration_reading reading;
    reading.whole =
        whole_ || outdated() || misses_something() || now >= check_due(nodes);
    reading.from = place_;
    // What others have read already is there: nothing to wait for.
    reading.waits = !reading.whole && !is_ahead(told_place_, place_);
    reading.silence =
        doubled(times_.silence, failures_, times_.longest_silence);
    if (outdated() && now < era_read_at_) {
        reading.pause = std::chrono::ceil<milliseconds>(era_read_at_ - now);
    } else if (failures_ > 0) {
        reading.pause =
            doubled(times_.retry, failures_ - 1, times_.longest_retry);
    } else if (forgettings_ > 1) {
        // What was read whole was older than the history that is left.
        reading.pause = times_.retry;
    } else if (empty_) {
        reading.pause = times_.first_pause;
    }
    return reading;
}

void declaration_plan::answered(
    declaration_reading const& asked, store_position place, instant now) {
    failures_ = 0;
    wait_distrusted_ = false;
    bool const of_place = asked.whole || place.epoch == asked.from.epoch;
    if (place.epoch < era_ || !of_place) {
        // The store has gone back meanwhile: it says nothing of what is there.
        era_ = std::max(era_, place.epoch);
        return;
    }
    era_ = place.epoch;
    // A store that does not name its era may have lost the place too.
    bool const gone_back = asked.whole && forgettings_ > 0;
    place_ = gone_back ? place : max_position(place_, place);
    empty_ = !configured_;
    if (asked.whole) {
        whole_ = !configured_;
        read_whole_ = now;
        looked_for_ = told_total_;
    } else {
        forgettings_ = 0;
    }
    if (!asked.waits) {
        // The store has nothing beyond: the word was of something else.
        told_place_ = place_;
    }
}

void declaration_plan::failed() {
    ++failures_;
}

void declaration_plan::forgotten(instant now) {
    failures_ = 0;
    ++forgettings_;
    whole_ = true;
    doubted_until_ = now + times_.doubt;
}

void declaration_plan::new_era(store_epoch epoch, instant at) noexcept {
    if (epoch > era_) {
        era_ = epoch;
        era_read_at_ = at;
    }
}

void declaration_plan::heard(
    store_position place, std::uint64_t total) noexcept {
    told_place_ = max_position(told_place_, place);
    told_total_ = std::max(told_total_, total);
}

void declaration_plan::interrupted() noexcept {
    wait_distrusted_ = false;
}

} // namespace camphorpoint
