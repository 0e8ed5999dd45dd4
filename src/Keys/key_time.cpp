#include "Keys/key_time.hpp"

#include "Core/hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>

namespace camphorpoint {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_index = 14;
constexpr std::size_t variant_index = 19;
constexpr std::uint64_t shard_seed = 0x6b657973;

bool is_dash_index(std::size_t index) noexcept {
    return index == 8 || index == 13 || index == 18 || index == 23;
}

char lower(char letter) noexcept {
    return letter >= 'A' && letter <= 'F' ? static_cast<char>(letter + 32)
                                          : letter;
}

/// @returns the value of a hexadecimal digit, or -1 for any other character
int hex_value(char digit) noexcept {
    char const small = lower(digit);
    if (small >= '0' && small <= '9') {
        return small - '0';
    }
    return small >= 'a' && small <= 'f' ? small - 'a' + 10 : -1;
}

bool is_uuid(std::string_view text) noexcept {
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t index = 0; index < text.size(); ++index) {
        bool const good = is_dash_index(index) ? text[index] == '-'
                                               : hex_value(text[index]) >= 0;
        if (!good) {
            return false;
        }
    }
    return true;
}

} // namespace

key_shard key_shard_of(idempotency_key const& key) noexcept {
    return static_cast<key_shard>(
        hash_text(key.str(), shard_seed) % key_shard_count);
}

idempotency_key canonical_key(idempotency_key const& key) {
    if (!is_uuid(key.str())) {
        return key;
    }
    std::string text = key.str();
    std::ranges::transform(text, text.begin(), lower);
    return idempotency_key(text);
}

std::optional<wall_time> parse_key_time(idempotency_key const& key) {
    std::string const& text = key.str();
    if (!is_uuid(text) || text[version_index] != '7') {
        return std::nullopt;
    }
    int const variant = hex_value(text[variant_index]);
    if (variant < 0x8 || variant > 0xb) {
        return std::nullopt;
    }
    // The first 48 bits are milliseconds since 1970.
    std::int64_t time = 0;
    for (std::size_t index = 0; index < 13; ++index) {
        if (!is_dash_index(index)) {
            time = time * 16 + hex_value(text[index]);
        }
    }
    return wall_time(std::chrono::milliseconds(time));
}

idempotency_key generate_key(wall_time time, std::mt19937_64& random) {
    constexpr std::uint64_t variant_bits = 0x8000'0000'0000'0000ULL;
    constexpr std::uint64_t variant_mask = 0x3fff'ffff'ffff'ffffULL;
    auto const stamp =
        static_cast<std::uint64_t>(time.time_since_epoch().count());
    std::uint64_t const first = random() & 0xfffU;
    std::uint64_t const second = (random() & variant_mask) | variant_bits;
    return idempotency_key(fmt::format(
        "{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", (stamp >> 16U) & 0xffffffffU,
        stamp & 0xffffU, first, second >> 48U, second & 0xffff'ffff'ffffULL));
}

} // namespace camphorpoint
