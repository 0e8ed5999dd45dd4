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
        served_from_ = std::min(served_from_, now);
    }
    /// A node that knows was heard: it tells all within a second.
    void on_message_from_synced_node(instant now) {
        heard_from_ = std::min(heard_from_, now);
    }
    /// @returns true when this node knows what others do
    bool complete(instant now) const noexcept {
        return past(heard_from_, all_told, now) ||
               past(served_from_, all_met, now);
    }

private:
    static constexpr duration all_told = std::chrono::seconds(1);
    static constexpr duration all_met = std::chrono::seconds(20);
    static bool past(instant from, duration time, instant now) noexcept {
        return from != instant::max() && now >= from + time;
    }

    instant served_from_ = instant::max();
    instant heard_from_ = instant::max();
};

} // namespace camphorpoint
