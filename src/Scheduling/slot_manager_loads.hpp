#pragma once

#include "Scheduling/slot_manager.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint::internal {

// Member functions of slot_manager that send load requests, and the events that
// change them.

template <eviction_policy Eviction>
bool slot_manager<Eviction>::grantable(adapter_ref const& adapter) const {
    slot const* const known = slots_.find(adapter);
    return known && known->phase == slot_phase::resident;
}

template <eviction_policy Eviction>
std::size_t
slot_manager<Eviction>::free_slots(replica_state const& state) const {
    std::size_t const all = state.settings.adapter_slots;
    return all - std::min(all, slots_.size());
}

template <eviction_policy Eviction>
std::size_t slot_manager<Eviction>::available_slots(
    replica_state const& state, instant now) const {
    auto const idle = std::ranges::count_if(slots_.all(), [&](auto const& e) {
        return evictable(state, e.first, e.second, now);
    });
    std::size_t const all = free_slots(state) +
                            slots_.count(slot_phase::evicting) +
                            static_cast<std::size_t>(idle);
    // Prefetches yield to loads that queued requests wait for.
    auto const awaited_loads = std::ranges::count_if(
        load_requests_, [](auto const& each) { return !each.second.prefetch; });
    return all - std::min(all, static_cast<std::size_t>(awaited_loads));
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::may_request_load(
    replica_state const& state, adapter_ref const& adapter, instant now) const {
    return state.owned && !slots_.find(adapter) &&
           !load_requests_.contains(adapter) &&
           state.history.may_load(adapter, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_blocked(
    replica_state& state, adapter_ref const& adapter, instant now) {
    auto const known = load_requests_.find(adapter);
    bool const upgraded = known != load_requests_.end() &&
                          known->second.prefetch &&
                          known->second.permission == 0;
    if (upgraded) {
        submit_load_request(state, adapter, known->second, now);
        return;
    }
    if (may_request_load(state, adapter, now) &&
        available_slots(state, now) > 0) {
        add_load_request(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::add_load_request(
    replica_state& state, adapter_ref const& adapter, instant now) {
    pending_load_request& request = load_requests_[adapter];
    request.requested = now;
    submit_load_request(state, adapter, request, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::submit_load_request(
    replica_state& state, adapter_ref const& adapter,
    pending_load_request& request, instant now) {
    using std::chrono::milliseconds;
    request.last_sent = now;
    load_request message;
    message.replica = state.settings.replica;
    message.adapter = adapter;
    message.how_urgent = urgency::background;
    message.expected_demand = state.history.rate(adapter, now);
    if (auto const group = state.queue.blocked(adapter)) {
        message.how_urgent = group->how_urgent;
        message.waiting = group->waiting;
        message.oldest_wait =
            std::chrono::duration_cast<milliseconds>(now - group->oldest);
    }
    request.prefetch = message.is_prefetch();
    state.actions.emplace_back(send_load_request{message});
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::still_needed(
    replica_state const& state, adapter_ref const& adapter, instant now) const {
    auto const prefetch_entry = prefetches_.find(adapter);
    return state.queue.waiting_for(adapter) > 0 ||
           (prefetch_entry != prefetches_.end() &&
            now < prefetch_entry->second);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::return_permission(
    replica_state& state, adapter_ref const& adapter,
    std::uint64_t permission) {
    load_result message;
    message.replica = state.settings.replica;
    message.adapter = adapter;
    message.permission = permission;
    message.started = false;
    state.actions.emplace_back(send_load_result{message});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::cancel_load_request(
    replica_state& state, adapter_ref const& adapter,
    pending_load_request const& request) {
    if (request.permission != 0) {
        return_permission(state, adapter, request.permission);
        return;
    }
    state.actions.emplace_back(
        send_load_cancelled{{state.settings.replica, adapter}});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::refresh_load_requests(
    replica_state& state, instant now) {
    for (auto each = load_requests_.begin(); each != load_requests_.end();) {
        auto& [adapter, request] = *each;
        bool const lapsed =
            request.permission != 0 && now >= request.valid_until;
        if (lapsed || !still_needed(state, adapter, now)) {
            cancel_load_request(state, adapter, request);
            each = load_requests_.erase(each);
            continue;
        }
        bool const due =
            now - request.last_sent >= state.settings.load_request_interval;
        if (request.permission == 0 && due) {
            submit_load_request(state, adapter, request, now);
        }
        ++each;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::plan(replica_state& state, instant now) {
    if (!state.owned) {
        return;
    }
    resume_unneeded_drains(state, now);
    evict_drained(state, now);
    evict_for_permissions(state, now);
    use_permissions(state, now);
    plan_blocked(state, now);
    plan_prefetches(state, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::plan_blocked(replica_state& state, instant now) {
    std::vector<blocked_group> groups = state.queue.all_blocked();
    std::erase_if(groups, [&](blocked_group const& each) {
        return !may_request_load(state, each.adapter, now);
    });
    if (groups.empty()) {
        return;
    }
    std::ranges::stable_sort(groups, [](auto const& left, auto const& right) {
        if (left.how_urgent != right.how_urgent) {
            return left.how_urgent < right.how_urgent;
        }
        return left.oldest < right.oldest;
    });
    std::size_t slots_left = available_slots(state, now);
    instant oldest = now;
    for (blocked_group const& each : groups) {
        if (slots_left > 0) {
            --slots_left;
            add_load_request(state, each.adapter, now);
        } else {
            oldest = std::min(oldest, each.oldest);
        }
    }
    bool const waited_too_long =
        now - oldest >= state.settings.blocked_wait_limit;
    bool const already_draining = slots_.count(slot_phase::draining) > 0;
    if (waited_too_long && !already_draining && state.may_command(now)) {
        drain_least_valuable(state, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::plan_prefetches(
    replica_state& state, instant now) {
    std::erase_if(
        prefetches_, [&](auto const& each) { return now >= each.second; });
    for (auto const& [adapter, until] : prefetches_) {
        if (!may_request_load(state, adapter, now)) {
            continue;
        }
        // A prefetch uses a free slot or displaces an adapter in lower demand,
        // never one in higher demand.
        bool const free = free_slots(state) > load_requests_.size();
        auto const least = free ? std::nullopt : victim(state, now);
        bool const in_higher_demand =
            least &&
            state.history.rate(*least, now) < state.history.rate(adapter, now);
        if (free || (in_higher_demand && available_slots(state, now) > 0)) {
            add_load_request(state, adapter, now);
        }
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_idle(adapter_ref const& adapter, instant now) {
    if (slot* const known = slots_.find(adapter)) {
        known->idle_since = now;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_report(
    replica_state& state, engine_report const& report, instant now) {
    auto const changes = slots_.on_report(report, now - report.age, now);
    for (slot_change const& each : changes) {
        apply_change(state, each, now);
    }
    plan(state, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_load_allowed(
    replica_state& state, load_allowed const& message, instant now) {
    auto const known = load_requests_.find(message.adapter);
    if (known == load_requests_.end() || known->second.permission != 0) {
        return_permission(state, message.adapter, message.permission);
        return;
    }
    known->second.permission = message.permission;
    known->second.valid_until = now + message.valid_for;
    plan(state, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_load_denied(
    replica_state&, load_denied const& message, instant now) {
    store_paused_until_ = now + message.retry_after;
}

template <eviction_policy Eviction>
duration slot_manager<Eviction>::store_pause(instant now) const {
    return std::max(duration{}, store_paused_until_ - now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_version_change(
    replica_state& state, adapter_ref const& from, adapter_ref const& to,
    instant now) {
    constexpr std::chrono::seconds rollout_time{30};
    if (!slots_.find(from)) {
        return;
    }
    successors_.insert_or_assign(from, to);
    protected_until_.insert_or_assign(from, now + rollout_time);
    state.history.record_rate(to, state.history.rate(from, now), now);
    if (state.settings.prefetch_adapters && !slots_.find(to)) {
        prefetches_.insert_or_assign(to, now + rollout_time);
    }
    plan(state, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_cold_start(replica_state& state, instant now) {
    constexpr std::chrono::seconds prefetch_time{60};
    for (auto const& [adapter, each] : slots_.all()) {
        report_load_result(state, adapter, each, true, false, now);
        state.queue.block(adapter, now);
        bool const prefetch_again = each.phase == slot_phase::resident &&
                                    state.settings.prefetch_adapters;
        if (prefetch_again) {
            prefetches_.insert_or_assign(adapter, now + prefetch_time);
        }
    }
    slots_.clear();
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_authority_lost(
    replica_state& state, instant now) {
    for (auto const& [adapter, request] : load_requests_) {
        cancel_load_request(state, adapter, request);
    }
    // A load in progress continues; the next owner learns of it from the
    // engine's report. The budget of the weight store must not wait for its
    // completion.
    for (auto const& [adapter, each] : slots_.all()) {
        report_load_result(state, adapter, each, true, false, now);
    }
    load_requests_.clear();
    prefetches_.clear();
    successors_.clear();
    protected_until_.clear();
    slots_.clear();
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_tick(replica_state& state, instant now) {
    refresh_load_requests(state, now);
    time_out_commands(state, now);
    plan(state, now);
}

} // namespace camphorpoint::internal
