#include "Scheduling/waiting_queue.hpp"

#include <algorithm>
#include <cassert>

namespace camphorpoint::internal {

namespace {

std::size_t index_of(urgency value) {
    return static_cast<std::size_t>(value);
}

} // namespace

void waiting_queue::add(waiting_request request, bool ready, instant now) {
    assert(
        !by_id_.contains(request.message.request) &&
        "the request is already in the queue");
    std::uint64_t const sequence = next_sequence_++;
    std::size_t const index = index_of(request.message.how_urgent);
    by_id_.emplace(request.message.request, sequence);
    by_latest_start_.insert({request.latest_start, sequence});
    group& own = groups_[request.message.adapter];
    own.members.insert(sequence);
    ++own.counts[index];
    ++sizes_[index];
    request.ready = false;
    request.blocked_since = now;
    adapter_ref const adapter = request.message.adapter;
    by_sequence_.emplace(sequence, std::move(request));
    if (ready) {
        make_ready(sequence, now);
    } else {
        blocked_.insert(adapter);
    }
}

std::optional<waiting_request> waiting_queue::remove(request_id const& id) {
    auto const known = by_id_.find(id);
    if (known == by_id_.end()) {
        return std::nullopt;
    }
    std::uint64_t const sequence = known->second;
    by_id_.erase(known);
    auto const entry = by_sequence_.find(sequence);
    waiting_request request = std::move(entry->second);
    by_sequence_.erase(entry);
    std::size_t const index = index_of(request.message.how_urgent);
    by_latest_start_.erase({request.latest_start, sequence});
    --sizes_[index];
    remove_from_ready(sequence, request);
    auto const own = groups_.find(request.message.adapter);
    own->second.members.erase(sequence);
    --own->second.counts[index];
    if (own->second.members.empty()) {
        blocked_.erase(request.message.adapter);
        groups_.erase(own);
    }
    return request;
}

waiting_request const* waiting_queue::find(request_id const& id) const {
    auto const known = by_id_.find(id);
    return known == by_id_.end() ? nullptr : &by_sequence_.at(known->second);
}

void waiting_queue::make_ready(std::uint64_t sequence, instant now) {
    waiting_request& request = by_sequence_.at(sequence);
    if (request.ready) {
        return;
    }
    request.ready = true;
    request.stalled += now - request.blocked_since;
    std::vector<key>& keys = ready_[index_of(request.message.how_urgent)];
    key const own{request.deadline, sequence};
    keys.insert(std::ranges::lower_bound(keys, own), own);
}

void waiting_queue::remove_from_ready(
    std::uint64_t sequence, waiting_request const& request) {
    if (!request.ready) {
        return;
    }
    std::vector<key>& keys = ready_[index_of(request.message.how_urgent)];
    keys.erase(std::ranges::lower_bound(keys, key{request.deadline, sequence}));
}

void waiting_queue::make_blocked(std::uint64_t sequence, instant now) {
    waiting_request& request = by_sequence_.at(sequence);
    if (!request.ready) {
        return;
    }
    remove_from_ready(sequence, request);
    request.ready = false;
    request.blocked_since = now;
}

void waiting_queue::unblock(adapter_ref const& adapter, instant now) {
    auto const own = groups_.find(adapter);
    if (own == groups_.end()) {
        return;
    }
    blocked_.erase(adapter);
    for (std::uint64_t const sequence : own->second.members) {
        make_ready(sequence, now);
    }
}

void waiting_queue::block(adapter_ref const& adapter, instant now) {
    auto const own = groups_.find(adapter);
    if (own == groups_.end()) {
        return;
    }
    blocked_.insert(adapter);
    for (std::uint64_t const sequence : own->second.members) {
        make_blocked(sequence, now);
    }
}

waiting_request const* waiting_queue::first_ready(urgency which) const {
    std::vector<key> const& keys = ready_[index_of(which)];
    return keys.empty() ? nullptr : &by_sequence_.at(keys.front().sequence);
}

std::size_t waiting_queue::ready(urgency which) const {
    return ready_[index_of(which)].size();
}

std::size_t waiting_queue::size(urgency which) const {
    return sizes_[index_of(which)];
}

std::size_t waiting_queue::count_ahead(urgency which, instant deadline) const {
    std::size_t count = 0;
    for (std::size_t index = 0; index < index_of(which); ++index) {
        count += ready_[index].size();
    }
    std::vector<key> const& own = ready_[index_of(which)];
    auto const position =
        std::ranges::lower_bound(own, key{deadline, next_sequence_});
    return count + static_cast<std::size_t>(position - own.begin());
}

std::size_t waiting_queue::waiting_for(adapter_ref const& adapter) const {
    auto const own = groups_.find(adapter);
    return own == groups_.end() ? 0 : own->second.members.size();
}

waiting_request const* waiting_queue::first_late(instant now) const {
    bool const any =
        !by_latest_start_.empty() && by_latest_start_.begin()->when < now;
    return any ? &by_sequence_.at(by_latest_start_.begin()->sequence) : nullptr;
}

blocked_group waiting_queue::describe(
    adapter_ref const& adapter, group const& members) const {
    blocked_group result;
    result.adapter = adapter;
    result.waiting = static_cast<std::uint32_t>(members.members.size());
    for (std::size_t index = 0; index < urgency_count; ++index) {
        if (members.counts[index] > 0) {
            result.how_urgent = static_cast<urgency>(index);
            break;
        }
    }
    result.oldest = by_sequence_.at(*members.members.begin()).arrived;
    return result;
}

std::optional<blocked_group>
waiting_queue::blocked(adapter_ref const& adapter) const {
    if (!blocked_.contains(adapter)) {
        return std::nullopt;
    }
    return describe(adapter, groups_.at(adapter));
}

std::vector<blocked_group> waiting_queue::all_blocked() const {
    std::vector<blocked_group> result;
    result.reserve(blocked_.size());
    for (adapter_ref const& each : blocked_) {
        result.push_back(describe(each, groups_.at(each)));
    }
    return result;
}

std::vector<request_id>
waiting_queue::ids_waiting_for(adapter_ref const& adapter) const {
    std::vector<request_id> result;
    auto const own = groups_.find(adapter);
    if (own == groups_.end()) {
        return result;
    }
    for (std::uint64_t const sequence : own->second.members) {
        result.push_back(by_sequence_.at(sequence).message.request);
    }
    return result;
}

std::vector<request_id> waiting_queue::all_ids() const {
    std::vector<std::uint64_t> order;
    order.reserve(by_sequence_.size());
    for (auto const& each : by_sequence_) {
        order.push_back(each.first);
    }
    std::ranges::sort(order);
    std::vector<request_id> result;
    result.reserve(order.size());
    for (std::uint64_t const sequence : order) {
        result.push_back(by_sequence_.at(sequence).message.request);
    }
    return result;
}

std::vector<request_id> waiting_queue::ids_from(node_id const& node) const {
    std::vector<request_id> result = all_ids();
    std::erase_if(
        result, [&](request_id const& id) { return find(id)->from != node; });
    return result;
}

} // namespace camphorpoint::internal
