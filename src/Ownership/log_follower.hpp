#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Records/log_record.hpp"

#include <optional>

namespace camphorpoint {

/// Tracks the reading of one log stream: the next offset to read, the time of
/// the next read, and the latest time at which the stream is known to have had
/// no newer record.
class log_follower {
public:
    /// How a batch relates to what has been applied.
    enum class verdict {
        /// The answer arrived late or comes from a lagging copy of the log;
        /// it contains nothing new.
        stale,
        /// The records from next() on can be applied.
        usable,
        /// Records expired before they were read. The replayed state must be
        /// discarded and the replay restarted at the oldest record.
        trimmed
    };

    /// @param poll interval between reads
    explicit log_follower(duration poll)
        : poll_(poll) {}

    /// Classifies a batch without changing any state.
    verdict classify(log_batch const& batch) const noexcept;
    /// Restarts at the oldest record of the log.
    void restart(log_offset first) noexcept;
    /// Records that the record at the offset has been applied.
    void on_record_applied(log_offset offset) noexcept;
    /// Records that all records of a batch have been applied.
    /// @returns true when the batch reached the head of the log
    bool on_batch_applied(log_batch const& batch) noexcept;
    /// Records that a read failed or had no usable answer; the next read starts
    /// one poll interval later.
    void on_read_failed(instant now) noexcept;
    /// Starts a read if one is due and none is in progress.
    /// @returns true when the read starts now
    bool begin_read(instant now) noexcept;

    /// @returns the first offset that has not been applied yet
    log_offset next() const noexcept { return next_; }
    /// @returns the start time of the latest read that reached the head of the
    /// log; empty when there was none since the last restart
    std::optional<instant> fresh_as_of() const noexcept { return fresh_as_of_; }

private:
    duration poll_;
    log_offset next_;
    std::optional<instant> fresh_as_of_;
    bool reading_ = false;
    instant next_read_{};
};

} // namespace camphorpoint
