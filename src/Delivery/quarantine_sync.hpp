#pragma once

#include "Core/time.hpp"

#include <algorithm>

namespace camphorpoint {

/// Tracks whether this node knows the requests that were quarantined before it
/// started. It does once it has received messages for some time from a node
/// that knows them, or has itself served long enough to have observed repeated
/// poison requests.
class quarantine_sync {
public:
    /// Records that this node serves requests from now on.
    void on_serving_started(instant now) {
        serving_since_ = std::min(serving_since_, now);
    }
    /// Records a message from a node whose knowledge is complete. Such a node
    /// sends all its entries within a second.
    void on_message_from_synced_node(instant now) {
        synced_node_since_ = std::min(synced_node_since_, now);
    }
    /// @returns true when this node knows the quarantined requests
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
