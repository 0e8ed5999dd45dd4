#include "Load/zipf.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphorpoint {

zipf::zipf(std::size_t ranks, double exponent) {
    assert(ranks > 0 && "there must be a rank to draw");
    cumulative_.reserve(ranks);
    double sum = 0;
    for (std::size_t rank = 0; rank < ranks; ++rank) {
        sum += std::pow(static_cast<double>(rank + 1), -exponent);
        cumulative_.push_back(sum);
    }
}

std::size_t zipf::draw(std::mt19937_64& random) const {
    std::uniform_real_distribution<double> anywhere(0, cumulative_.back());
    auto const found = std::upper_bound(
        cumulative_.begin(), cumulative_.end(), anywhere(random));
    auto const rank = static_cast<std::size_t>(found - cumulative_.begin());
    return std::min(rank, cumulative_.size() - 1);
}

} // namespace camphorpoint
