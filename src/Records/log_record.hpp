#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// The streams that this system keeps on the platform's log.
enum class log_stream : std::uint8_t {
    /// Operators' changes and the checkpoints of what they add up to.
    configuration,
    /// Claims and releases of owned resources.
    control
};

/// One record of the log.
struct log_record {
    log_offset offset;
    /// When the log service took it, by the service's clock.
    wall_time appended;
    std::string data;
};

/// The answer to a read that reached the log.
struct log_batch {
    log_stream stream = log_stream::configuration;
    /// What was asked for.
    log_offset from;
    /// The oldest offset that the log still keeps; above `from` when the
    /// records between have expired.
    log_offset first;
    /// One past the newest record when the log answered.
    log_offset head;
    std::vector<log_record> records;
    /// When this node began the read, on its monotonic clock.
    instant read_started;

    /// @returns true when no record was left unread at the time of the answer
    bool reaches_head() const noexcept {
        return records.empty() ? from >= head
                               : records.back().offset.value + 1 >= head.value;
    }
};

/// How an append ended.
enum class append_result : std::uint8_t {
    /// The log answered with the record's offset.
    appended,
    /// No byte of it can have reached the log.
    not_sent,
    /// The answer was lost: the record may stand in the log.
    lost
};

} // namespace camphorpoint
