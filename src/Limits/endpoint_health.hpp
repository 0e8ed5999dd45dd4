#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace camphorpoint {

/// When an endpoint is skipped, and for how long.
struct health_settings {
    /// Consecutive failures after which the endpoint is skipped.
    std::uint32_t failure_threshold = 3;
    /// Time before the first probe; doubled after each failed probe.
    std::chrono::milliseconds initial_skip_time{500};
    /// Upper bound of the time before a probe.
    std::chrono::milliseconds max_skip_time{15'000};
};

/// Circuit breaker of one endpoint: an endpoint that fails repeatedly is
/// skipped, and one request at a time probes it. Guards against a dead endpoint
/// that answers quickly with errors and therefore attracts most of the load;
/// the symptom is a high fraction of failed requests while other endpoints are
/// idle.
/// Reference: M. Nygard, "Release It!", 2nd edition, 2018, on circuit breakers.
class endpoint_health {
public:
    /// @returns true when a request may be sent to the endpoint
    bool usable(health_settings const& settings, instant now) const noexcept {
        if (consecutive_failures_ < settings.failure_threshold) {
            return true;
        }
        return now >= skip_until_ && !probing_;
    }
    /// @returns true while the endpoint is skipped or only probed
    bool suspect(health_settings const& settings) const noexcept {
        return consecutive_failures_ >= settings.failure_threshold;
    }
    /// Records that a request is sent. To a suspect endpoint it is the probe.
    void on_dispatch(health_settings const& settings) noexcept {
        probing_ = suspect(settings);
    }
    /// Records that the endpoint answered.
    void on_success() noexcept {
        consecutive_failures_ = 0;
        skip_doublings_ = 0;
        probing_ = false;
    }
    /// Records that the endpoint could not be reached or failed.
    /// @param random source of the jitter in the time before the next probe
    void on_failure(
        health_settings const& settings, instant now, std::mt19937_64& random) {
        bool const skipped =
            suspect(settings) && !probing_ && now < skip_until_;
        probing_ = false;
        if (skipped) {
            // Requests that were in flight report the same failure.
            return;
        }
        ++consecutive_failures_;
        if (suspect(settings)) {
            skip_until_ = now + skip_time(settings, random);
            skip_doublings_ = std::min(skip_doublings_ + 1, max_doublings);
        }
    }
    /// Records a request whose outcome does not show the endpoint's health,
    /// such as a cancelled one.
    void on_inconclusive() noexcept { probing_ = false; }
    /// @returns when the next probe may be sent
    instant skip_until() const noexcept { return skip_until_; }

private:
    static constexpr std::uint32_t max_doublings = 16;

    duration
    skip_time(health_settings const& settings, std::mt19937_64& random) const {
        auto const nominal = std::min<std::chrono::milliseconds>(
            settings.max_skip_time,
            settings.initial_skip_time * (1U << skip_doublings_));
        duration const max_time = nominal;
        // Jitter between half and all of it, so that nodes do not probe at the
        // same time.
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
