#pragma once

#include "Config/config_messages.hpp"

#include <cstddef>
#include <deque>
#include <vector>

namespace camphorpoint {

/// The latest records, kept for peers that are behind.
class record_buffer {
public:
    /// The most bytes that are kept, whatever the number of records.
    static constexpr std::size_t most_bytes = 1U << 20U;

    /// @param most_records how many records are kept
    explicit record_buffer(std::size_t most_records)
        : most_records_(most_records) {}

    /// Keeps a record, which follows on the one before.
    void push(copied_record record);
    /// @param from       the first offset wanted
    /// @param byte_limit bound of what is returned, but for a first record
    /// @returns records from there on; none when `from` is no longer kept
    std::vector<copied_record>
    copy_from(log_offset from, std::size_t byte_limit) const;
    /// Drops everything, since the next record does not follow on.
    void clear();

private:
    std::size_t most_records_;
    std::size_t bytes_ = 0;
    std::deque<copied_record> records_;
};

} // namespace camphorpoint
