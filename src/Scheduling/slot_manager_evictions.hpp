#pragma once

#include "Scheduling/slot_manager.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint::internal {

// Evictions of slot_manager. An eviction has two steps: the adapter gets no
// more grants, and it is evicted only once nothing can be running on it by
// this owner's grants and by a report that was measured after they ended.

template <eviction_policy Eviction>
bool slot_manager<Eviction>::confirmed_idle(
    replica_state const& state, adapter_ref const& adapter, instant since,
    instant now) const {
    if (state.grants.using_adapter(adapter) > 0) {
        return false;
    }
    // A report from before the last grant ended, or from before the former
    // owner's last grant could be sent, says nothing: the adapter would be
    // evicted under a request that the report did not see yet.
    instant const certain = std::max(since, state.grants_known_from);
    return slots_.reported_idle(adapter, certain) ||
           now >= certain + state.settings.longest_request;
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::guarded(
    adapter_ref const& adapter, instant now) const {
    auto const known = guarded_until_.find(adapter);
    if (known == guarded_until_.end() || now >= known->second) {
        return false;
    }
    auto const next = successors_.find(adapter);
    return next != successors_.end() && !grantable(next->second);
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::evictable(
    replica_state const& state, adapter_ref const& adapter, slot const& each,
    instant now) const {
    return each.phase == slot_phase::resident &&
           state.queue.waiting_for(adapter) == 0 && !guarded(adapter, now) &&
           confirmed_idle(state, adapter, each.idle_since, now);
}

template <eviction_policy Eviction>
double slot_manager<Eviction>::retention_value(
    replica_state const& state, adapter_ref const& adapter, slot const& each,
    instant now) const {
    adapter_record const& record = state.history.of(adapter);
    auto const next = successors_.find(adapter);
    eviction_candidate const candidate{
        .adapter = adapter,
        .requests_per_second = record.asks.per_second(now),
        .last_request = record.last_request,
        .previous_request = record.previous_request,
        .loaded = each.since,
        .superseded = next != successors_.end() && grantable(next->second)};
    return eviction_.retention_value(candidate, now);
}

template <eviction_policy Eviction>
std::optional<adapter_ref>
slot_manager<Eviction>::victim(replica_state const& state, instant now) const {
    std::optional<adapter_ref> least;
    double least_worth = 0;
    for (auto const& [adapter, each] : slots_.all()) {
        if (!evictable(state, adapter, each, now)) {
            continue;
        }
        double const own = retention_value(state, adapter, each, now);
        if (!least || own < least_worth) {
            least = adapter;
            least_worth = own;
        }
    }
    return least;
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::evict(
    replica_state& state, adapter_ref const& adapter, instant now) {
    slot& target = *slots_.find(adapter);
    target.phase = slot_phase::evicting;
    target.since = now;
    send_order(
        state, engine_order_kind::evict, adapter, target,
        state.settings.evict_timeout, now);
    state.actions.emplace_back(
        observed_command{engine_order_kind::evict, false});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::stop_one_by_force(
    replica_state& state, instant now) {
    // Adapters in steady use would keep all slots for good, and a request for
    // another would wait until its deadline. So the least used one gets no
    // more grants; what runs on it ends before it is evicted.
    std::optional<adapter_ref> least;
    double least_worth = 0;
    for (auto const& [adapter, each] : slots_.all()) {
        bool const possible =
            each.phase == slot_phase::resident && !guarded(adapter, now);
        if (!possible) {
            continue;
        }
        double const own = retention_value(state, adapter, each, now);
        if (!least || own < least_worth) {
            least = adapter;
            least_worth = own;
        }
    }
    if (!least) {
        return;
    }
    slot& target = *slots_.find(*least);
    target.phase = slot_phase::stopping;
    target.since = now;
    state.queue.close(*least, now);
    state.actions.emplace_back(log_event{
        event_code::slot_taken_by_force, log_level::info,
        fmt::format(
            "replica={} adapter={} version={}", state.settings.replica.str(),
            least->id.str(), least->version)});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::evict_stopped(replica_state& state, instant now) {
    if (!state.may_command(now)) {
        return;
    }
    std::vector<adapter_ref> ready;
    for (auto const& [adapter, each] : slots_.all()) {
        if (each.phase == slot_phase::stopping &&
            confirmed_idle(state, adapter, each.idle_since, now)) {
            ready.push_back(adapter);
        }
    }
    for (adapter_ref const& adapter : ready) {
        evict(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::resume_needless_stops(
    replica_state& state, instant now) {
    std::vector<adapter_ref> stopped;
    for (auto const& [adapter, each] : slots_.all()) {
        if (each.phase == slot_phase::stopping) {
            stopped.push_back(adapter);
        }
    }
    if (stopped.empty()) {
        return;
    }
    // While authority has lapsed no eviction can follow: a stopped adapter
    // would stay unserved for as long as the log is down.
    auto const others = std::ranges::any_of(
        state.queue.all_blocked(),
        [&](blocked_group const& each) { return !slots_.find(each.adapter); });
    if (others && state.may_command(now)) {
        return;
    }
    for (adapter_ref const& adapter : stopped) {
        resume(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::make_room(replica_state& state, instant now) {
    auto const permitted = static_cast<std::size_t>(std::ranges::count_if(
        wants_, [](auto const& each) { return each.second.permission != 0; }));
    std::size_t coming = free_slots(state) + slots_.count(slot_phase::evicting);
    while (coming < permitted && state.may_command(now)) {
        auto const least = victim(state, now);
        if (!least) {
            return;
        }
        evict(state, *least, now);
        ++coming;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::resume(
    replica_state& state, adapter_ref const& adapter, instant now) {
    slot& target = *slots_.find(adapter);
    target = {.phase = slot_phase::resident, .since = now, .idle_since = now};
    state.queue.open(adapter, now);
}

} // namespace camphorpoint::internal
