#include "Limits/rate_schedule.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

namespace {

/// Permits that may fall due at once after an idle period.
constexpr int burst = 2;
/// Rate for a replica that names a lower one, also zero. Only answers to
/// requests show that the limit is lifted.
constexpr double min_rate = 0.4;

} // namespace

rate_schedule::rate_schedule(double per_second, instant now)
    : per_second_(std::max(per_second, min_rate))
    , drained_at_(now + burst * interval()) {}

duration rate_schedule::interval() const {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / per_second_));
}

void rate_schedule::set_rate(double per_second, instant now) {
    double const rate = std::max(per_second, min_rate);
    if (drained_at_ > now) {
        std::chrono::duration<double> const backlog = drained_at_ - now;
        drained_at_ = now + std::chrono::duration_cast<duration>(
                                backlog * (per_second_ / rate));
    }
    per_second_ = rate;
}

rate_permit rate_schedule::reserve(duration budget, instant now) {
    instant const due = std::max(now, drained_at_ - burst * interval());
    if (due - now > budget) {
        return {false, due - now};
    }
    drained_at_ = std::max(drained_at_, now) + interval();
    return {true, due - now};
}

} // namespace camphorpoint
