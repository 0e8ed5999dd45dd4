#pragma once

#include "Core/time.hpp"
#include "common/rate_limiter.hpp"

#include <chrono>
#include <cstdint>

namespace standins {

/// How fast the weight store hands out weights.
struct fetch_settings {
    double per_second = 5;
    /// So many fetches at once run at full speed; more share that speed.
    std::uint32_t full_speed = 2;
    std::chrono::milliseconds time{300};
};

/// Works out how long each fetch takes.
class fetch_pace {
public:
    explicit fetch_pace(fetch_settings const& settings)
        : settings_(settings)
        , rate_(settings.per_second) {}

    /// A fetch begins; the time it takes depends on how many run with it.
    /// @param factor slows it down, 1 for none
    /// @returns how long it takes
    camphorpoint::duration begin(camphorpoint::instant now, double factor);
    /// A fetch has ended.
    void end() noexcept { --active_; }
    /// @returns how many fetches run
    std::uint32_t active() const noexcept { return active_; }

private:
    fetch_settings settings_;
    rate_limiter rate_;
    std::uint32_t active_ = 0;
};

} // namespace standins
