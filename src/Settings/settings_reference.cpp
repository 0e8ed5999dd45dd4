#include "Settings/settings_reference.hpp"

#include "Settings/settings_schema.hpp"

#include <fmt/format.h>

#include <chrono>
#include <string_view>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;

/// @returns the time in the largest unit that states it whole
std::string time_text(milliseconds time) {
    constexpr milliseconds hour{3'600'000};
    constexpr milliseconds minute{60'000};
    constexpr milliseconds second{1'000};
    std::int64_t const count = time.count();
    if (count == 0 || time % second != milliseconds(0)) {
        return fmt::format("{}ms", count);
    }
    if (time % hour == milliseconds(0)) {
        return fmt::format("{}h", time / hour);
    }
    if (time % minute == milliseconds(0)) {
        return fmt::format("{}min", time / minute);
    }
    return fmt::format("{}s", time / second);
}

class reference_writer {
public:
    void section(std::string_view name) {
        text_ += fmt::format(
            "\n## [{}]\n\n| Key | Default | Range | Meaning |\n"
            "| --- | --- | --- | --- |\n",
            name);
    }
    template <class Text>
    void text(std::string_view key, Text const&, std::string_view meaning) {
        row(key, "required", "text", meaning);
    }
    void
    address(std::string_view key, ip_address const&, std::string_view meaning) {
        row(key, "required", "address:port", meaning);
    }
    void time(
        std::string_view key, milliseconds const& value, milliseconds least,
        milliseconds most, std::string_view meaning) {
        std::string const range =
            fmt::format("{} to {}", time_text(least), time_text(most));
        row(key, fmt::format("\"{}\"", time_text(value)), range, meaning);
    }
    template <class Number>
    void number(
        std::string_view key, Number const& value, std::int64_t least,
        std::int64_t most, std::string_view meaning) {
        std::string const range = fmt::format("{} to {}", least, most);
        row(key, fmt::format("{}", value), range, meaning);
    }
    void
    flag(std::string_view key, bool const& value, std::string_view meaning) {
        row(key, value ? "true" : "false", "true, false", meaning);
    }
    void policy(
        std::string_view key, staleness_policy const& value,
        std::string_view meaning) {
        row(key, fmt::format("\"{}\"", staleness_name(value)), "text", meaning);
    }
    std::string const& all() const noexcept { return text_; }

private:
    void
    row(std::string_view key, std::string_view value, std::string_view range,
        std::string_view meaning) {
        text_ += fmt::format(
            "| `{}` | {} | {} | {} |\n", key, value, range, meaning);
    }

    std::string text_;
};

} // namespace

std::string settings_reference() {
    node_settings defaults;
    reference_writer writer;
    internal::visit_settings(writer, defaults);
    return writer.all();
}

} // namespace camphorpoint
