#pragma once

#include "Scheduling/slot_manager.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint::internal {

// Orders to the engine of slot_manager, and what becomes of them.

template <eviction_policy Eviction>
void slot_manager<Eviction>::send_order(
    replica_state& state, engine_order_kind kind, adapter_ref const& adapter,
    slot& target, duration timeout, instant now) {
    target.order = state.settings.first_command + orders_++;
    target.ordered_at = now;
    target.order_not_after = std::min(state.not_after, now + timeout);
    state.actions.emplace_back(engine_order{
        target.order, state.settings.replica, kind, adapter, state.fencing,
        target.order_not_after});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::order_load(
    replica_state& state, adapter_ref const& adapter,
    pending_load_request const& want, instant now) {
    slot& target = slots_.insert(
        adapter, {.phase = slot_phase::loading,
                  .since = now,
                  .idle_since = now,
                  .permission = want.permission,
                  .prefetch = want.prefetch});
    send_order(
        state, engine_order_kind::load, adapter, target,
        state.settings.load_timeout, now);
    state.actions.emplace_back(
        observed_command{engine_order_kind::load, want.prefetch});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::use_permissions(
    replica_state& state, instant now) {
    for (auto each = wants_.begin(); each != wants_.end();) {
        bool const usable = each->second.permission != 0 &&
                            free_slots(state) > 0 && state.may_command(now) &&
                            !slots_.find(each->first);
        if (!usable) {
            ++each;
            continue;
        }
        order_load(state, each->first, each->second, now);
        each = wants_.erase(each);
    }
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::on_command_result(
    replica_state& state, engine_order const& order, order_result how,
    instant now) {
    slot* target = slots_.find(order.adapter);
    if (!target || target->order != order.number || target->order == 0) {
        // An order of an earlier run of the engine or of this ownership.
        return how != order_result::refused_fencing;
    }
    if (how == order_result::lost) {
        target->lost_at = now;
        state.actions.emplace_back(log_event{
            event_code::order_unsettled, log_level::warning,
            fmt::format(
                "replica={} adapter={} version={}",
                state.settings.replica.str(), order.adapter.id.str(),
                order.adapter.version)});
        return true;
    }
    if (order.kind == engine_order_kind::load) {
        load_ended_with(state, order.adapter, how, now);
    } else {
        evict_ended_with(state, order.adapter, how, now);
    }
    if (how == order_result::refused_fencing) {
        // Another node owns the replica: one more order would be one too many.
        return false;
    }
    plan(state, now);
    return true;
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::load_ended_with(
    replica_state& state, adapter_ref const& adapter, order_result how,
    instant now) {
    slot const ended = *slots_.find(adapter);
    if (how == order_result::done) {
        state.times.note_load(now - ended.ordered_at);
        report_to_store(state, adapter, ended, true, true, now);
        became_resident(state, adapter, now);
        return;
    }
    slots_.erase(adapter, now);
    bool const started = how == order_result::failed;
    report_to_store(state, adapter, ended, started, false, now);
    if (how == order_result::refused_busy) {
        // The engine has fewer free slots than this owner believes; its next
        // report corrects that.
        state.history.pause(adapter, now + state.settings.first_backoff);
    } else if (how != order_result::refused_fencing) {
        load_failed(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::evict_ended_with(
    replica_state& state, adapter_ref const& adapter, order_result how,
    instant now) {
    if (how == order_result::done) {
        slots_.erase(adapter, now);
        return;
    }
    // It is resident still. Its idle time starts anew, so that a report from
    // after the refusal has to confirm that nothing runs. One measured at this
    // very moment is not from after it: taken for that, an eviction without
    // leave was ordered again at once, without end, and the node hung.
    resume(state, adapter, now);
    slots_.find(adapter)->idle_since = now + duration(1);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::load_failed(
    replica_state& state, adapter_ref const& adapter, instant now) {
    std::uint32_t const failures = state.history.note_failure(adapter, now);
    bool const hopeless = state.history.load_abandoned(adapter, now);
    state.actions.emplace_back(log_event{
        hopeless ? event_code::load_given_up : event_code::load_retrying,
        log_level::warning,
        fmt::format(
            "replica={} adapter={} version={} failures={}",
            state.settings.replica.str(), adapter.id.str(), adapter.version,
            failures)});
    warming_.erase(adapter);
    if (hopeless) {
        refuse_waiting(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::refuse_waiting(
    replica_state& state, adapter_ref const& adapter, instant) {
    for (request_id const& id : state.queue.ids_for(adapter)) {
        waiting_request const each = *state.queue.remove(id);
        grant_refused message;
        message.request = id;
        message.attempt = each.ask.attempt;
        message.replica = state.settings.replica;
        message.why = reason::load_failed;
        message.feedback.queued =
            static_cast<std::uint32_t>(state.queue.size());
        message.feedback.running = state.grants.taken();
        state.actions.emplace_back(reply_refusal{each.from, message});
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::became_resident(
    replica_state& state, adapter_ref const& adapter, instant now) {
    if (auto const waited = state.queue.blocked(adapter)) {
        state.times.note_stall(now - waited->oldest, now);
    }
    slots_.insert(
        adapter,
        {.phase = slot_phase::resident, .since = now, .idle_since = now});
    state.history.note_loaded(adapter);
    warming_.erase(adapter);
    state.queue.open(adapter, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::settle(
    replica_state& state, slot_change const& change, instant now) {
    using kind = slot_change::kind;
    if (change.before.order != 0) {
        state.actions.emplace_back(log_event{
            event_code::order_settled, log_level::info,
            fmt::format(
                "replica={} adapter={} version={}",
                state.settings.replica.str(), change.adapter.id.str(),
                change.adapter.version)});
    }
    bool const was_loading = change.before.phase == slot_phase::loading;
    switch (change.what) {
    case kind::appeared:
        if (was_loading) {
            report_to_store(
                state, change.adapter, change.before, true, true, now);
        }
        if (auto const want = wants_.find(change.adapter);
            want != wants_.end()) {
            drop_want(state, change.adapter, want->second);
            wants_.erase(want);
        }
        state.history.note_loaded(change.adapter);
        warming_.erase(change.adapter);
        state.queue.open(change.adapter, now);
        break;
    case kind::load_lost:
        report_to_store(state, change.adapter, change.before, true, false, now);
        break;
    case kind::vanished:
        state.queue.close(change.adapter, now);
        break;
    case kind::evict_lost:
        state.queue.open(change.adapter, now);
        break;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::give_up_late_orders(
    replica_state& state, instant now) {
    std::vector<adapter_ref> late;
    for (auto const& [adapter, each] : slots_.all()) {
        bool const pending = each.order != 0 && !each.lost_at;
        duration const patience = each.phase == slot_phase::evicting
                                      ? duration(state.settings.evict_timeout)
                                      : duration(state.settings.load_timeout);
        if (pending && now - each.ordered_at > 2 * patience) {
            late.push_back(adapter);
        }
    }
    for (adapter_ref const& adapter : late) {
        slots_.find(adapter)->lost_at = now;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::report_to_store(
    replica_state& state, adapter_ref const& adapter, slot const& each,
    bool started, bool ok, instant now) {
    if (each.permission == 0) {
        return;
    }
    auto const took = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - each.ordered_at);
    state.actions.emplace_back(send_load_result{
        {state.settings.replica, adapter, each.permission, started, ok, took}});
}

} // namespace camphorpoint::internal
