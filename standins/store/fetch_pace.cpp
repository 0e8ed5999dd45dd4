#include "store/fetch_pace.hpp"

#include <algorithm>

namespace standins {

camphorpoint::duration
fetch_pace::begin(camphorpoint::instant now, double factor) {
    ++active_;
    double const crowd =
        std::max(1.0, static_cast<double>(active_) / settings_.full_speed);
    std::chrono::duration<double> const time = settings_.time;
    auto const transfer = std::chrono::duration_cast<camphorpoint::duration>(
        time * crowd * factor);
    return rate_.reserve(now) + transfer;
}

} // namespace standins
