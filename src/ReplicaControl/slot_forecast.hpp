#pragma once

#include "Core/decayed_rate.hpp"
#include "Core/time.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// Rate at which adapter slots of a replica become free, learned from the uses
/// that nodes report.
/// The rate is counted rather than derived from the duration of uses: the slots
/// of busy adapters never become free, and the mean duration of uses would
/// promise waiting requests those slots.
class slot_releases {
public:
    /// Records that the last attempt using an adapter on this replica has
    /// ended.
    void record(instant now) { rate_.add(now); }
    /// @returns the mean interval between two slots becoming free
    duration mean_interval(instant now) const {
        std::chrono::duration<double> const mean(
            1 / std::max(rate_.per_second(now), min_releases_per_second));
        return std::chrono::duration_cast<duration>(mean);
    }

private:
    /// Long enough to cover several uses of a few tenths of a second, short
    /// enough to follow a shift of demand.
    static constexpr duration half_life = std::chrono::seconds(3);
    /// Rate assumed for a replica at which nothing has ended for a long time,
    /// per second: most uses take less than a second.
    static constexpr double min_releases_per_second = 1;

    decayed_rate rate_{half_life};
};

/// Inputs of the forecast of when an adapter becomes ready on a replica.
struct forecast_input {
    /// Slots that are empty or occupied by an idle adapter.
    unsigned free_slots = 0;
    /// Load requests that are served before this one.
    unsigned requests_ahead = 0;
    /// Mean interval between two slots becoming free.
    duration release_interval{0};
    /// Duration of the load itself.
    duration load_duration{0};
    /// Sum of the durations of the loads ahead, and how many of them run
    /// concurrently.
    duration duration_ahead{0};
    double concurrent_loads = 1;
};

/// @returns the expected time until the adapter is ready: waiting for a slot
///          and for the loads ahead, plus its own load
inline duration time_to_ready(forecast_input const& input) {
    auto const queued = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(input.duration_ahead) /
        input.concurrent_loads);
    if (input.requests_ahead < input.free_slots) {
        return queued + input.load_duration;
    }
    unsigned const missing_slots = input.requests_ahead + 1 - input.free_slots;
    duration const slot_wait = input.release_interval * missing_slots;
    // The loads ahead proceed while this request waits for its slot, so the two
    // waits overlap.
    return std::max(slot_wait, queued) + input.load_duration;
}

} // namespace camphorpoint
