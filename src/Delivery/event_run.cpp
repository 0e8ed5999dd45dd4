#include "Delivery/event_run.hpp"

#include <algorithm>
#include <charconv>

namespace camphorpoint {

namespace {

/// An event holds a few tokens.
constexpr std::size_t longest_event = 256U << 10U;

/// @returns the number in the event's id line, if it has one
std::optional<std::uint64_t> number_of(std::string_view event) {
    constexpr std::string_view name = "id:";
    std::size_t start = 0;
    while (start < event.size()) {
        std::size_t const end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(name)) {
            continue;
        }
        line.remove_prefix(name.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t number = 0;
        auto const [stop, error] =
            std::from_chars(line.data(), line.data() + line.size(), number);
        if (error == std::errc()) {
            return number;
        }
    }
    return std::nullopt;
}

/// @returns the length of the first whole event, its empty line included; 0
///          when there is none yet
std::size_t event_length(std::string_view text) {
    constexpr std::string_view empty_lines[] = {"\n\n", "\n\r\n"};
    std::size_t length = std::string_view::npos;
    for (std::string_view const each : empty_lines) {
        std::size_t const place = text.find(each);
        if (place != std::string_view::npos) {
            length = std::min(length, place + each.size());
        }
    }
    return length == std::string_view::npos ? 0 : length;
}

} // namespace

std::optional<whole_event> event_run::next() {
    std::size_t const length = event_length(rest_);
    if (length == 0) {
        return std::nullopt;
    }
    whole_event event;
    event.text = rest_.substr(0, length);
    event.number = number_of(event.text);
    rest_.erase(0, length);
    return event;
}

bool event_run::too_long() const noexcept {
    return rest_.size() > longest_event;
}

} // namespace camphorpoint
