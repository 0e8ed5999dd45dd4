#include "Settings/toml_section.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace camphorpoint {

using namespace std::chrono_literals;

namespace {

toml::table const empty_table;

struct time_unit {
    std::string_view name;
    std::chrono::milliseconds size;
};

constexpr std::array<time_unit, 4> time_units{{
    {"ms", std::chrono::milliseconds(1)},
    {"s", std::chrono::milliseconds(1'000)},
    {"min", std::chrono::milliseconds(60'000)},
    {"h", std::chrono::milliseconds(3'600'000)},
}};

/// Nine digits of the largest unit still fit into 64 bits.
constexpr std::size_t most_digits = 9;

/// @returns the number of digits with which the text begins
std::size_t count_digits(std::string_view text) {
    std::size_t const end = text.find_first_not_of("0123456789");
    return std::min(end, text.size());
}

/// @param digits nothing but digits
std::int64_t read_digits(std::string_view digits) {
    std::int64_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

/// Reads a decimal number with its unit, such as "7.5s".
/// @returns the time that the text states, to the nearest millisecond, or
///          nothing when it has no such form
std::optional<std::chrono::milliseconds> parse_time(std::string_view text) {
    std::string_view const whole = text.substr(0, count_digits(text));
    std::string_view rest = text.substr(whole.size());
    std::string_view fraction;
    bool const has_point = rest.starts_with('.');
    if (has_point) {
        rest.remove_prefix(1);
        fraction = rest.substr(0, count_digits(rest));
        rest.remove_prefix(fraction.size());
    }
    bool const complete = !whole.empty() && has_point != fraction.empty();
    if (!complete || whole.size() > most_digits) {
        return std::nullopt;
    }
    // Further digits are too small to change a millisecond.
    fraction = fraction.substr(0, most_digits);
    std::int64_t parts = 1;
    for (std::size_t each = 0; each < fraction.size(); ++each) {
        parts *= 10;
    }
    auto const unit = std::ranges::find(time_units, rest, &time_unit::name);
    if (unit == time_units.end()) {
        return std::nullopt;
    }
    auto const part = read_digits(fraction) * unit->size;
    return read_digits(whole) * unit->size + (part + parts / 2 * 1ms) / parts;
}

} // namespace

std::optional<toml::table>
parse_toml(std::string const& file, std::string_view text, findings& problems) {
    // The library reports syntax errors by exception; none goes further.
    try {
        return toml::parse(text, file);
    } catch (toml::parse_error const& error) {
        problems.add(
            {file, error.source().begin.line, "syntax"},
            std::string(error.description()));
    }
    return std::nullopt;
}

toml_section::toml_section(
    std::string file, std::string prefix, toml::table const& table,
    findings& problems)
    : toml_section(
          std::move(file), std::move(prefix), table, problems, problems) {}

toml_section::toml_section(
    std::string file, std::string prefix, toml::table const& table,
    findings& problems, findings& replaced)
    : file_(std::move(file))
    , prefix_(std::move(prefix))
    , table_(&table)
    , problems_(&problems)
    , replaced_(&replaced) {}

toml::node const* toml_section::find(std::string const& key) {
    asked_.insert(key);
    return table_->get(key);
}

place toml_section::place_of(std::string const& key) const {
    toml::node const* node = table_->get(key);
    std::size_t line = table_->source().begin.line;
    if (node != nullptr) {
        line = node->source().begin.line;
    }
    return {file_, line, prefix_ + key};
}

void toml_section::complain(std::string const& key, std::string what) {
    problems_->add(place_of(key), std::move(what));
}

void toml_section::complain_replaced(std::string const& key, std::string what) {
    replaced_->add(place_of(key), std::move(what));
}

void toml_section::complain_unless(
    bool replaced, std::string const& key, std::string what) {
    if (replaced) {
        complain_replaced(key, std::move(what));
    } else {
        complain(key, std::move(what));
    }
}

std::string toml_section::text(std::string const& key, std::string fallback) {
    toml::node const* node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_string()) {
        complain_replaced(key, "must be a text");
        return fallback;
    }
    return **node->as_string();
}

std::string toml_section::required_text(std::string const& key) {
    std::string value = text(key, "");
    if (value.empty()) {
        complain(key, "is missing or empty");
    }
    return value;
}

std::int64_t toml_section::integer(
    std::string const& key, std::optional<std::int64_t> fallback,
    std::int64_t least, std::int64_t most) {
    toml::node const* node = find(key);
    if (node == nullptr) {
        if (!fallback) {
            complain(key, "is missing");
        }
        return fallback.value_or(least);
    }
    if (!node->is_integer()) {
        complain_unless(fallback.has_value(), key, "must be a whole number");
        return fallback.value_or(least);
    }
    std::int64_t const value = **node->as_integer();
    if (value < least || value > most) {
        complain_unless(
            fallback.has_value(), key,
            fmt::format("must be from {} to {}", least, most));
        return fallback.value_or(least);
    }
    return value;
}

bool toml_section::boolean(
    std::string const& key, std::optional<bool> fallback) {
    toml::node const* node = find(key);
    if (node == nullptr) {
        if (!fallback) {
            complain(key, "is missing");
        }
        return fallback.value_or(false);
    }
    if (!node->is_boolean()) {
        complain_unless(fallback.has_value(), key, "must be true or false");
        return fallback.value_or(false);
    }
    return **node->as_boolean();
}

std::chrono::milliseconds toml_section::time(
    std::string const& key, std::chrono::milliseconds fallback,
    std::chrono::milliseconds least, std::chrono::milliseconds most) {
    toml::node const* node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    if (!node->is_string()) {
        complain_replaced(
            key, "must be a time with its unit, such as \"250ms\"");
        return fallback;
    }
    auto const value = parse_time(**node->as_string());
    if (!value) {
        complain_replaced(
            key, "must be a time in ms, s, min or h, such as \"250ms\"");
        return fallback;
    }
    if (*value < least || *value > most) {
        complain_replaced(
            key, fmt::format(
                     "must be from {}ms to {}ms", least.count(), most.count()));
        return fallback;
    }
    return *value;
}

toml_section toml_section::table(std::string const& key) {
    toml::node const* node = find(key);
    std::string const inner = prefix_ + key + ".";
    if (node == nullptr) {
        return {file_, inner, empty_table, *problems_, *replaced_};
    }
    if (!node->is_table()) {
        complain_replaced(key, "must be a table");
        return {file_, inner, empty_table, *problems_, *replaced_};
    }
    return {file_, inner, *node->as_table(), *problems_, *replaced_};
}

std::vector<toml_section> toml_section::tables(std::string const& key) {
    std::vector<toml_section> result;
    toml::node const* node = find(key);
    if (node == nullptr) {
        return result;
    }
    if (!node->is_array_of_tables()) {
        complain(key, fmt::format("must be tables headed [[{}]]", key));
        return result;
    }
    for (toml::node const& each : *node->as_array()) {
        std::string const inner =
            fmt::format("{}{}[{}].", prefix_, key, result.size());
        result.emplace_back(
            file_, inner, *each.as_table(), *problems_, *replaced_);
    }
    return result;
}

std::vector<std::string> toml_section::texts(std::string const& key) {
    std::vector<std::string> result;
    toml::node const* node = find(key);
    if (node == nullptr) {
        return result;
    }
    if (!node->is_array()) {
        complain(key, "must be a list of texts");
        return result;
    }
    for (toml::node const& each : *node->as_array()) {
        if (!each.is_string()) {
            complain(key, "must be a list of texts");
            return result;
        }
        result.push_back(**each.as_string());
    }
    return result;
}

void toml_section::refuse_unknown_keys() {
    for (auto const& [key, node] : *table_) {
        std::string const name(key.str());
        if (!asked_.contains(name)) {
            complain_replaced(name, "is not a known key");
        }
    }
}

} // namespace camphorpoint
