#pragma once

#include "Records/log_record.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace camphorpoint::test {

/// The platform's log as tests switch it.
class fake_log {
public:
    /// True while nobody reaches the log.
    bool down = false;
    /// True while appends take effect but their answers are lost.
    bool loses_answers = false;

    /// @returns the record's offset
    log_offset append(log_stream stream, std::string data, wall_time now) {
        auto& records = streams_[stream];
        log_offset const offset{records.size()};
        records.push_back({offset, now, std::move(data)});
        return offset;
    }
    /// @returns the answer to a read
    log_batch read(log_stream stream, log_offset from, instant started) {
        constexpr std::size_t most = 256;
        auto const& records = streams_[stream];
        log_batch batch;
        batch.stream = stream;
        batch.from = from;
        batch.head = {records.size()};
        batch.read_started = started;
        for (std::size_t at = from.value;
             at < records.size() && batch.records.size() < most; ++at) {
            batch.records.push_back(records[at]);
        }
        return batch;
    }
    /// @returns the stream's records, oldest first
    std::vector<log_record> const& records(log_stream stream) {
        return streams_[stream];
    }

private:
    std::map<log_stream, std::vector<log_record>> streams_;
};

} // namespace camphorpoint::test
