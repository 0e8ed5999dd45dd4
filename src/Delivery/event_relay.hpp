#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace camphorpoint {

/// What became of bytes that were pushed into a relay.
enum class relay_verdict : std::uint8_t {
    /// They are fine so far.
    ok,
    /// An event is missing before the one that came, or an event is longer
    /// than any may be: this run can't be joined to what was passed on.
    broken
};

/// Passes a stream of events on whole, over one or more runs of its request.
/// Guards against a stream that goes on at another replica and repeats or lacks
/// an event, and against half an event at the place where a run was cut. It
/// holds since only whole events pass, and an event passes only when its number
/// follows the last one that did.
/// Source: WHATWG HTML, section 9.2, "Server-sent events".
class event_relay {
public:
    /// @param last the number of the last event that the caller has, 0 for none
    explicit event_relay(std::uint64_t last = 0)
        : last_(last) {}

    /// Another run begins: what was left of a half event is dropped.
    void begin_run();
    /// Takes bytes of the running run, cut anywhere.
    /// @param piece the bytes
    /// @param out   takes the whole events that are to be passed on
    relay_verdict push(std::string_view piece, std::string& out);
    /// @returns true when a half event waits for its end
    bool inside_event() const noexcept { return !pending_.empty(); }
    /// @returns bytes of the half event that waits for its end
    std::size_t half_bytes() const noexcept { return pending_.size(); }
    /// @returns the number of the last event passed on
    std::uint64_t last() const noexcept { return last_; }
    /// @returns true when an event was passed on
    bool passed_any() const noexcept { return passed_; }

private:
    relay_verdict pass(std::string_view event, std::string& out);

    std::uint64_t last_;
    bool passed_ = false;
    std::string pending_;
};

} // namespace camphorpoint
