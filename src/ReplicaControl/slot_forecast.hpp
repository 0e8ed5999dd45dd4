#pragma once

#include "Core/decayed_rate.hpp"
#include "Core/time.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// How often a slot of a replica comes free, learnt from the uses that nodes
/// tell. Not from how long uses last: the slots of busy adapters come free
/// never, and by their mean use others would wait for them.
class slot_releases {
public:
    /// An adapter's last run here has ended.
    void record(instant now) { rate_.add(now); }
    /// @returns the time between two that come free
    duration mean_interval(instant now) const {
        std::chrono::duration<double> const mean(
            1 / std::max(rate_.per_second(now), min_releases_per_second));
        return std::chrono::duration_cast<duration>(mean);
    }

private:
    /// Long enough for a few uses of some tenths of a second, short enough to
    /// follow a shift of demand.
    static constexpr duration half_life = std::chrono::seconds(3);
    /// A replica at which nothing has ended for long is taken to release a
    /// slot each second: most uses are shorter.
    static constexpr double min_releases_per_second = 1;

    decayed_rate rate_{half_life};
};

/// What decides how soon an adapter can lie ready on a replica.
struct forecast_input {
    /// Slots that are free, or held by what nobody uses.
    unsigned free_slots = 0;
    /// Wants that are served first.
    unsigned requests_ahead = 0;
    /// Time between two slots that come free.
    duration release_interval{0};
    /// How long the load itself takes.
    duration load_duration{0};
    /// What the loads ahead take together, and how many run at once.
    duration duration_ahead{0};
    double concurrent_loads = 1;
};

/// Expected time until an adapter is ready.
/// @returns the time for a slot, plus the loads ahead and its own
inline duration time_to_ready(forecast_input const& input) {
    auto const queued = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(input.duration_ahead) /
        input.concurrent_loads);
    if (input.requests_ahead < input.free_slots) {
        return queued + input.load_duration;
    }
    unsigned const missing_slots = input.requests_ahead + 1 - input.free_slots;
    duration const slot_wait = input.release_interval * missing_slots;
    // Loads ahead take their slots while this one waits for its own.
    return std::max(slot_wait, queued) + input.load_duration;
}

} // namespace camphorpoint
