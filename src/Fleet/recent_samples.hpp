#pragma once

#include "Core/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>

namespace camphorpoint {

/// The newest samples of a quantity that depends on another one, with a line
/// through them that up to a quarter of false samples do not move.
/// Reference: P. K. Sen, "Estimates of the regression coefficient based on
/// Kendall's tau", Journal of the American Statistical Association 63, 1968.
class recent_samples {
public:
    /// @param x the quantity on which the sample depends
    /// @param y the sample
    void add(double x, double y, instant now);
    void clear() { samples_.clear(); }
    /// @returns the number of samples that are not outdated
    std::size_t count(instant now) const;
    /// @param min_distance samples that are closer in x say nothing of the
    /// slope
    /// @returns the median slope; nothing while too few samples differ in x
    std::optional<double> slope(double min_distance, instant now) const;
    /// @returns the median sample, each moved to x along the slope; nothing
    ///          with too few samples
    std::optional<double> value_at(double x, double slope, instant now) const;

private:
    struct sample {
        double x;
        double y;
        instant at;
    };
    /// @returns the first sample that is not outdated
    std::deque<sample>::const_iterator begin(instant now) const;

    std::deque<sample> samples_;
};

} // namespace camphorpoint
