#include "Ownership/pending_appends.hpp"

#include <algorithm>
#include <utility>

namespace camphorpoint {

std::uint64_t pending_appends::begin(control_record record, instant now) {
    std::uint64_t const number = next_++;
    record.append = number;
    pending_append entry;
    entry.record = std::move(record);
    entry.started_at = now;
    pending_.emplace(number, std::move(entry));
    return number;
}

bool pending_appends::started_here(std::uint64_t append) const noexcept {
    return append >= first_ && append < next_;
}

std::optional<pending_append> pending_appends::read_back(std::uint64_t append) {
    auto const found = pending_.find(append);
    if (found == pending_.end()) {
        return std::nullopt;
    }
    pending_append result = std::move(found->second);
    pending_.erase(found);
    return result;
}

void pending_appends::on_answered(std::uint64_t append, instant now) {
    auto const found = pending_.find(append);
    if (found != pending_.end()) {
        found->second.answered_at = now;
    }
}

void pending_appends::on_lost(std::uint64_t append, instant now) {
    auto const found = pending_.find(append);
    if (found != pending_.end() && !found->second.lost_at) {
        found->second.lost_at = now;
    }
}

void pending_appends::expire(duration limit, instant now) {
    for (auto& [number, each] : pending_) {
        if (!each.answered_at && !each.lost_at &&
            now - each.started_at >= limit) {
            each.lost_at = now;
        }
    }
}

std::vector<pending_append>
pending_appends::drain_absent(instant read_started, duration lag) {
    std::vector<pending_append> result;
    std::erase_if(pending_, [&](auto const& item) {
        pending_append const& each = item.second;
        if (!each.lost_at || read_started < *each.lost_at + lag) {
            return false;
        }
        result.push_back(each);
        return true;
    });
    return result;
}

bool pending_appends::claims(resource_id const& resource) const {
    return std::ranges::any_of(pending_, [&](auto const& item) {
        return std::ranges::find(
                   item.second.record.claims, resource, &claim::resource) !=
               item.second.record.claims.end();
    });
}

} // namespace camphorpoint
