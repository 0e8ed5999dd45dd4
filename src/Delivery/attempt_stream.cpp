#include "Delivery/attempt_stream.hpp"

#include <algorithm>
#include <charconv>

namespace camphorpoint {

namespace {

/// In bytes. Events hold a few tokens, so a longer one is invalid. The same
/// bounds the blank events in a row: replicas write such a one of a few bytes
/// every few seconds to keep a connection open.
constexpr std::size_t max_event_bytes = 256U << 10U;

/// @returns the value of an id line if it is a number
std::optional<std::uint64_t> number_in(std::string_view value) {
    while (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    std::uint64_t number = 0;
    char const* const end = value.data() + value.size();
    auto const [stop, error] = std::from_chars(value.data(), end, number);
    bool const is_number = error == std::errc() && stop == end;
    return is_number ? std::optional(number) : std::nullopt;
}

/// @returns true when the line is empty, a comment or a reconnection time
bool is_blank(std::string_view line) {
    return line.empty() || line.starts_with(':') || line.starts_with("retry:");
}

/// Determines the number of the event and whether it carries data.
void read_lines(complete_event& event) {
    constexpr std::string_view id = "id:";
    std::string_view remaining = event.text;
    event.blank = true;
    while (!remaining.empty()) {
        std::size_t const end = remaining.find('\n');
        std::string_view line = remaining.substr(0, end);
        remaining.remove_prefix(std::min(end, remaining.size() - 1) + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        event.blank = event.blank && is_blank(line);
        if (line.starts_with(id)) {
            event.number = number_in(line.substr(id.size()));
        }
    }
}

/// @param from no event ends before this position
/// @returns the length of the first complete event including its empty line; 0
///          when there is none yet
std::size_t event_length(std::string_view text, std::size_t from) {
    constexpr std::string_view empty_lines[] = {"\n\n", "\n\r\n"};
    std::size_t length = std::string_view::npos;
    for (std::string_view const each : empty_lines) {
        std::size_t const position = text.find(each, from);
        if (position != std::string_view::npos) {
            length = std::min(length, position + each.size());
        }
    }
    return length == std::string_view::npos ? 0 : length;
}

} // namespace

void attempt_stream::push(std::string_view piece) {
    buffer_.append(piece);
    empty_ = empty_ && piece.empty();
}

std::optional<complete_event> attempt_stream::next() {
    std::size_t const length = event_length(buffer_, searched_);
    searched_ = 0;
    if (length == 0) {
        // An end that is split between two pieces begins in the last two bytes.
        constexpr std::size_t split = 2;
        searched_ = buffer_.size() - std::min(buffer_.size(), split);
        return std::nullopt;
    }
    complete_event event;
    event.text = buffer_.substr(0, length);
    read_lines(event);
    blank_bytes_ = event.blank ? blank_bytes_ + length : 0;
    buffer_.erase(0, length);
    return event;
}

bool attempt_stream::too_long() const noexcept {
    return buffer_.size() > max_event_bytes || blank_bytes_ > max_event_bytes;
}

} // namespace camphorpoint
