#pragma once

#include "event_loop.hpp"
#include "preset.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>

namespace camphorpoint::bench {

/// A fake weight store: starts so many loads a second, runs so many at once,
/// and lets the rest wait in the order of arrival.
class store_model {
public:
    using answer = std::function<void(bool loaded)>;

    /// @param loop       virtual time; outlives the store
    /// @param parameters its limits
    /// @param seed       decides which loads fail
    store_model(
        event_loop& loop, store_parameters const& parameters,
        std::uint64_t seed);

    /// Asks for one adapter's weights.
    /// @param then told whether they came
    void load(answer then);

    /// @param factor loads that start from now on take so much longer
    void slow_down(double factor) { slowness_ = factor; }
    /// @param down while true, loads fail after down_time_out
    void set_down(bool down);
    /// @param part of the loads that fail at their end
    void fail_part(double part) { failing_part_ = part; }

    /// @returns loads that run or wait
    std::uint32_t pending() const {
        return active_ + static_cast<std::uint32_t>(waiting_.size());
    }
    std::uint64_t started() const { return started_; }

private:
    void start_next();
    void run(answer const& then);

    event_loop& loop_;
    store_parameters parameters_;
    std::mt19937_64 random_;
    std::deque<answer> waiting_;
    std::uint32_t active_ = 0;
    std::uint64_t started_ = 0;
    std::uint64_t outage_ = 0;
    bool down_ = false;
    bool wake_planned_ = false;
    instant next_start_{};
    double slowness_ = 1;
    double failing_part_ = 0;
};

} // namespace camphorpoint::bench
