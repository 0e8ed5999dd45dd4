#pragma once

#include "Core/time.hpp"

namespace standins {

/// Allows so many actions a second, with a burst of a tenth of a second.
/// Source: the token bucket of network traffic shaping.
class rate_limiter {
public:
    /// @param per_second 0 allows everything
    explicit rate_limiter(double per_second)
        : per_second_(per_second) {}

    /// @returns true when an action is allowed now, and counts it
    bool take(camphorpoint::instant now);
    /// Reserves the next action, however late.
    /// @returns how long to wait before it
    camphorpoint::duration reserve(camphorpoint::instant now);

private:
    double per_second_;
    // When the bucket will next be full; earlier than now when it is full.
    camphorpoint::instant full_at_{};
};

} // namespace standins
