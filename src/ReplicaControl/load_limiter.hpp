#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// What one node has seen of how long adapters' loads take, and how many it
/// should have under way. All replicas share the way from the store: beyond
/// some number under way at once each takes longer in proportion. Nothing is
/// gained by more, and those that began first come last. That number is not
/// told, and other nodes load too, so it is inferred from the times: a load
/// that took longer than the shortest ones takes one from the window, others
/// widen it.
/// Reference: D. Chiu, R. Jain, "Analysis of the increase and decrease
/// algorithms for congestion avoidance", Computer Networks 17(1), 1989.
class load_limiter {
public:
    /// A load from the store begins.
    void on_load_started() { ++active_loads_; }
    /// It has ended, whatever came of it.
    void on_load_finished() { active_loads_ -= std::min(active_loads_, 1U); }
    /// @returns true when one more may begin
    bool can_start() const { return active_loads_ < window_size(); }

    /// A load from the store has come.
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
    /// A load of what the replica kept a copy of has come.
    void record_cached_load(duration time) {
        cached_ +=
            (std::min(time, typical_duration()) - cached_) / averaging_weight;
    }

    /// The node orders for so many replicas, which share its window.
    void set_replicas(std::size_t count) {
        replicas_ = std::max<std::size_t>(1, count);
    }
    /// @returns how many loads one replica has under way in the mean while
    ///          all have some to do
    double loads_per_replica() const {
        return window_ / static_cast<double>(replicas_);
    }
    /// @returns when to ask first whether a load from the store has come
    duration first_check_delay() const {
        return shortest_ == duration::zero() ? initial_estimate
                                             : shortest_ - shortest_ / 20;
    }
    /// @returns how long a load from the store takes by now
    duration typical_duration() const {
        return shortest_ == duration::zero() ? initial_estimate : typical_;
    }
    /// @returns how long a load of what lies in the replica's memory takes
    duration cached_duration() const { return cached_; }

private:
    unsigned window_size() const { return static_cast<unsigned>(window_); }

    /// Before the first load has come nothing is known. Asking too early costs
    /// an order each 15 ms, asking too late keeps a request waiting.
    static constexpr duration initial_estimate = std::chrono::milliseconds(100);
    /// The shortest time is believed for some dozens of loads, so that a store
    /// which has become slower is not taken for busy for good.
    static constexpr int shortest_decay = 100;
    /// A time beyond so many of the shortest ones is no load's: the node was
    /// suspended meanwhile, or the order was carried out late. Believed as it
    /// is, one would make all forecasts too long for seconds.
    static constexpr int max_outlier_factor = 4;
    /// Means over about so many loads.
    static constexpr int averaging_weight = 8;
    /// Loads that one node begins with.
    static constexpr double initial_window = 2;
    /// What is left of the window after a load that took longer.
    static constexpr double decrease_factor = 0.8;

    unsigned active_loads_ = 0;
    std::size_t replicas_ = 1;
    double window_ = initial_window;
    duration shortest_{0};
    duration typical_{0};
    duration cached_ = initial_estimate / 4;
};

} // namespace camphorpoint
