#pragma once

#include "Limits/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>

namespace camphorpoint {

/// Settings of gradient_limit, with the defaults of the text it is taken from.
struct gradient_settings {
    double least = 4.0;
    double most = 512.0;
    double smoothing = 0.2;
    double tolerance = 2.0;
    std::size_t window = 100;
};

/// Infers the limit from how far latency is above its recent best.
/// Reference: throttlekit, "Adaptive concurrency", law "gradient2", after
/// Netflix's concurrency-limits.
class gradient_limit {
public:
    explicit gradient_limit(
        std::uint32_t capacity, gradient_settings const& settings = {})
        : settings_(settings)
        , estimate_(capacity == 0 ? settings.least : capacity) {}

    /// @returns requests at a time
    std::uint32_t limit() const noexcept {
        return static_cast<std::uint32_t>(estimate_);
    }
    void on_sample(limit_sample const& sample) {
        double const latency = static_cast<double>(sample.latency.count());
        if (!sample.dropped) {
            recent_.push_back(latency);
            if (recent_.size() > settings_.window) {
                recent_.pop_front();
            }
        }
        if (recent_.empty()) {
            return;
        }
        double const best = *std::ranges::min_element(recent_);
        double const ratio = settings_.tolerance * best / latency;
        double const gradient =
            sample.dropped ? 0.5 : std::clamp(ratio, 0.5, 1.0);
        double const next = estimate_ * gradient + std::sqrt(estimate_);
        estimate_ += (next - estimate_) * settings_.smoothing;
        estimate_ = std::clamp(estimate_, settings_.least, settings_.most);
    }

private:
    gradient_settings settings_;
    double estimate_;
    std::deque<double> recent_;
};

static_assert(concurrency_limiter<gradient_limit>);

} // namespace camphorpoint
