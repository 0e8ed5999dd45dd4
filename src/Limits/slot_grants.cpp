#include "Limits/slot_grants.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;

/// The replica counts its rejections over this time.
constexpr duration rejection_window = std::chrono::seconds(1);
/// A grant counts for this long unless its request is reported: a lost report
/// is repeated within it.
constexpr duration unreported_grant_lifetime = milliseconds(250);
/// Interval at which the room of a new controller grows.
constexpr duration initial_growth_interval = milliseconds(100);
/// After a rejection the room grows so slowly that a room that is too large by
/// one slot costs a quarter of the rejections that the replica bears.
constexpr unsigned growth_divisor = 4;
constexpr duration max_growth_interval = std::chrono::seconds(4);
/// How long the room is taken for uncertain after a rejection, and at a replica
/// that is new: the one before may have fallen over for want of room.
constexpr duration caution_time = std::chrono::seconds(10);
constexpr duration initial_caution_time = std::chrono::seconds(3);
/// A replica that bears fewer rejections falls over by the first requests that
/// find its room smaller than counted, unless few are on their way.
constexpr unsigned always_cautious_below = 3;
/// Time that a replica takes to reject a request, beside the ways.
constexpr duration rejection_delay = milliseconds(2);
constexpr duration min_growth_interval = milliseconds(200);
/// Bounds and weight of the measured time between two completed requests.
constexpr duration min_release_interval = milliseconds(1);
constexpr duration max_release_interval = milliseconds(500);
constexpr int release_weight = 8;

} // namespace

slot_grants::slot_grants(
    unsigned slots, unsigned max_rejections, bool counted, instant now)
    : slots_(std::max(1U, slots))
    , max_rejections_(max_rejections)
    , room_(counted ? slots_ : (slots_ + 1) / 2)
    , grow_at_(now + initial_growth_interval)
    , cautious_until_(now + initial_caution_time)
    , release_interval_(milliseconds(10))
    , released_at_(now)
    , queue_end_(now) {}

duration slot_grants::growth_interval() const {
    if (never_rejected_) {
        return initial_growth_interval;
    }
    return std::clamp(
        growth_divisor * rejection_window / std::max(1U, max_rejections_),
        min_growth_interval, max_growth_interval);
}

void slot_grants::grow(instant now) {
    while (room_ < slots_ && now >= grow_at_) {
        ++room_;
        grow_at_ += growth_interval();
    }
}

std::size_t slot_grants::bearable_rejections() const {
    return std::max(1U, max_rejections_ / 2);
}

bool slot_grants::too_many_unproven() const {
    return pending_.size() + proven_at_.size() >= bearable_rejections();
}

duration slot_grants::pause(instant now) const {
    std::size_t const bearable = bearable_rejections();
    if (rejections_.size() < bearable) {
        return duration::zero();
    }
    rejection const& oldest = rejections_[rejections_.size() - bearable];
    return oldest.at + rejection_window - now;
}

void slot_grants::drop_expired(instant now) {
    while (!pending_.empty() &&
           now >= pending_.front().granted_at + unreported_grant_lifetime) {
        pending_.pop_front();
    }
    std::erase_if(proven_at_, [&](instant each) { return now >= each; });
    while (!rejections_.empty() &&
           now >= rejections_.front().at + rejection_window) {
        rejections_.pop_front();
    }
}

rate_permit slot_grants::request(
    slot_question question, unsigned running, duration budget, instant now) {
    drop_expired(now);
    grow(now);
    bool const repeated =
        std::ranges::any_of(pending_, [&](pending_grant const& each) {
            return each.question == question;
        });
    if (repeated) {
        return {true, duration::zero()};
    }
    duration const paused = pause(now);
    if (paused > duration::zero()) {
        return {false, paused};
    }
    bool const cautious =
        now < cautious_until_ || max_rejections_ < always_cautious_below;
    bool const has_room = running + pending_.size() < room_;
    if (has_room && !(cautious && too_many_unproven())) {
        pending_.push_back({question, now});
        return {true, duration::zero()};
    }
    // Requests that wait for a slot come back one after the other, so that they
    // do not all ask at the same time.
    instant const free_at = std::max(now, queue_end_) + release_interval_;
    if (free_at - now <= budget) {
        queue_end_ = free_at;
    }
    return {false, free_at - now};
}

void slot_grants::on_report(
    std::uint64_t node, unsigned before, unsigned after, instant now) {
    unsigned begun = after > before ? after - before : 0;
    std::erase_if(pending_, [&](pending_grant const& each) {
        if (each.question.node != node) {
            return false;
        }
        // The node has used or dropped an older grant before this report.
        bool const settled = now >= each.granted_at + max_grant_age;
        bool const is_begun = !settled && begun > 0;
        if (is_begun) {
            --begun;
            // The report came by one way to the node and back, as a rejection
            // would, which takes the way to the replica besides.
            duration const ways = now - each.granted_at;
            proven_at_.push_back(now + 2 * ways + rejection_delay);
        }
        return settled || is_begun;
    });
    if (before > after) {
        unsigned const ended = before - after;
        duration const interval = std::clamp(
            (now - released_at_) / ended, min_release_interval,
            max_release_interval);
        release_interval_ += (interval - release_interval_) / release_weight;
        released_at_ = now;
    }
}

bool slot_grants::on_rejection(
    slot_question question, unsigned running, instant now) {
    drop_expired(now);
    bool const known =
        std::ranges::any_of(rejections_, [&](rejection const& each) {
            return each.question == question;
        });
    if (known) {
        return false;
    }
    rejections_.push_back({question, now});
    // The rejected request is still counted.
    auto const used = static_cast<unsigned>(running + pending_.size());
    room_ = std::max(1U, std::min(room_, std::max(used, 1U) - 1));
    never_rejected_ = false;
    cautious_until_ = now + caution_time;
    grow_at_ = now + growth_interval();
    return true;
}

} // namespace camphorpoint
