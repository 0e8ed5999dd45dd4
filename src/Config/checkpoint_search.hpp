#pragma once

#include "Config/configuration_state.hpp"
#include "Config/state_assembler.hpp"
#include "Records/log_record.hpp"

#include <cstdint>
#include <optional>

namespace camphorpoint {

/// Looks for the newest whole checkpoint in the log: reads a stretch before
/// the head, and a longer one each time that none was in it, so that a start
/// costs a read of a checkpoint and a tail and not of all that the log keeps.
class checkpoint_search {
public:
    /// @param batch any answer of the log, for its first offset and its head
    /// @param reach how many records before the head the first stretch begins
    checkpoint_search(log_batch const& batch, std::uint64_t reach);

    /// @returns where to read next
    log_offset at() const noexcept { return at_; }
    /// Takes what was read.
    /// @returns how many whole checkpoints in it were broken
    std::size_t take(log_batch const& batch);
    /// @returns true when this stretch has been read to the head
    bool stretch_done(log_batch const& batch) const noexcept {
        return at_ >= batch.head;
    }
    /// @returns the newest whole checkpoint found, or null
    configuration_state const* best() const noexcept {
        return best_ ? &*best_ : nullptr;
    }
    /// @returns true when the stretch began at the log's first record
    bool reached_first(log_batch const& batch) const noexcept {
        return begin_ <= batch.first;
    }
    /// Starts over with a stretch four times as long.
    void widen(log_batch const& batch);

private:
    void start(log_batch const& batch);

    std::uint64_t reach_ = 0;
    log_offset begin_;
    log_offset at_;
    state_assembler parts_;
    std::optional<configuration_state> best_;
};

} // namespace camphorpoint
