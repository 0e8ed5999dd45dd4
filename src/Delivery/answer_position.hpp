#pragma once

#include "Delivery/event_run.hpp"

#include <cstdint>
#include <optional>

namespace camphorpoint {

/// Whether an event may be handed on.
enum class event_fit : std::uint8_t {
    /// It follows what the caller has.
    next,
    /// The caller has it.
    repeated,
    /// An event is missing before it, or its place can't be told.
    no_place
};

/// How far a caller has a stream, over all runs of its request.
class answer_position {
public:
    /// @param last the number of the last event that the caller has, if any;
    ///             without it the first event may bear any number
    explicit answer_position(std::optional<std::uint64_t> last = std::nullopt)
        : last_(last) {}

    /// Takes an event of the running run and moves on when it fits.
    event_fit take(whole_event const& event);
    /// @returns true when another run can go on behind what the caller has
    bool may_resume() const noexcept { return !unnumbered_; }
    /// @returns the number of the last event, if the caller has one
    std::optional<std::uint64_t> last() const noexcept { return last_; }

private:
    std::optional<std::uint64_t> last_;
    /// The caller has events without numbers.
    bool unnumbered_ = false;
};

} // namespace camphorpoint
