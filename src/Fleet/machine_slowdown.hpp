#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <chrono>

namespace camphorpoint {

/// How much longer than usual work takes on a replica's machine at the moment,
/// as the replica says in its answers.
class machine_slowdown {
public:
    /// Spells last some hundred milliseconds: an older statement says more of
    /// the past than of the answer that is about to be chosen for.
    static constexpr duration lifetime = std::chrono::milliseconds(300);

    /// A machine that is slower is avoided as long as there is any other.
    static constexpr double max_factor = 10;

    /// Records a statement, unless a newer one is known. A replica that claims
    /// to be faster than usual gets no more requests for that: it may err.
    /// @param factor 1 as usual, 2 when work takes twice as long
    /// @param at     when the replica said so
    void set(double factor, instant at) {
        if (at >= stated_at_) {
            factor_ = std::clamp(factor, 1.0, max_factor);
            stated_at_ = at;
        }
    }
    /// @returns the factor; 1 when there is no statement that still holds
    double factor(instant now) const { return stated(now) ? factor_ : 1; }
    /// @returns true while the latest statement holds
    bool stated(instant now) const {
        return stated_at_ != instant{} && now < stated_at_ + lifetime;
    }
    /// @returns time since the latest statement
    duration age(instant now) const { return now - stated_at_; }

private:
    double factor_ = 1;
    instant stated_at_;
};

} // namespace camphorpoint
