#pragma once

#include "Limits/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

/// Settings of aimd_limit.
struct aimd_settings {
    double least = 1.0;
    double most = 512.0;
    double assumed = 8.0;
    /// Latency above this many times the long-run mean counts as overload.
    double tolerance = 2.0;
    double backoff = 0.9;
};

/// Grows by one for each limit's worth of good answers, and shrinks by a share
/// on overload, at most once for each limit's worth.
/// Reference: D. Chiu, R. Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance in computer networks", Computer Networks
/// and ISDN Systems 17(1), 1989.
class aimd_limit {
public:
    explicit aimd_limit(
        std::uint32_t capacity, aimd_settings const& settings = {})
        : settings_(settings)
        , estimate_(capacity == 0 ? settings.assumed : capacity) {}

    /// @returns requests at a time
    std::uint32_t limit() const noexcept {
        return static_cast<std::uint32_t>(estimate_);
    }
    void on_sample(limit_sample const& sample) {
        double const latency = static_cast<double>(sample.latency.count());
        ++since_cut_;
        constexpr double fast_weight = 0.1;
        constexpr double slow_weight = 0.002;
        if (fast_ == 0.0) {
            fast_ = latency;
            slow_ = latency;
        }
        fast_ += (latency - fast_) * fast_weight;
        slow_ += (std::min(latency, 4.0 * slow_) - slow_) * slow_weight;
        bool const over = sample.dropped || fast_ > settings_.tolerance * slow_;
        if (over && since_cut_ > estimate_) {
            estimate_ *= settings_.backoff;
            since_cut_ = 0.0;
        } else if (!over && 2.0 * sample.in_flight >= estimate_) {
            estimate_ += 1.0 / estimate_;
        }
        estimate_ = std::clamp(estimate_, settings_.least, settings_.most);
    }

private:
    aimd_settings settings_;
    double estimate_;
    double fast_ = 0.0;
    double slow_ = 0.0;
    double since_cut_ = 0.0;
};

static_assert(concurrency_limiter<aimd_limit>);

} // namespace camphorpoint
