#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace camphorpoint {

/// Times that were measured, and their percentiles.
class sample_set {
public:
    void add(std::chrono::microseconds sample) { samples_.push_back(sample); }
    std::size_t size() const noexcept { return samples_.size(); }
    /// @param share from 0 to 1, such as 0.99
    /// @returns the nearest-rank percentile; zero without samples
    std::chrono::microseconds percentile(double share) const;

private:
    std::vector<std::chrono::microseconds> samples_;
};

} // namespace camphorpoint
