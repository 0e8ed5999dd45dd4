#include "service/call_capacity.hpp"

#include <algorithm>

namespace standins {

namespace {

constexpr std::uint32_t overload_factor = 2;

} // namespace

bool call_capacity::begin() noexcept {
    if (running_ >= at_once_ * overload_factor) {
        return false;
    }
    ++running_;
    return true;
}

std::chrono::milliseconds call_capacity::time() const noexcept {
    double const utilization =
        std::max(1.0, static_cast<double>(running_) / std::max(1U, at_once_));
    std::chrono::duration<double, std::milli> const grown =
        base_time_ * (utilization * utilization);
    return std::chrono::duration_cast<std::chrono::milliseconds>(grown);
}

} // namespace standins
