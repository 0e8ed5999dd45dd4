#include "common/rate_limiter.hpp"

#include <algorithm>
#include <chrono>

namespace standins {

namespace {

constexpr camphorpoint::duration burst = std::chrono::milliseconds(100);

camphorpoint::duration gap_of(double per_second) {
    return std::chrono::duration_cast<camphorpoint::duration>(
        std::chrono::duration<double>(1.0 / per_second));
}

} // namespace

bool rate_limiter::take(camphorpoint::instant now) {
    if (per_second_ <= 0) {
        return true;
    }
    camphorpoint::instant const base = std::max(full_at_, now);
    if (base - now > burst) {
        return false;
    }
    full_at_ = base + gap_of(per_second_);
    return true;
}

camphorpoint::duration rate_limiter::reserve(camphorpoint::instant now) {
    if (per_second_ <= 0) {
        return {};
    }
    camphorpoint::instant const base = std::max(full_at_, now);
    full_at_ = base + gap_of(per_second_);
    return base - now;
}

} // namespace standins
