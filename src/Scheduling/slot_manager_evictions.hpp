#pragma once

#include "Scheduling/slot_manager.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint::internal {

// Member functions of slot_manager that evict adapters. An eviction has two
// steps: first the adapter receives no more grants; then, once no request can
// be running on it, it is evicted. The second step requires that all grants of
// this owner have ended and that a report measured after their end shows the
// adapter as idle.

template <eviction_policy Eviction>
bool slot_manager<Eviction>::confirmed_idle(
    replica_state const& state, adapter_ref const& adapter, instant since,
    instant now) const {
    if (state.grants.using_adapter(adapter) > 0) {
        return false;
    }
    // A report that was measured before the last grant ended, or before the
    // former owner's last grant could no longer be used, proves nothing: a
    // running request might not be in the report yet, and its adapter would be
    // evicted while it runs.
    instant const earliest_valid = std::max(since, state.grants_known_from);
    return slots_.reported_idle(adapter, earliest_valid) ||
           now >= earliest_valid + state.settings.longest_request;
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::rollout_protected(
    adapter_ref const& adapter, instant now) const {
    auto const known = protected_until_.find(adapter);
    if (known == protected_until_.end() || now >= known->second) {
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
           state.queue.waiting_for(adapter) == 0 &&
           !rollout_protected(adapter, now) &&
           confirmed_idle(state, adapter, each.idle_since, now);
}

template <eviction_policy Eviction>
double slot_manager<Eviction>::retention_value(
    replica_state const& state, adapter_ref const& adapter, slot const& each,
    instant now) const {
    adapter_record const& record = state.history.record_of(adapter);
    auto const next = successors_.find(adapter);
    eviction_candidate const candidate{
        .adapter = adapter,
        .requests_per_second = record.request_rate.per_second(now),
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
    double least_value = 0;
    for (auto const& [adapter, each] : slots_.all()) {
        if (!evictable(state, adapter, each, now)) {
            continue;
        }
        double const own = retention_value(state, adapter, each, now);
        if (!least || own < least_value) {
            least = adapter;
            least_value = own;
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
    send_command(
        state, engine_order_kind::evict, adapter, target,
        state.settings.evict_timeout, now);
    state.actions.emplace_back(
        observed_command{engine_order_kind::evict, false});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::drain_least_valuable(
    replica_state& state, instant now) {
    // Adapters in steady use would occupy all slots forever, and a request for
    // another adapter would wait until its deadline. Therefore the least
    // valuable adapter receives no more grants; it is evicted after its running
    // requests have completed.
    std::optional<adapter_ref> least;
    double least_value = 0;
    for (auto const& [adapter, each] : slots_.all()) {
        bool const may_drain = each.phase == slot_phase::resident &&
                               !rollout_protected(adapter, now);
        if (!may_drain) {
            continue;
        }
        double const own = retention_value(state, adapter, each, now);
        if (!least || own < least_value) {
            least = adapter;
            least_value = own;
        }
    }
    if (!least) {
        return;
    }
    slot& target = *slots_.find(*least);
    target.phase = slot_phase::draining;
    target.since = now;
    state.queue.block(*least, now);
    state.actions.emplace_back(log_event{
        event_code::slot_taken_by_force, log_level::info,
        fmt::format(
            "replica={} adapter={} version={}", state.settings.replica.str(),
            least->id.str(), least->version)});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::evict_drained(replica_state& state, instant now) {
    if (!state.may_command(now)) {
        return;
    }
    std::vector<adapter_ref> ready;
    for (auto const& [adapter, each] : slots_.all()) {
        if (each.phase == slot_phase::draining &&
            confirmed_idle(state, adapter, each.idle_since, now)) {
            ready.push_back(adapter);
        }
    }
    for (adapter_ref const& adapter : ready) {
        evict(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::resume_unneeded_drains(
    replica_state& state, instant now) {
    std::vector<adapter_ref> draining_adapters;
    for (auto const& [adapter, each] : slots_.all()) {
        if (each.phase == slot_phase::draining) {
            draining_adapters.push_back(adapter);
        }
    }
    if (draining_adapters.empty()) {
        return;
    }
    // While the authority of this owner has expired, no evict command can be
    // sent. A draining adapter would stay unavailable for as long as the log is
    // down.
    auto const slot_needed = std::ranges::any_of(
        state.queue.all_blocked(),
        [&](blocked_group const& each) { return !slots_.find(each.adapter); });
    if (slot_needed && state.may_command(now)) {
        return;
    }
    for (adapter_ref const& adapter : draining_adapters) {
        resume(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::evict_for_permissions(
    replica_state& state, instant now) {
    auto const permitted = static_cast<std::size_t>(
        std::ranges::count_if(load_requests_, [](auto const& each) {
            return each.second.permission != 0;
        }));
    std::size_t upcoming_slots =
        free_slots(state) + slots_.count(slot_phase::evicting);
    while (upcoming_slots < permitted && state.may_command(now)) {
        auto const least = victim(state, now);
        if (!least) {
            return;
        }
        evict(state, *least, now);
        ++upcoming_slots;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::resume(
    replica_state& state, adapter_ref const& adapter, instant now) {
    slot& target = *slots_.find(adapter);
    target = {.phase = slot_phase::resident, .since = now, .idle_since = now};
    state.queue.unblock(adapter, now);
}

} // namespace camphorpoint::internal
