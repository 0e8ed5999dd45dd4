#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// One complete server-sent event as produced by an attempt.
struct complete_event {
    /// Bytes of the event, including the empty line at its end.
    std::string text;
    /// Value of the event's id field, if it is a number.
    std::optional<std::uint64_t> number;
    /// True when the event holds only comments or a reconnection time, and
    /// nothing that the caller's program would see.
    bool blank = false;
};

/// Splits the body of one attempt's answer into complete server-sent events.
/// Each attempt has an object of its own, so that bytes of an incomplete event
/// cannot be joined to those of the next attempt.
/// Source: WHATWG HTML, section 9.2, "Server-sent events".
class attempt_stream {
public:
    /// Appends bytes of the body, split at any position.
    void push(std::string_view piece);
    /// @returns the next complete event, or nothing when none is available yet
    std::optional<complete_event> next();
    /// @returns true when no byte has been received
    bool empty() const noexcept { return empty_; }
    /// @returns number of buffered bytes that do not form a complete event
    std::size_t incomplete_bytes() const noexcept { return buffer_.size(); }
    /// @returns true when the incomplete event, or the blank ones since the
    ///          last that was not, exceed the maximum length of an event
    bool too_long() const noexcept;

private:
    std::string buffer_;
    /// No event ends before this position.
    std::size_t searched_ = 0;
    /// Bytes of the blank events since the last that was not blank.
    std::size_t blank_bytes_ = 0;
    bool empty_ = true;
};

} // namespace camphorpoint
