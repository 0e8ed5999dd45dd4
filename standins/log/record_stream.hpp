#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace standins {

/// How long and how many records a stream keeps.
struct retention {
    std::size_t records = 1'000'000;
    std::chrono::milliseconds age{24LL * 3'600'000};
};

/// One kept record.
struct kept_record {
    std::uint64_t offset = 0;
    std::chrono::milliseconds appended{};
    std::string data;
};

/// What a read finds.
struct read_answer {
    std::uint64_t first = 0;
    std::uint64_t head = 0;
    std::vector<kept_record> records;
};

/// An append-only stream with offsets from 0, whose old records expire.
class record_stream {
public:
    explicit record_stream(retention kept)
        : kept_(kept) {}

    /// @param data what to append
    /// @param now  the service's calendar clock, since 1970
    /// @returns the record's offset
    std::uint64_t append(std::string data, std::chrono::milliseconds now);
    /// Drops what has expired.
    void expire(std::chrono::milliseconds now);
    /// @param from  the first offset wanted; expired ones are left out
    /// @param limit how many records at the most
    read_answer read(std::uint64_t from, std::size_t limit) const;

private:
    retention kept_;
    std::uint64_t first_ = 0;
    std::deque<kept_record> records_;
};

} // namespace standins
