#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// What one node has seen of how long adapters' loads take. All replicas share
/// the way from the store: beyond some number under way at once each takes
/// longer in proportion, and nothing is gained by more. That number is not
/// told, so it is inferred from the times.
class load_pace {
public:
    /// A load from the store has come.
    void note(duration time) {
        newest_ = time;
        shortest_ = std::min(shortest_, time);
    }
    /// @returns how many loads one replica should have under way
    unsigned at_once() const {
        return newest_ * 4 > shortest_ * 5 ? busy_at_once : calm_at_once;
    }
    /// @returns when to ask first whether a load from the store has come
    duration expected() const { return shortest_ - shortest_ / 20; }

private:
    /// Six replicas with three each use up what today's stores carry at full
    /// speed; with one each all replicas together do.
    static constexpr unsigned calm_at_once = 3;
    static constexpr unsigned busy_at_once = 1;
    /// Today's adapters take 250 to 288 ms, from the sheets of both users.
    static constexpr duration first_guess = std::chrono::milliseconds(290);

    duration newest_{0};
    duration shortest_ = first_guess;
};

} // namespace camphorpoint
