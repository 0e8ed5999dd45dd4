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
    void note(instant now) { rate_.add(now); }
    /// @returns the time between two that come free
    duration pause(instant now) const {
        std::chrono::duration<double> const mean(
            1 / std::max(rate_.per_second(now), least_rate));
        return std::chrono::duration_cast<duration>(mean);
    }

private:
    /// Long enough for a few uses of some tenths of a second, short enough to
    /// follow a shift of demand.
    static constexpr duration half_life = std::chrono::seconds(3);
    /// A replica at which nothing has ended for long is taken to release a
    /// slot each second: most uses are shorter.
    static constexpr double least_rate = 1;

    decayed_rate rate_{half_life};
};

/// What decides how soon an adapter can lie ready on a replica.
struct slot_outlook {
    /// Slots that are free, or held by what nobody uses.
    unsigned free = 0;
    /// Wants that are served first.
    unsigned ahead = 0;
    /// Time between two slots that come free.
    duration release_pause{0};
    /// How long the load itself takes.
    duration load{0};
    /// What the loads ahead take together, and how many run at once.
    duration loads_ahead{0};
    double at_once = 1;
};

/// Expected time until an adapter is ready.
/// @returns the time for a slot, plus the loads ahead and its own
inline duration expected_ready(slot_outlook const& by) {
    auto const queued = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(by.loads_ahead) / by.at_once);
    if (by.ahead < by.free) {
        return queued + by.load;
    }
    unsigned const lacking = by.ahead + 1 - by.free;
    duration const slot_comes = by.release_pause * lacking;
    // Loads ahead take their slots while this one waits for its own.
    return std::max(slot_comes, queued) + by.load;
}

} // namespace camphorpoint
