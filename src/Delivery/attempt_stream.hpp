#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpoint {

/// One whole event of a stream, as its run made it.
struct complete_event {
    /// Its bytes, the empty line at its end included.
    std::string text;
    /// Its number, if it bears one that can be read.
    std::optional<std::uint64_t> number;
    /// It has nothing for the caller's program, only comments or a time to come
    /// back after.
    bool blank = false;
};

/// Cuts the body of one run of a stream into whole events. Made with the run
/// and destroyed with it, so that a half event can't reach the next run.
/// Source: WHATWG HTML, section 9.2, "Server-sent events".
class attempt_stream {
public:
    /// Takes bytes of the body, cut anywhere.
    void push(std::string_view piece);
    /// @returns the next whole event, or nothing when its end has not come
    std::optional<complete_event> next();
    /// @returns true when no byte has come
    bool empty() const noexcept { return empty_; }
    /// @returns bytes behind the last whole event
    std::size_t incomplete_bytes() const noexcept { return buffer_.size(); }
    /// @returns true when what has come without an end is longer than any event
    bool too_long() const noexcept;

private:
    std::string buffer_;
    bool empty_ = true;
};

} // namespace camphorpoint
