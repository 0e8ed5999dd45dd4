#include "Gateway/relay_terms.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace camphorpoint {

namespace {

/// Flags of the second word.
constexpr int counted_flag = 1;
constexpr int once_only_flag = 2;

/// Removes and returns the text before the next space.
std::string_view take_word(std::string_view& text) {
    std::size_t const end = std::min(text.find(' '), text.size());
    std::string_view const word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

std::optional<int> parse_integer(std::string_view text) {
    int value = 0;
    auto const [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    bool const whole = error == std::errc() && end == text.data() + text.size();
    return whole ? std::optional(value) : std::nullopt;
}

} // namespace

std::string encode_relayed_software(software_key software) {
    return fmt::format("{:016x}", static_cast<std::uint64_t>(software));
}

std::optional<software_key> decode_relayed_software(std::string_view text) {
    constexpr int hexadecimal = 16;
    std::uint64_t value = 0;
    auto const [end, error] = std::from_chars(
        text.data(), text.data() + text.size(), value, hexadecimal);
    bool const whole = error == std::errc() &&
                       end == text.data() + text.size() &&
                       text.size() == hexadecimal;
    return whole ? std::optional(software_key{value}) : std::nullopt;
}

std::string encode(relay_terms const& terms) {
    int const priority =
        terms.priority ? static_cast<int>(*terms.priority) : -1;
    int const flags = (terms.counted ? counted_flag : 0) |
                      (terms.idempotent ? 0 : once_only_flag);
    std::string const software =
        terms.software ? encode_relayed_software(*terms.software) : "any";
    return fmt::format(
        "{} {} {} {} {}", terms.sends, flags, priority, software,
        terms.team.str());
}

std::optional<relay_terms> decode_relay_terms(std::string_view text) {
    auto const sends = parse_integer(take_word(text));
    auto const flags = parse_integer(take_word(text));
    auto const priority = parse_integer(take_word(text));
    std::string_view const software = take_word(text);
    auto const bound = decode_relayed_software(software);
    bool const legible = bound || software == "any";
    if (!sends || *sends < 0 || !flags || !priority || !legible) {
        return std::nullopt;
    }
    relay_terms terms;
    terms.sends = static_cast<unsigned>(*sends);
    terms.counted = (*flags & counted_flag) != 0;
    terms.idempotent = (*flags & once_only_flag) == 0;
    terms.software = bound;
    terms.team = team_id(std::string(text));
    if (*priority >= 0) {
        terms.priority = static_cast<unsigned>(*priority);
    }
    return terms;
}

} // namespace camphorpoint
