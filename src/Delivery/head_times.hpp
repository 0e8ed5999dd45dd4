#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <optional>

namespace camphorpoint {

/// Learns how long the answers of a service take until their heads arrive.
/// Reference: V. Paxson et al., "Computing TCP's retransmission timer", RFC
/// 6298, 2011.
class head_times {
public:
    /// @param time from the beginning of an attempt until its head
    void add(duration time) {
        if (!mean_) {
            mean_ = time;
            deviation_ = time / 2;
            return;
        }
        duration const error = time - *mean_;
        deviation_ += (std::max(error, -error) - deviation_) / 4;
        *mean_ += error / 8;
    }
    /// @returns a time within which nearly all heads arrive; nothing before the
    ///          first one
    std::optional<duration> longest_usual() const {
        return mean_ ? std::optional(*mean_ + 4 * deviation_) : std::nullopt;
    }

private:
    std::optional<duration> mean_;
    duration deviation_{0};
};

} // namespace camphorpoint
