#include "Config/record_buffer.hpp"

#include <cassert>
#include <utility>

namespace camphorpoint {

namespace {

/// What a record costs besides its text.
constexpr std::size_t record_overhead = 64;

std::size_t size_of(copied_record const& record) {
    return record.data.size() + record_overhead;
}

} // namespace

void record_buffer::push(copied_record record) {
    assert(
        (records_.empty() ||
         records_.back().offset.value + 1 == record.offset.value) &&
        "kept records have no gap");
    bytes_ += size_of(record);
    records_.push_back(std::move(record));
    while (records_.size() > most_records_ || bytes_ > most_bytes) {
        bytes_ -= size_of(records_.front());
        records_.pop_front();
    }
}

std::vector<copied_record>
record_buffer::copy_from(log_offset from, std::size_t byte_limit) const {
    std::vector<copied_record> result;
    if (records_.empty() || from < records_.front().offset) {
        return result;
    }
    std::size_t bytes = 0;
    std::uint64_t const skipped = from.value - records_.front().offset.value;
    for (std::size_t index = skipped; index < records_.size(); ++index) {
        bytes += size_of(records_[index]);
        if (bytes > byte_limit && !result.empty()) {
            break;
        }
        result.push_back(records_[index]);
    }
    return result;
}

void record_buffer::clear() {
    records_.clear();
    bytes_ = 0;
}

} // namespace camphorpoint
