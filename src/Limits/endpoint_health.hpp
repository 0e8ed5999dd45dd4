#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace camphorpoint {

/// When an endpoint is skipped.
struct health_settings {
    /// Failures in a row after which it is skipped.
    std::uint32_t failure_threshold = 3;
    std::chrono::milliseconds initial_skip_time{500};
    std::chrono::milliseconds max_skip_time{15'000};
};

/// Skips an endpoint that fails again and again, and lets one request at a time
/// probe it. Guards against a dead endpoint that answers fast with errors and
/// so draws most of the work: it shows as a high share of failures while the
/// others idle.
/// Reference: M. Nygard, "Release It!", 2nd edition, 2018, on circuit breakers.
class endpoint_health {
public:
    /// @returns true when a request may be sent
    bool usable(health_settings const& settings, instant now) const noexcept {
        if (consecutive_failures_ < settings.failure_threshold) {
            return true;
        }
        return now >= skip_until_ && !probing_;
    }
    /// @returns true while it is skipped or only probed
    bool suspect(health_settings const& settings) const noexcept {
        return consecutive_failures_ >= settings.failure_threshold;
    }
    /// A request goes out; to a suspect endpoint it is the probe.
    void on_dispatch(health_settings const& settings) noexcept {
        probing_ = suspect(settings);
    }
    /// The endpoint answered.
    void on_success() noexcept {
        consecutive_failures_ = 0;
        skip_doublings_ = 0;
        probing_ = false;
    }
    /// The endpoint was not reached, or failed.
    void on_failure(
        health_settings const& settings, instant now, std::mt19937_64& random) {
        ++consecutive_failures_;
        probing_ = false;
        if (suspect(settings)) {
            skip_until_ = now + skip_time(settings, random);
            skip_doublings_ = std::min(skip_doublings_ + 1, max_doublings);
        }
    }
    /// A request ended that says nothing of the endpoint, such as a
    /// cancelled one.
    void on_inconclusive() noexcept { probing_ = false; }
    /// @returns when the next probe may go out
    instant skip_until() const noexcept { return skip_until_; }

private:
    static constexpr std::uint32_t max_doublings = 16;

    duration
    skip_time(health_settings const& settings, std::mt19937_64& random) const {
        auto const nominal = std::min<std::chrono::milliseconds>(
            settings.max_skip_time,
            settings.initial_skip_time * (1U << skip_doublings_));
        duration const max_time = nominal;
        // From half to the whole, so that nodes do not probe in step.
        std::uniform_int_distribution<std::int64_t> distribution(
            max_time.count() / 2, max_time.count());
        return duration(distribution(random));
    }

    std::uint32_t consecutive_failures_ = 0;
    std::uint32_t skip_doublings_ = 0;
    bool probing_ = false;
    instant skip_until_;
};

} // namespace camphorpoint
