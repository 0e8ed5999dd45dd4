#include "Teams/usage_meter.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

namespace {

using seconds_real = std::chrono::duration<double>;

/// Largest request for which more than the burst may accrue, and how long one
/// that was denied is remembered.
constexpr double max_large_request = 10'000;
constexpr duration large_request_memory = std::chrono::minutes(1);
/// Accrued units that were not used are remembered for this many seconds.
constexpr double unused_seconds = 8;
/// Longest time that a denied request is told to wait.
constexpr std::chrono::hours max_retry_after{1};

} // namespace

usage_meter::usage_meter(usage_cap const& cap, instant since)
    : per_second_(cap.per_second)
    , burst_(cap.burst)
    , accrued_until_(since) {}

void usage_meter::set_fraction(double fraction, instant now) {
    accrue(now);
    fraction_ = fraction;
}

void usage_meter::set_cap(usage_cap const& cap, instant now) {
    if (cap.per_second != per_second_ || cap.burst != burst_) {
        accrue(now);
        per_second_ = cap.per_second;
        burst_ = cap.burst;
        available_ = std::min(available_, burst_);
        unused_ = 0;
    }
}

double usage_meter::capacity(instant now) const {
    double const large = now < largest_denied_until_ ? largest_denied_ : 0;
    constexpr double one_request = 1;
    return std::max({burst_, large, one_request});
}

void usage_meter::accrue(instant now) {
    double const elapsed = seconds_real(now - accrued_until_).count();
    if (elapsed > 0) {
        double const accrued = available_ + elapsed * per_second_ * fraction_;
        available_ = std::min(capacity(now), accrued);
        unused_ = std::min(
            unused_seconds * per_second_, unused_ + accrued - available_);
        accrued_until_ = now;
    }
}

usage_decision usage_meter::take(double units, instant now) {
    accrue(now);
    if (now < accrued_until_ || available_ < units) {
        bool const remembered = now < largest_denied_until_;
        largest_denied_ = std::max(
            remembered ? largest_denied_ : 0.0,
            std::min(units, max_large_request));
        largest_denied_until_ = now + large_request_memory;
        seconds_real const longest = max_retry_after;
        seconds_real const wait =
            units > capacity(now)
                ? longest
                : seconds_real(units - available_) / (per_second_ * fraction_);
        return {
            false, std::chrono::ceil<std::chrono::milliseconds>(
                       std::clamp(wait, seconds_real(0), longest))};
    }
    available_ -= units;
    return {true, duration::zero()};
}

void usage_meter::charge(double units, instant now) {
    accrue(now);
    double const from_unused = std::min(unused_, units);
    unused_ -= from_unused;
    available_ = std::max(available_ - (units - from_unused), -burst_);
}

void usage_meter::give_back(double units, instant now) {
    accrue(now);
    available_ = std::min(capacity(now), available_ + units);
}

} // namespace camphorpoint
