#include "Ownership/log_follower.hpp"

#include <algorithm>

namespace camphorpoint {

log_follower::verdict
log_follower::classify(log_batch const& batch) const noexcept {
    // A head before the position already applied comes from a lagging replica
    // of the log or from an answer that arrived out of order. Counting such an
    // answer as fresh would extend a holder's lease on the basis of an outdated
    // view of the log.
    if (batch.from > next_ || batch.head < next_) {
        return verdict::stale;
    }
    return batch.first > next_ ? verdict::trimmed : verdict::usable;
}

void log_follower::restart(log_offset first) noexcept {
    next_ = first;
    fresh_as_of_.reset();
}

void log_follower::on_record_applied(log_offset offset) noexcept {
    next_ = log_offset{offset.value + 1};
}

bool log_follower::on_batch_applied(log_batch const& batch) noexcept {
    reading_ = false;
    if (!batch.reaches_head()) {
        next_read_ = batch.read_started;
        return false;
    }
    // The start of the read counts, not the arrival of its answer: another node
    // may have appended a claim at any time after the log served the read.
    fresh_as_of_ =
        std::max(fresh_as_of_.value_or(instant{}), batch.read_started);
    next_read_ = batch.read_started + poll_;
    return true;
}

void log_follower::on_read_failed(instant now) noexcept {
    reading_ = false;
    next_read_ = now + poll_;
}

bool log_follower::begin_read(instant now) noexcept {
    if (reading_ || now < next_read_) {
        return false;
    }
    reading_ = true;
    return true;
}

} // namespace camphorpoint
