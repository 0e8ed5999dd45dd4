#include "Load/sample_set.hpp"

#include <algorithm>
#include <cmath>

namespace camphorpoint {

std::chrono::microseconds sample_set::percentile(double share) const {
    if (samples_.empty()) {
        return {};
    }
    auto sorted = samples_;
    auto const count = static_cast<double>(sorted.size());
    auto const rank = static_cast<std::size_t>(std::ceil(share * count));
    auto const place = static_cast<std::ptrdiff_t>(
        std::clamp<std::size_t>(rank, 1, sorted.size()) - 1);
    std::nth_element(sorted.begin(), sorted.begin() + place, sorted.end());
    return sorted[static_cast<std::size_t>(place)];
}

} // namespace camphorpoint
