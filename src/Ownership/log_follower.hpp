#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Records/log_record.hpp"

#include <optional>

namespace camphorpoint {

/// Follows one stream: where to read next, when to read, and how fresh the
/// knowledge is that no newer record exists.
class log_follower {
public:
    /// What a batch means for the follower.
    enum class verdict {
        /// Late or from a copy of the log that is behind: nothing new.
        stale,
        /// Apply the records from next() on.
        usable,
        /// Records expired before they were read: forget and begin anew.
        trimmed
    };

    /// @param poll how often to read
    explicit log_follower(duration poll)
        : poll_(poll) {}

    /// @returns what to make of the batch; changes nothing
    verdict classify(log_batch const& batch) const noexcept;
    /// Begins anew at the oldest record.
    void restart(log_offset first) noexcept;
    /// Takes note of an applied record.
    void on_record_applied(log_offset offset) noexcept;
    /// Takes note that a batch was applied whole.
    /// @returns true when the batch reached the head
    bool on_batch_applied(log_batch const& batch) noexcept;
    /// A read ended without an answer.
    void on_read_failed(instant now) noexcept;
    /// @returns true when a read should begin now; it then counts as begun
    bool begin_read(instant now) noexcept;

    /// @returns the first offset not applied yet
    log_offset next() const noexcept { return next_; }
    /// @returns the start of the last read that reached the head
    std::optional<instant> fresh_as_of() const noexcept { return fresh_as_of_; }

private:
    duration poll_;
    log_offset next_;
    std::optional<instant> fresh_as_of_;
    bool reading_ = false;
    instant next_read_{};
};

} // namespace camphorpoint
