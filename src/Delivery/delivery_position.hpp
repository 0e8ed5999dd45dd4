#pragma once

#include "Delivery/attempt_stream.hpp"

#include <cstdint>
#include <optional>

namespace camphorpoint {

/// Whether an event may be handed on.
enum class event_continuity : std::uint8_t {
    /// It follows what the caller has.
    next,
    /// The caller has it.
    duplicate,
    /// An event is missing before it, or its place can't be told.
    out_of_sequence
};

/// What the end of a run's body means for its stream.
enum class stream_end : std::uint8_t {
    /// The caller has all of it.
    complete,
    /// An event is missing.
    truncated,
    /// It may be either.
    unconfirmed
};

/// How far a caller has a stream, over all runs of its request.
class delivery_position {
public:
    /// @param last the number of the last event that the caller has, if any;
    ///             without it the first event may bear any number
    /// @param resumable false when one run alone makes the stream, whose events
    ///                  pass as they are
    explicit delivery_position(
        std::optional<std::uint64_t> last = std::nullopt, bool resumable = true)
        : last_(last)
        , resumable_(resumable) {}

    /// Takes an event of the running run and moves on when it fits.
    event_continuity accept(complete_event const& event);
    /// A run has begun an event behind the last one and was cut in it.
    void note_truncated_event() noexcept { truncated_event_ = true; }
    /// @param run    the run whose body has ended without an error
    /// @param framed the body's length was told, as opposed to a body that ends
    ///               with its connection
    stream_end
    classify_end(attempt_stream const& attempt, bool length_known) const;
    /// @returns true when another run can go on behind what the caller has
    bool may_resume() const noexcept { return resumable_ && !has_unnumbered_; }
    /// @returns the number of the last event, if the caller has one
    std::optional<std::uint64_t> last() const noexcept { return last_; }

private:
    std::optional<std::uint64_t> last_;
    bool resumable_;
    /// There is an event behind the last one.
    bool truncated_event_ = false;
    /// The caller has events without numbers.
    bool has_unnumbered_ = false;
};

} // namespace camphorpoint
