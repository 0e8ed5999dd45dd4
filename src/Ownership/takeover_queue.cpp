#include "Ownership/takeover_queue.hpp"

#include <cassert>

namespace camphorpoint {

void takeover_queue::add(resource_id const& resource, instant now) {
    if (since_.emplace(resource, now).second) {
        unranked_.insert(resource);
    }
}

void takeover_queue::remove(resource_id const& resource) {
    since_.erase(resource);
    unranked_.erase(resource);
    unschedule(resource);
}

void takeover_queue::clear() {
    since_.clear();
    unranked_.clear();
    due_of_.clear();
    by_due_.clear();
}

void takeover_queue::rerank_all() {
    for (auto const& [resource, due] : due_of_) {
        unranked_.insert(resource);
    }
    due_of_.clear();
    by_due_.clear();
}

std::vector<resource_id> takeover_queue::drain_unranked(std::size_t limit) {
    std::vector<resource_id> result;
    while (!unranked_.empty() && result.size() < limit) {
        result.push_back(*unranked_.begin());
        unranked_.erase(unranked_.begin());
    }
    return result;
}

void takeover_queue::schedule(resource_id const& resource, duration after) {
    auto const found = since_.find(resource);
    assert(found != since_.end() && "only a queued resource can be scheduled");
    postpone(resource, found->second + after);
}

void takeover_queue::postpone(resource_id const& resource, instant due) {
    unschedule(resource);
    due_of_[resource] = due;
    by_due_[due].insert(resource);
}

std::vector<resource_id>
takeover_queue::drain_due(instant now, std::size_t limit) {
    std::vector<resource_id> result;
    while (!by_due_.empty() && by_due_.begin()->first <= now &&
           result.size() < limit) {
        resource_id const next = *by_due_.begin()->second.begin();
        unschedule(next);
        result.push_back(next);
    }
    return result;
}

instant takeover_queue::since(resource_id const& resource) const {
    auto const found = since_.find(resource);
    assert(found != since_.end() && "only a queued resource has a start time");
    return found->second;
}

void takeover_queue::unschedule(resource_id const& resource) {
    auto const found = due_of_.find(resource);
    if (found == due_of_.end()) {
        return;
    }
    auto const bucket = by_due_.find(found->second);
    bucket->second.erase(resource);
    if (bucket->second.empty()) {
        by_due_.erase(bucket);
    }
    due_of_.erase(found);
}

} // namespace camphorpoint
