#pragma once

#include <cassert>
#include <cstddef>

namespace camphorpoint::internal {

/// Counts the records and the bytes of stored answers in all key tables of one
/// node, and compares them with the node's limits.
class key_memory {
public:
    key_memory(std::size_t most_records, std::size_t most_answer_bytes)
        : most_records_(most_records)
        , most_answer_bytes_(most_answer_bytes) {}

    /// @returns true while another record may be added
    bool has_capacity() const noexcept { return records_ < most_records_; }
    /// @returns true while the stored answers exceed their limit in bytes
    bool answers_over_limit() const noexcept {
        return answer_bytes_ > most_answer_bytes_;
    }
    void add_records(std::size_t count) noexcept { records_ += count; }
    void drop_records(std::size_t count) noexcept {
        assert(records_ >= count && "more records dropped than were added");
        records_ -= count;
    }
    void add_answer(std::size_t bytes) noexcept { answer_bytes_ += bytes; }
    void drop_answer(std::size_t bytes) noexcept {
        assert(answer_bytes_ >= bytes && "more bytes dropped than were added");
        answer_bytes_ -= bytes;
    }
    std::size_t records() const noexcept { return records_; }
    std::size_t answer_bytes() const noexcept { return answer_bytes_; }

private:
    std::size_t most_records_;
    std::size_t most_answer_bytes_;
    std::size_t records_ = 0;
    std::size_t answer_bytes_ = 0;
};

} // namespace camphorpoint::internal
