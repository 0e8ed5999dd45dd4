#pragma once

#include "Delivery/attempt_stream.hpp"

#include <cstdint>
#include <optional>

namespace camphorpoint {

/// Whether an event may be forwarded to the caller.
enum class event_continuity : std::uint8_t {
    /// The event follows the last one that the caller has.
    next,
    /// The caller already has the event.
    duplicate,
    /// An event before this one is missing, or its position is unknown.
    out_of_sequence
};

/// What the end of an attempt's body says about the stream.
enum class stream_end : std::uint8_t {
    /// The caller has the complete stream.
    complete,
    /// At least one event is missing.
    truncated,
    /// The stream may be complete or truncated.
    unconfirmed
};

/// Position in a stream up to which a caller has received events, over all
/// attempts of its request.
class delivery_position {
public:
    /// @param last      number of the last event that the caller has, if any;
    ///                  without it the first event may have any number
    /// @param resumable false when the stream comes from a single attempt,
    ///                  whose events are forwarded unchecked
    explicit delivery_position(
        std::optional<std::uint64_t> last = std::nullopt, bool resumable = true)
        : last_(last)
        , resumable_(resumable) {}

    /// Checks an event of the current attempt and advances the position if the
    /// event may be forwarded.
    event_continuity accept(complete_event const& event);
    /// Records that an attempt was cut off within the event after the last one.
    void note_truncated_event() noexcept { truncated_event_ = true; }
    /// @param attempt      the attempt whose body ended without an error
    /// @param length_known true when the framing shows the end of the body,
    ///                     false when the body ends with its connection
    /// @returns what this end says about the stream
    stream_end
    classify_end(attempt_stream const& attempt, bool length_known) const;
    /// @returns true when another attempt can resume after the last event that
    ///          the caller has
    bool may_resume() const noexcept { return resumable_ && !has_unnumbered_; }
    /// @returns number of the last event that the caller has, if any
    std::optional<std::uint64_t> last() const noexcept { return last_; }

private:
    std::optional<std::uint64_t> last_;
    bool resumable_;
    /// An attempt was cut off within the event after the last one, so the
    /// stream has at least one more event.
    bool truncated_event_ = false;
    /// The caller has received events without numbers.
    bool has_unnumbered_ = false;
};

} // namespace camphorpoint
