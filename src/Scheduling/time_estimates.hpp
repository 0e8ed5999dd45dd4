#pragma once

#include "Core/moving_average.hpp"
#include "Core/time.hpp"
#include "Scheduling/scheduler_settings.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace camphorpoint::internal {

/// Estimated durations on one replica: initial values from the settings, then
/// moving averages of measurements.
class time_estimates {
public:
    explicit time_estimates(scheduler_settings const& settings)
        : token_(settings.token_time)
        , service_(settings.token_time * settings.answer_tokens)
        , load_(settings.load_time)
        , stall_(settings.load_time) {}

    /// Records the running time of a request and the number of tokens in its
    /// answer.
    void record_service_time(duration took, std::uint32_t tokens) {
        service_ = move_average(service_, took);
        if (tokens > 0) {
            token_ = move_average(token_, took / tokens);
        }
    }
    /// Records the time from a load command to its result.
    void record_load_time(duration took) { load_ = move_average(load_, took); }
    /// Records how long the first request for an adapter waited until the
    /// adapter was resident.
    void record_stall(duration waited, instant now) {
        stall_ = move_average(stall(now), waited);
        last_stall_ = now;
    }

    /// @param tokens expected number of tokens; 0 if unknown
    /// @returns the expected running time of a request
    duration service(std::uint32_t tokens) const {
        return tokens == 0 ? service_ : token_ * tokens;
    }
    /// @returns the expected running time of a request of unknown size
    duration service() const { return service_; }
    /// @returns the expected time from a load command to its result
    duration load() const { return load_; }
    /// @returns how long a request is expected to wait for a load, including
    ///   the wait for the weight store's permission; the influence of long
    ///   waits in the past decays exponentially
    duration stall(instant now) const {
        constexpr std::chrono::seconds half_life{5};
        double const passed =
            std::chrono::duration<double>(now - last_stall_) / half_life;
        double const remaining_fraction = std::exp2(-std::max(0.0, passed));
        duration const excess = std::max(duration{}, stall_ - load_);
        double const remaining_excess =
            remaining_fraction * static_cast<double>(excess.count());
        return load_ + duration(static_cast<duration::rep>(remaining_excess));
    }

private:
    duration token_;
    duration service_;
    duration load_;
    duration stall_;
    instant last_stall_;
};

} // namespace camphorpoint::internal
