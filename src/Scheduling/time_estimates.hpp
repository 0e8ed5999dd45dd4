#pragma once

#include "Core/moving_average.hpp"
#include "Core/time.hpp"
#include "Scheduling/scheduler_settings.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace camphorpoint::internal {

/// How long things take on one replica: assumed at first, then measured.
class time_estimates {
public:
    explicit time_estimates(scheduler_settings const& settings)
        : token_(settings.token_time)
        , service_(settings.token_time * settings.answer_tokens)
        , load_(settings.load_time)
        , stall_(settings.load_time) {}

    /// A request ran this long and answered so many tokens.
    void record_service_time(duration took, std::uint32_t tokens) {
        service_ = move_average(service_, took);
        if (tokens > 0) {
            token_ = move_average(token_, took / tokens);
        }
    }
    /// A load's order took this long.
    void record_load_time(duration took) { load_ = move_average(load_, took); }
    /// An adapter's first request waited this long for it.
    void record_stall(duration waited, instant now) {
        stall_ = move_average(stall(now), waited);
        last_stall_ = now;
    }

    /// @param tokens expected; 0 when unknown
    /// @returns how long a request runs
    duration service(std::uint32_t tokens) const {
        return tokens == 0 ? service_ : token_ * tokens;
    }
    /// @returns how long a request of which nothing is known runs
    duration service() const { return service_; }
    /// @returns how long a load's order takes
    duration load() const { return load_; }
    /// @returns how long a request waits for a load, the store's queue
    /// included; a long wait of the past is forgotten by and by
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
