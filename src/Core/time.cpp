#include "Core/time.hpp"

#include <algorithm>
#include <ctime>

namespace camphorpoint {

boot_clock::time_point boot_clock::now() noexcept {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(
        std::chrono::seconds(reading.tv_sec) +
        std::chrono::nanoseconds(reading.tv_nsec));
}

wall_time wall_now() noexcept {
    return std::chrono::floor<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

duration time_until(instant when) noexcept {
    constexpr duration longest = std::chrono::hours(1);
    instant const now = boot_clock::now();
    return when <= now ? duration::zero() : std::min(longest, when - now);
}

} // namespace camphorpoint
