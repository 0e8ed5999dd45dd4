#include "Teams/usage_history.hpp"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace camphorpoint {

namespace {

/// Part of its past rate at which a node continues.
constexpr double continued_part = 0.95;
/// The same when the team had reached its cap. The counting node may be in
/// contact with others and grant them the whole cap, until it notices that this
/// node is missing.
constexpr double continued_part_at_cap = 0.3;
/// A team counts as having reached its cap for this long after a denial.
constexpr duration denial_memory = std::chrono::seconds(4);
/// Interval between two questions to a node that does not answer.
constexpr duration ask_interval = std::chrono::milliseconds(150);
/// Past rates are accrued for this long at most.
constexpr double max_accrual_seconds = 8;

std::int64_t second_of(instant now) {
    return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
        .count();
}

} // namespace

std::int64_t usage_history::advance(instant now) {
    std::int64_t const step = second_of(now);
    std::int64_t const count = step_count;
    std::int64_t const first = std::max(newest_step_ + 1, step - count + 1);
    for (std::int64_t each = first; each <= step; ++each) {
        granted_[static_cast<std::size_t>(each % count)] = 0;
    }
    newest_step_ = std::max(newest_step_, step);
    return newest_step_;
}

void usage_history::add_granted(double units, instant now) {
    std::int64_t const step = advance(now);
    granted_[static_cast<std::size_t>(
        step % static_cast<std::int64_t>(step_count))] += units;
    last_units_ = units;
}

void usage_history::mark_denied(instant now) {
    denied_at_ = now;
}

void usage_history::mark_answered(double reported, instant now) {
    unanswered_ = false;
    unreported_ = std::max(0.0, unreported_ - reported);
    answered_at_ = now;
}

void usage_history::mark_unanswered(double random_sample, instant now) {
    // Requests that were decided without a question do not put off the next
    // one: a busy node would never ask again otherwise.
    if (!presumed_unreachable(now)) {
        last_unanswered_ = now;
    }
    if (unanswered_) {
        return;
    }
    unanswered_ = true;
    advance(std::max(answered_at_, now - std::chrono::seconds(1)));
    double const sum = std::accumulate(granted_.begin(), granted_.end(), 0.0);
    bool const at_cap =
        denied_at_ != instant{} && now < denied_at_ + denial_memory;
    rate_ = (at_cap ? continued_part_at_cap : continued_part) * sum /
            static_cast<double>(step_count);
    available_ = -random_sample * last_units_;
    accrued_until_ = std::max(answered_at_, now - std::chrono::seconds(1));
}

bool usage_history::presumed_unreachable(instant now) const {
    return unanswered_ && now < last_unanswered_ + ask_interval;
}

bool usage_history::take_unconfirmed(double units, instant now) {
    std::chrono::duration<double> const elapsed = now - accrued_until_;
    available_ = std::min(
        rate_ * max_accrual_seconds, available_ + elapsed.count() * rate_);
    accrued_until_ = now;
    // A request may exceed what has accrued: a small past rate would never
    // suffice for a whole one otherwise.
    if (available_ <= 0) {
        return false;
    }
    available_ -= units;
    unreported_ += units;
    return true;
}

} // namespace camphorpoint
