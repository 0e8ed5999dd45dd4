#include "Config/checkpoint_search.hpp"

#include "Config/config_record.hpp"
#include "Config/configuration.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

checkpoint_search::checkpoint_search(
    log_batch const& batch, std::uint64_t reach)
    : reach_(reach) {
    start(batch);
}

void checkpoint_search::start(log_batch const& batch) {
    std::uint64_t const head = batch.head.value;
    std::uint64_t const back = head > reach_ ? head - reach_ : 0;
    begin_ = log_offset{std::max(back, batch.first.value)};
    at_ = begin_;
    parts_.clear();
}

void checkpoint_search::widen(log_batch const& batch) {
    constexpr std::uint64_t growth = 4;
    reach_ *= growth;
    start(batch);
}

std::size_t checkpoint_search::take(log_batch const& batch) {
    std::size_t broken = 0;
    for (log_record const& record : batch.records) {
        if (record.offset != at_) {
            // Read before, or a late answer to a read that was given up.
            continue;
        }
        at_ = log_offset{record.offset.value + 1};
        decoded_record const decoded = decode(record.data);
        if (!decoded) {
            continue;
        }
        auto const* found = std::get_if<checkpoint_part>(&decoded.value());
        if (found == nullptr || found->part.covers > record.offset) {
            // Nobody can have applied records from after this one.
            continue;
        }
        std::optional<configuration_state> whole =
            parts_.add(found->writer.str(), found->part);
        if (!whole) {
            continue;
        }
        // A checkpoint whose digest is wrong must not hide a good one.
        if (!is_intact(*whole)) {
            ++broken;
        } else if (!best_ || whole->next > best_->next) {
            best_ = std::move(whole);
        }
    }
    return broken;
}

} // namespace camphorpoint
