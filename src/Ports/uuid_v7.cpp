#include "Ports/uuid_v7.hpp"

#include <fmt/format.h>

#include <cstdint>

namespace camphorpoint {

std::string make_uuid_v7(wall_time when, std::mt19937_64& random) {
    constexpr std::uint64_t time_mask = (std::uint64_t{1} << 48U) - 1;
    constexpr std::uint64_t version = 0x7000;
    constexpr std::uint64_t variant = 0x8000;
    auto const milliseconds =
        static_cast<std::uint64_t>(when.time_since_epoch().count()) & time_mask;
    std::uint64_t const first = random();
    std::uint64_t const second = random();
    return fmt::format(
        "{:08x}-{:04x}-{:04x}-{:04x}-{:012x}", milliseconds >> 16U,
        milliseconds & 0xffffU, version | (first & 0x0fffU),
        variant | ((first >> 12U) & 0x3fffU), second & time_mask);
}

} // namespace camphorpoint
