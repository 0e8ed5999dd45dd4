#pragma once

#include "Core/time.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

/// Events per second, in which older events count less and less: after each
/// half-life half as much. Takes two numbers, however many events there are.
/// Reference: G. Cormode, V. Shkapenyuk, D. Srivastava, B. Xu, "Forward decay:
/// a practical time decay model for streaming systems", ICDE 2009.
class decayed_rate {
public:
    explicit decayed_rate(duration half_life)
        : half_life_(std::chrono::duration<double>(half_life).count()) {}

    /// Counts events at this time.
    /// @param count how many
    void add(instant now, double count = 1) {
        weight_ = weight_at(now) + count;
        last_ = std::max(last_, now);
    }

    /// Takes a rate as measured elsewhere.
    void set_rate(instant now, double per_second) {
        weight_ = per_second * half_life_ / std::log(2.0);
        last_ = now;
    }

    /// @returns events per second, averaged with the decay
    double per_second(instant now) const {
        return weight_at(now) * std::log(2.0) / half_life_;
    }

private:
    double weight_at(instant now) const {
        double const passed =
            std::max(0.0, std::chrono::duration<double>(now - last_).count());
        return weight_ * std::exp2(-passed / half_life_);
    }

    double half_life_;
    double weight_ = 0;
    instant last_;
};

} // namespace camphorpoint
