#pragma once

#include "Limits/concurrency_limiter.hpp"

#include <algorithm>
#include <cstdint>

namespace camphorpoint {

/// Settings of delay_based_limit.
struct delay_based_limit_settings {
    /// Smallest limit, in concurrent requests. Below 1, several endpoints share
    /// one request at a time.
    double min_limit = 0.25;
    /// Largest limit, in concurrent requests.
    double max_limit = 512.0;
    /// Initial limit for an endpoint of unknown capacity, in concurrent
    /// requests.
    double initial_limit = 4.0;
    /// Samples per window. Single service times vary too widely to decide by.
    std::uint32_t window_samples = 30;
    /// Requests are taken to queue on the endpoint when the mean latency of a
    /// window exceeds the baseline latency by this factor.
    double latency_tolerance = 1.7;
    /// The limit is multiplied by this factor after such a window.
    double decrease_factor = 0.85;
    /// Factor by which the baseline latency rises with each window, so that it
    /// follows an endpoint that has become slower.
    double baseline_drift = 1.002;
};

/// Infers the concurrency limit of an endpoint whose capacity is unknown or
/// changes. The limit rises by one, or by half its value if that is less, after
/// a window of samples in which it was fully used. It falls by a factor after a
/// window in which a request was dropped or the mean latency shows queueing.
/// References: D. Chiu, R. Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance in computer networks", Computer Networks
/// and ISDN Systems 17(1), 1989; L. Brakmo, L. Peterson, "TCP Vegas", IEEE JSAC
/// 13(8), 1995, for latency as the signal.
class delay_based_limit {
public:
    explicit delay_based_limit(
        std::uint32_t capacity, delay_based_limit_settings const& settings = {})
        : settings_(settings)
        , limit_(capacity == 0 ? settings.initial_limit : capacity) {}

    /// @returns the number of concurrent requests
    double limit() const noexcept { return limit_; }
    void on_sample(limit_sample const& sample) {
        latency_sum_ += static_cast<double>(sample.latency.count());
        max_in_flight_ = std::max(max_in_flight_, sample.in_flight);
        dropped_ = dropped_ || sample.dropped;
        if (++sample_count_ >= settings_.window_samples) {
            end_window();
        }
    }

private:
    void end_window() {
        double const mean_latency = latency_sum_ / sample_count_;
        // The baseline rises slowly: if it followed an overload within seconds,
        // it would take the queueing delay for the endpoint's own latency, and
        // the limit would grow without bound.
        baseline_latency_ =
            baseline_latency_ == 0.0
                ? mean_latency
                : std::min(
                      baseline_latency_ * settings_.baseline_drift,
                      mean_latency);
        if (dropped_ ||
            mean_latency > settings_.latency_tolerance * baseline_latency_) {
            limit_ *= settings_.decrease_factor;
        } else if (max_in_flight_ + 1.0 > limit_) {
            limit_ += std::min(1.0, limit_ / 2.0);
        }
        limit_ = std::clamp(limit_, settings_.min_limit, settings_.max_limit);
        latency_sum_ = 0.0;
        sample_count_ = 0;
        max_in_flight_ = 0;
        dropped_ = false;
    }

    delay_based_limit_settings settings_;
    double limit_;
    double baseline_latency_ = 0.0;
    double latency_sum_ = 0.0;
    std::uint32_t sample_count_ = 0;
    std::uint32_t max_in_flight_ = 0;
    bool dropped_ = false;
};

static_assert(concurrency_limiter<delay_based_limit>);

} // namespace camphorpoint
