#include "ReplicaControl/slot_tracker.hpp"

#include <algorithm>
#include <tuple>

namespace camphorpoint {

namespace {

/// Load requests that are not repeated for this long are dropped: the requests
/// that waited have been routed elsewhere. Nodes repeat load requests about
/// every 300 ms.
constexpr duration load_request_timeout = std::chrono::milliseconds(1'200);

} // namespace

void slot_tracker::request_load(
    adapter_ref const& adapter, load_priority priority, instant now) {
    if (ready(adapter)) {
        return;
    }
    auto const [it, added] = requests_.try_emplace(adapter.id);
    pending_request& entry = it->second;
    if (added) {
        entry.requested_at = now;
        entry.cached = is_cached(adapter.id);
    }
    entry.version = std::max(entry.version, adapter.version);
    entry.renewed_at = now;
    entry.priority = std::min(entry.priority, priority);
}

bool slot_tracker::has_capacity_for(
    adapter_id const& adapter, instant now) const {
    if (!has_report_ || slots_.contains(adapter) ||
        requests_.contains(adapter) || slots_.size() < limits_.slots) {
        return true;
    }
    return free_slots(now) > requests_.size();
}

unsigned slot_tracker::free_slots(instant now) const {
    auto const used_slots =
        std::ranges::count_if(slots_, [&](auto const& each) {
            slot const& entry = each.second;
            bool const is_unloading = entry.state == slot_state::unloading;
            bool const is_idle = entry.state == slot_state::resident &&
                                 idle(entry, now) &&
                                 !requests_.contains(each.first);
            return !is_unloading && !is_idle;
        });
    return limits_.slots -
           std::min(limits_.slots, static_cast<unsigned>(used_slots));
}

int slot_tracker::available_slots(instant now) const {
    auto const waiting =
        std::ranges::count_if(requests_, [&](auto const& each) {
            return each.second.priority != load_priority::prefetch &&
                   !command_pending(each.first);
        });
    return static_cast<int>(free_slots(now)) - static_cast<int>(waiting);
}

bool slot_tracker::is_cached(adapter_id const& id) const {
    return std::ranges::find(cached_adapters_, id) != cached_adapters_.end();
}

duration slot_tracker::expected_load_duration(adapter_id const& id) const {
    return is_cached(id) ? limiter_->cached_duration()
                         : limiter_->typical_duration();
}

duration slot_tracker::expected_wait(
    adapter_ref const& adapter, load_priority priority, instant now) const {
    if (ready(adapter)) {
        return duration::zero();
    }
    duration const load = expected_load_duration(adapter.id);
    auto const current = slots_.find(adapter.id);
    if (current != slots_.end() &&
        current->second.state == slot_state::loading) {
        return std::max(current->second.since + load - now, duration::zero());
    }
    forecast_input input;
    input.free_slots = free_slots(now);
    input.release_interval = releases_.mean_interval(now);
    input.load_duration = load;
    input.concurrent_loads = limiter_->loads_per_replica();
    pending_request candidate;
    candidate.priority = priority;
    candidate.cached = is_cached(adapter.id);
    candidate.requested_at = instant::max();
    // A request for an adapter that others already wait for shares their
    // position.
    auto const queued = requests_.find(adapter.id);
    if (queued != requests_.end()) {
        candidate.priority = std::min(priority, queued->second.priority);
        candidate.requested_at = queued->second.requested_at;
    }
    for (auto const& [id, each] : requests_) {
        auto const occupied = slots_.find(id);
        bool const is_loading = occupied != slots_.end() &&
                                occupied->second.state == slot_state::loading;
        if (id == adapter.id || is_loading || !precedes(each, candidate)) {
            continue;
        }
        ++input.requests_ahead;
        input.duration_ahead += expected_load_duration(id);
    }
    return time_to_ready(input);
}

std::optional<duration> slot_tracker::refused_wait(
    adapter_ref const& adapter, load_priority priority, duration wait_budget,
    instant now) const {
    duration const wait = expected_wait(adapter, priority, now);
    // Forecasts must not suppress the loads that would correct them: when loads
    // are estimated to take too long, none would be started and no newer
    // duration would be measured; if loads really take that long, no adapter
    // would ever be loaded. When a slot and the limiter allow an immediate
    // start, no other replica would have the adapter ready sooner.
    bool const can_start_now =
        available_slots(now) > 0 && limiter_->can_start();
    bool const accepted = priority == load_priority::prefetch
                              ? has_capacity_for(adapter.id, now)
                              : can_start_now || wait <= wait_budget;
    return accepted ? std::nullopt : std::optional(wait);
}

void slot_tracker::record_use(
    adapter_id const& adapter, bool running, instant now) {
    auto const found = slots_.find(adapter);
    if (found == slots_.end()) {
        return;
    }
    slot& entry = found->second;
    entry.last_used = now;
    entry.busy_until =
        now + (running ? limits_.use_timeout : limits_.cooldown_after_use);
    if (!running) {
        releases_.record(now);
    }
}

void slot_tracker::remove_expired_requests(instant now) {
    std::erase_if(requests_, [&](auto const& each) {
        return now >= each.second.renewed_at + load_request_timeout;
    });
}

bool slot_tracker::idle(slot const& entry, instant now) {
    return now >= entry.busy_until;
}

bool slot_tracker::precedes(
    pending_request const& left, pending_request const& right) {
    // A cached adapter loads in a tenth of the time and does not delay loads
    // from the store.
    return std::tuple(left.priority, !left.cached, left.requested_at) <
           std::tuple(right.priority, !right.cached, right.requested_at);
}

std::optional<adapter_id> slot_tracker::next_request(instant now) const {
    std::optional<adapter_id> best;
    pending_request const* best_request = nullptr;
    for (auto const& [id, each] : requests_) {
        auto const occupied = slots_.find(id);
        // A replacement waits for the adapter's running attempts, and the
        // replica accepts no other command meanwhile. An adapter in use
        // therefore stays unchanged, and the new version is loaded on another
        // replica.
        bool const blocked = occupied != slots_.end() &&
                             (occupied->second.state != slot_state::resident ||
                              !idle(occupied->second, now));
        if (blocked) {
            continue;
        }
        if (best_request == nullptr || precedes(each, *best_request)) {
            best = id;
            best_request = &each;
        }
    }
    return best;
}

std::optional<adapter_id> slot_tracker::eviction_candidate(instant now) const {
    std::optional<adapter_id> best;
    slot const* best_slot = nullptr;
    for (auto const& [id, each] : slots_) {
        // As with replacements, unloading an adapter in use would block every
        // other command.
        if (each.state != slot_state::resident || requests_.contains(id) ||
            !idle(each, now)) {
            continue;
        }
        if (best_slot == nullptr || each.last_used < best_slot->last_used) {
            best = id;
            best_slot = &each;
        }
    }
    return best;
}

} // namespace camphorpoint
