#include "Config/profile.hpp"

#include <array>

namespace camphorpoint {

namespace {

constexpr std::array<std::string_view, urgency_count> urgency_codes{
    "immediate", "high", "normal", "background"};

} // namespace

std::string_view to_string(urgency value) noexcept {
    return urgency_codes[static_cast<std::size_t>(value)];
}

std::optional<urgency> parse_urgency(std::string_view text) noexcept {
    for (std::size_t index = 0; index < urgency_count; ++index) {
        if (urgency_codes[index] == text) {
            return static_cast<urgency>(index);
        }
    }
    return std::nullopt;
}

} // namespace camphorpoint
