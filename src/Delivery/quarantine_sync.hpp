#pragma once

#include "Core/time.hpp"

#include <algorithm>

namespace camphorpoint {

/// Whether a node knows which contents were held before it began. It does once
/// it has heard for a while a node that knows, or has served for long enough to
/// have met what comes again and again.
class quarantine_sync {
public:
    /// This node serves from now on.
    void on_serving_started(instant now) {
        serving_since_ = std::min(serving_since_, now);
    }
    /// A node that knows was heard: it tells all within a second.
    void on_message_from_synced_node(instant now) {
        synced_node_since_ = std::min(synced_node_since_, now);
    }
    /// @returns true when this node knows what others do
    bool complete(instant now) const noexcept {
        return elapsed(synced_node_since_, sync_duration, now) ||
               elapsed(serving_since_, observation_duration, now);
    }

private:
    static constexpr duration sync_duration = std::chrono::seconds(1);
    static constexpr duration observation_duration = std::chrono::seconds(20);
    static bool elapsed(instant from, duration time, instant now) noexcept {
        return from != instant::max() && now >= from + time;
    }

    instant serving_since_ = instant::max();
    instant synced_node_since_ = instant::max();
};

} // namespace camphorpoint
