#pragma once

#include <cstddef>
#include <random>
#include <vector>

namespace camphorpoint {

/// Draws ranks of which few are popular: rank k has weight 1 / (k + 1)^s.
/// Source: Zipf's law, drawn by inverting its distribution function.
class zipf {
public:
    /// @param ranks    how many; at least 1
    /// @param exponent s; 0 makes all ranks alike
    zipf(std::size_t ranks, double exponent);
    /// @returns a rank from 0
    std::size_t draw(std::mt19937_64& random) const;

private:
    std::vector<double> cumulative_;
};

} // namespace camphorpoint
