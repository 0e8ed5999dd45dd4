#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// Limits how many adapter loads a node has in progress and estimates how long
/// loads take.
/// All replicas share the network path from the adapter store. Beyond some
/// number of concurrent loads each load takes proportionally longer, so further
/// concurrency gains nothing and delays the loads that started first. That
/// number is unknown, and other nodes load adapters too, so the limit is
/// inferred from load durations: a load that takes clearly longer than the
/// shortest observed ones shrinks the window, other loads widen it (additive
/// increase, multiplicative decrease).
/// Reference: D. Chiu, R. Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance", Computer Networks 17(1), 1989.
class load_limiter {
public:
    /// Records that a load from the adapter store has started.
    void on_load_started() { ++active_loads_; }
    /// Records that a load from the adapter store has ended, successfully or
    /// not.
    void on_load_finished() { active_loads_ -= std::min(active_loads_, 1U); }
    /// @returns true when one more load from the store may start now
    bool can_start() const { return active_loads_ < window_size(); }

    /// Records the duration of a completed load from the adapter store and
    /// adjusts the window.
    void record_load(duration time) {
        if (shortest_ == duration::zero()) {
            shortest_ = time;
            typical_ = time;
        }
        shortest_ = std::min(time, shortest_ + shortest_ / shortest_decay);
        typical_ +=
            (std::min(time, shortest_ * max_outlier_factor) - typical_) /
            averaging_weight;
        typical_ = std::min(typical_, shortest_ * max_outlier_factor);
        bool const congested = time * 4 > shortest_ * 5;
        if (congested) {
            window_ = std::max(1.0, window_ * decrease_factor);
        } else if (active_loads_ + 1 >= window_size()) {
            window_ += 1 / window_;
        }
    }
    /// Records the duration of a completed load of an adapter that the replica
    /// had cached.
    void record_cached_load(duration time) {
        cached_ +=
            (std::min(time, typical_duration()) - cached_) / averaging_weight;
    }

    /// Sets the number of replicas that this node controls. They share the
    /// window.
    void set_replicas(std::size_t count) {
        replicas_ = std::max<std::size_t>(1, count);
    }
    /// @returns the mean number of concurrent loads per replica while every
    ///          replica has loads to perform
    double loads_per_replica() const {
        return window_ / static_cast<double>(replicas_);
    }
    /// @returns the delay after which to check for the first time whether a
    ///          load from the store has completed; slightly less than the
    ///          shortest observed load
    duration first_check_delay() const {
        return shortest_ == duration::zero() ? initial_estimate
                                             : shortest_ - shortest_ / 20;
    }
    /// @returns the current average duration of a load from the store
    duration typical_duration() const {
        return shortest_ == duration::zero() ? initial_estimate : typical_;
    }
    /// @returns the average duration of a load of an adapter that the replica
    ///          has cached in memory
    duration cached_duration() const { return cached_; }

private:
    unsigned window_size() const { return static_cast<unsigned>(window_); }

    /// Assumed load duration before the first load has completed. A value that
    /// is too low costs one status check every 15 ms, a value that is too high
    /// keeps a request waiting.
    static constexpr duration initial_estimate = std::chrono::milliseconds(100);
    /// Each observed load raises the remembered shortest duration by at most
    /// one part in this many. The shortest duration thus stays valid for dozens
    /// of loads, but a store that has become permanently slower is not taken
    /// for a congested one for ever.
    static constexpr int shortest_decay = 100;
    /// Durations above this multiple of the shortest one are clamped: they do
    /// not measure a load, but a node that was suspended meanwhile or a command
    /// that was carried out late. Without the clamp a single such duration
    /// would make all forecasts seconds too long.
    static constexpr int max_outlier_factor = 4;
    /// Weight of the running averages, in loads.
    static constexpr int averaging_weight = 8;
    /// Concurrent loads that a node starts with.
    static constexpr double initial_window = 2;
    /// Factor applied to the window after a load that took longer.
    static constexpr double decrease_factor = 0.8;

    unsigned active_loads_ = 0;
    std::size_t replicas_ = 1;
    double window_ = initial_window;
    duration shortest_{0};
    duration typical_{0};
    duration cached_ = initial_estimate / 4;
};

} // namespace camphorpoint
