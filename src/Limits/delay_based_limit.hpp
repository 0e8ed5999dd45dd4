#pragma once

#include "Limits/concurrency_limiter.hpp"

#include <algorithm>
#include <cstdint>

namespace camphorpoint {

/// Settings of delay_based_limit.
struct delay_based_limit_settings {
    double least = 0.25;
    double most = 512.0;
    /// The limit before anything was measured.
    double assumed = 4.0;
    /// Samples in a window. Service times scatter, so single ones say little.
    std::uint32_t window = 30;
    /// A window's mean latency above this many times the best one's means that
    /// requests queue on the endpoint.
    double tolerance = 1.7;
    /// What is left of the limit after such a window.
    double backoff = 0.85;
    /// How fast the best mean is forgotten, for each window.
    double leak = 1.002;
};

/// Infers the limit of an endpoint whose capacity is not known, or shifts: up
/// by one for each window of samples that used the limit, down by a share for
/// each window whose mean latency shows queueing.
/// References: D. Chiu, R. Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance in computer networks", Computer Networks
/// and ISDN Systems 17(1), 1989; L. Brakmo, L. Peterson, "TCP Vegas", IEEE JSAC
/// 13(8), 1995, for latency as the signal.
class delay_based_limit {
public:
    explicit delay_based_limit(
        std::uint32_t capacity, delay_based_limit_settings const& settings = {})
        : settings_(settings)
        , estimate_(capacity == 0 ? settings.assumed : capacity) {}

    /// @returns requests at a time
    double limit() const noexcept { return estimate_; }
    void on_sample(limit_sample const& sample) {
        sum_ += static_cast<double>(sample.latency.count());
        most_in_flight_ = std::max(most_in_flight_, sample.in_flight);
        dropped_ = dropped_ || sample.dropped;
        if (++count_ >= settings_.window) {
            end_window();
        }
    }

private:
    void end_window() {
        double const mean = sum_ / count_;
        // Forgotten slowly: a best mean that follows an overload within
        // seconds would take the queueing for the endpoint's own speed, and
        // the limit would grow without end.
        best_ = best_ == 0.0 ? mean : std::min(best_ * settings_.leak, mean);
        if (dropped_ || mean > settings_.tolerance * best_) {
            estimate_ *= settings_.backoff;
        } else if (most_in_flight_ + 1.0 > estimate_) {
            estimate_ += std::min(1.0, estimate_ / 2.0);
        }
        estimate_ = std::clamp(estimate_, settings_.least, settings_.most);
        sum_ = 0.0;
        count_ = 0;
        most_in_flight_ = 0;
        dropped_ = false;
    }

    delay_based_limit_settings settings_;
    double estimate_;
    double best_ = 0.0;
    double sum_ = 0.0;
    std::uint32_t count_ = 0;
    std::uint32_t most_in_flight_ = 0;
    bool dropped_ = false;
};

static_assert(concurrency_limiter<delay_based_limit>);

} // namespace camphorpoint
