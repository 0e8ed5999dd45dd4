#pragma once

#include "Scheduling/slot_manager.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint::internal {

// Wants of slot_manager, and the events that change them.

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
std::size_t
slot_manager<Eviction>::room(replica_state const& state, instant now) const {
    auto const idle = std::ranges::count_if(slots_.all(), [&](auto const& e) {
        return evictable(state, e.first, e.second, now);
    });
    std::size_t const all = free_slots(state) +
                            slots_.count(slot_phase::evicting) +
                            static_cast<std::size_t>(idle);
    // Loads ahead of demand give way to those that somebody waits for.
    auto const waited_for = std::ranges::count_if(
        wants_, [](auto const& each) { return !each.second.prefetch; });
    return all - std::min(all, static_cast<std::size_t>(waited_for));
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::may_want(
    replica_state const& state, adapter_ref const& adapter, instant now) const {
    return state.owned && !slots_.find(adapter) && !wants_.contains(adapter) &&
           state.history.may_load(adapter, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_blocked(
    replica_state& state, adapter_ref const& adapter, instant now) {
    auto const known = wants_.find(adapter);
    bool const upgraded = known != wants_.end() && known->second.prefetch &&
                          known->second.permission == 0;
    if (upgraded) {
        tell_store(state, adapter, known->second, now);
        return;
    }
    if (may_want(state, adapter, now) && room(state, now) > 0) {
        ask_store(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::ask_store(
    replica_state& state, adapter_ref const& adapter, instant now) {
    pending_load_request& want = wants_[adapter];
    want.asked = now;
    tell_store(state, adapter, want, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::tell_store(
    replica_state& state, adapter_ref const& adapter,
    pending_load_request& want, instant now) {
    using std::chrono::milliseconds;
    want.told = now;
    load_request ask;
    ask.replica = state.settings.replica;
    ask.adapter = adapter;
    ask.how_urgent = urgency::background;
    ask.expected_demand = state.history.rate(adapter, now);
    if (auto const group = state.queue.blocked(adapter)) {
        ask.how_urgent = group->how_urgent;
        ask.waiting = group->waiting;
        ask.oldest_wait =
            std::chrono::duration_cast<milliseconds>(now - group->oldest);
    }
    want.prefetch = ask.is_prefetch();
    state.actions.emplace_back(send_load_request{ask});
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::still_wanted(
    replica_state const& state, adapter_ref const& adapter, instant now) const {
    auto const warm = warming_.find(adapter);
    return state.queue.waiting_for(adapter) > 0 ||
           (warm != warming_.end() && now < warm->second);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::give_back(
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
void slot_manager<Eviction>::drop_want(
    replica_state& state, adapter_ref const& adapter,
    pending_load_request const& want) {
    if (want.permission != 0) {
        give_back(state, adapter, want.permission);
        return;
    }
    state.actions.emplace_back(
        send_load_cancelled{{state.settings.replica, adapter}});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::refresh_wants(replica_state& state, instant now) {
    for (auto each = wants_.begin(); each != wants_.end();) {
        auto& [adapter, want] = *each;
        bool const lapsed = want.permission != 0 && now >= want.valid_until;
        if (lapsed || !still_wanted(state, adapter, now)) {
            drop_want(state, adapter, want);
            each = wants_.erase(each);
            continue;
        }
        bool const due =
            now - want.told >= state.settings.load_request_interval;
        if (want.permission == 0 && due) {
            tell_store(state, adapter, want, now);
        }
        ++each;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::plan(replica_state& state, instant now) {
    if (!state.owned) {
        return;
    }
    resume_needless_stops(state, now);
    evict_stopped(state, now);
    make_room(state, now);
    use_permissions(state, now);
    plan_blocked(state, now);
    plan_warming(state, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::plan_blocked(replica_state& state, instant now) {
    std::vector<blocked_group> groups = state.queue.all_blocked();
    std::erase_if(groups, [&](blocked_group const& each) {
        return !may_want(state, each.adapter, now);
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
    std::size_t places = room(state, now);
    instant oldest = now;
    for (blocked_group const& each : groups) {
        if (places > 0) {
            --places;
            ask_store(state, each.adapter, now);
        } else {
            oldest = std::min(oldest, each.oldest);
        }
    }
    bool const too_long = now - oldest >= state.settings.blocked_wait_limit;
    bool const under_way = slots_.count(slot_phase::stopping) > 0;
    if (too_long && !under_way && state.may_command(now)) {
        stop_one_by_force(state, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::plan_warming(replica_state& state, instant now) {
    std::erase_if(
        warming_, [&](auto const& each) { return now >= each.second; });
    for (auto const& [adapter, until] : warming_) {
        if (!may_want(state, adapter, now)) {
            continue;
        }
        // A load ahead of demand takes a free slot, or one whose adapter is
        // in less demand, never one that is worth more.
        bool const free = free_slots(state) > wants_.size();
        auto const least = free ? std::nullopt : victim(state, now);
        bool const better = least && state.history.rate(*least, now) <
                                         state.history.rate(adapter, now);
        if (free || (better && room(state, now) > 0)) {
            ask_store(state, adapter, now);
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
        settle(state, each, now);
    }
    plan(state, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_load_allowed(
    replica_state& state, load_allowed const& message, instant now) {
    auto const known = wants_.find(message.adapter);
    if (known == wants_.end() || known->second.permission != 0) {
        give_back(state, message.adapter, message.permission);
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
    guarded_until_.insert_or_assign(from, now + rollout_time);
    state.history.note_rate(to, state.history.rate(from, now), now);
    if (state.settings.prefetch_adapters && !slots_.find(to)) {
        warming_.insert_or_assign(to, now + rollout_time);
    }
    plan(state, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_cold_start(replica_state& state, instant now) {
    constexpr std::chrono::seconds refill_time{60};
    for (auto const& [adapter, each] : slots_.all()) {
        report_to_store(state, adapter, each, true, false, now);
        state.queue.close(adapter, now);
        bool const wanted = each.phase == slot_phase::resident &&
                            state.settings.prefetch_adapters;
        if (wanted) {
            warming_.insert_or_assign(adapter, now + refill_time);
        }
    }
    slots_.clear();
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_lost(replica_state& state, instant now) {
    for (auto const& [adapter, want] : wants_) {
        drop_want(state, adapter, want);
    }
    // A load that is under way goes on; the next owner learns of it from the
    // engine's report. The store's budget must not wait for its end.
    for (auto const& [adapter, each] : slots_.all()) {
        report_to_store(state, adapter, each, true, false, now);
    }
    wants_.clear();
    warming_.clear();
    successors_.clear();
    guarded_until_.clear();
    slots_.clear();
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::on_tick(replica_state& state, instant now) {
    refresh_wants(state, now);
    give_up_late_orders(state, now);
    plan(state, now);
}

} // namespace camphorpoint::internal
