#include "log/record_stream.hpp"

#include <algorithm>
#include <utility>

namespace standins {

std::uint64_t
record_stream::append(std::string data, std::chrono::milliseconds now) {
    std::uint64_t const offset = first_ + records_.size();
    records_.push_back({offset, now, std::move(data)});
    expire(now);
    return offset;
}

void record_stream::expire(std::chrono::milliseconds now) {
    auto const expired = [&](kept_record const& each) {
        return now - each.appended > kept_.age;
    };
    while (!records_.empty() &&
           (records_.size() > kept_.records || expired(records_.front()))) {
        records_.pop_front();
        ++first_;
    }
}

read_answer record_stream::read(std::uint64_t from, std::size_t limit) const {
    read_answer answer;
    answer.first = first_;
    answer.head = first_ + records_.size();
    std::uint64_t const start = std::max(from, first_);
    std::uint64_t const end = std::min<std::uint64_t>(
        answer.head, start + std::min<std::uint64_t>(limit, records_.size()));
    for (std::uint64_t at = start; at < end; ++at) {
        answer.records.push_back(records_[at - first_]);
    }
    return answer;
}

} // namespace standins
