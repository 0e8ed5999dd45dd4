#include "Fleet/registry_outage_tracker.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace camphorpoint {

namespace {

/// Within this time after a store outage, the replicas have written their
/// expired registry entries again.
constexpr duration settling_time = std::chrono::milliseconds(2'300);

} // namespace

registry_outage_tracker::registry_outage_tracker(duration heartbeat) noexcept
    : min_outage_(min_outage_of(heartbeat)) {}

void registry_outage_tracker::note_answer(instant now) {
    // How long the store was unreachable before this node's first answer is
    // unknown; a failed poll shows that it was.
    bool const outage = last_answer_ ? now - *last_answer_ >= min_outage_
                                     : failed_before_first_answer_;
    if (outage) {
        std::erase_if(unsettled_, [now](suspected_outage const& each) {
            return now >= each.settled_from;
        });
        unsettled_.push_back({last_answer_, now + settling_time});
    }
    if (outage || !last_answer_) {
        answered_since_ = now;
    }
    last_answer_ = now;
}

// Guards against a removed replica that gets requests because this node keeps
// its entry after an outage that was none: a large answer has filled the node's
// link, so that neither answers of the store nor messages of peers arrived.
bool registry_outage_tracker::note_answered_at_peer(
    duration answered_for, instant now) {
    instant const since = now - answered_for;
    std::size_t const refuted =
        std::erase_if(unsettled_, [=](suspected_outage const& each) {
            return each.began && now < each.settled_from &&
                   since <= *each.began;
        });
    if (refuted > 0) {
        answered_since_ = std::min(answered_since_, since);
    }
    return refuted > 0;
}

duration registry_outage_tracker::answered_for(instant now) const noexcept {
    bool const current = last_answer_ && now - *last_answer_ < min_outage_;
    return current ? now - answered_since_ : duration::zero();
}

void registry_outage_tracker::note_failure() noexcept {
    failed_before_first_answer_ = failed_before_first_answer_ || !last_answer_;
}

void registry_outage_tracker::note_rollback(instant now) {
    unsettled_ = {{std::nullopt, now + settling_time}};
    answered_since_ = now;
}

instant registry_outage_tracker::settled_from() const noexcept {
    return unsettled_.empty() ? instant() : unsettled_.back().settled_from;
}

bool registry_outage_tracker::may_have_expired(instant now) const noexcept {
    return !last_answer_ || now - *last_answer_ >= min_outage_ ||
           now < settled_from();
}

} // namespace camphorpoint
