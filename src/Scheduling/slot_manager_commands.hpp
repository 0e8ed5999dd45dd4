#pragma once

#include "Scheduling/slot_manager.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint::internal {

// Member functions of slot_manager that send commands to the engine and handle
// their results.

template <eviction_policy Eviction>
void slot_manager<Eviction>::send_command(
    replica_state& state, engine_order_kind kind, adapter_ref const& adapter,
    slot& target, duration timeout, instant now) {
    target.command = state.settings.first_command + command_count_++;
    target.commanded_at = now;
    target.command_not_after = std::min(state.not_after, now + timeout);
    state.actions.emplace_back(engine_order{
        target.command, state.settings.replica, kind, adapter, state.fencing,
        target.command_not_after});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::command_load(
    replica_state& state, adapter_ref const& adapter,
    pending_load_request const& request, instant now) {
    slot& target = slots_.insert(
        adapter, {.phase = slot_phase::loading,
                  .since = now,
                  .idle_since = now,
                  .permission = request.permission,
                  .prefetch = request.prefetch});
    send_command(
        state, engine_order_kind::load, adapter, target,
        state.settings.load_timeout, now);
    state.actions.emplace_back(
        observed_command{engine_order_kind::load, request.prefetch});
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::use_permissions(
    replica_state& state, instant now) {
    for (auto each = load_requests_.begin(); each != load_requests_.end();) {
        bool const usable = each->second.permission != 0 &&
                            free_slots(state) > 0 && state.may_command(now) &&
                            !slots_.find(each->first);
        if (!usable) {
            ++each;
            continue;
        }
        command_load(state, each->first, each->second, now);
        each = load_requests_.erase(each);
    }
}

template <eviction_policy Eviction>
bool slot_manager<Eviction>::on_command_result(
    replica_state& state, engine_order const& command, order_result how,
    instant now) {
    slot* target = slots_.find(command.adapter);
    if (!target || target->command != command.number || target->command == 0) {
        // The command was sent to an earlier incarnation of the engine or in an
        // earlier ownership.
        return how != order_result::refused_fencing;
    }
    if (how == order_result::lost) {
        target->result_lost_at = now;
        state.actions.emplace_back(log_event{
            event_code::order_unsettled, log_level::warning,
            fmt::format(
                "replica={} adapter={} version={}",
                state.settings.replica.str(), command.adapter.id.str(),
                command.adapter.version)});
        return true;
    }
    if (command.kind == engine_order_kind::load) {
        handle_load_result(state, command.adapter, how, now);
    } else {
        handle_evict_result(state, command.adapter, how, now);
    }
    if (how == order_result::refused_fencing) {
        // Another node owns the replica, so no further command may be sent.
        return false;
    }
    plan(state, now);
    return true;
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::handle_load_result(
    replica_state& state, adapter_ref const& adapter, order_result how,
    instant now) {
    slot const ended = *slots_.find(adapter);
    if (how == order_result::done) {
        state.times.record_load_time(now - ended.commanded_at);
        report_load_result(state, adapter, ended, true, true, now);
        mark_resident(state, adapter, now);
        return;
    }
    slots_.erase(adapter, now);
    bool const started = how == order_result::failed;
    report_load_result(state, adapter, ended, started, false, now);
    if (how == order_result::refused_busy) {
        // The engine has fewer free slots than this owner assumes; the next
        // report corrects the assumption.
        state.history.delay_load(adapter, now + state.settings.first_backoff);
    } else if (how != order_result::refused_fencing) {
        load_failed(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::handle_evict_result(
    replica_state& state, adapter_ref const& adapter, order_result how,
    instant now) {
    if (how == order_result::done) {
        slots_.erase(adapter, now);
        return;
    }
    // The adapter is still resident. Its idle time restarts, so that only a
    // report measured after the refusal can confirm that no request is running.
    // A report measured at this very moment must not count as later: if it
    // does, and the command was not sent because it was not permitted, the same
    // command is sent again in an endless loop, and the node hangs.
    resume(state, adapter, now);
    slots_.find(adapter)->idle_since = now + duration(1);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::load_failed(
    replica_state& state, adapter_ref const& adapter, instant now) {
    std::uint32_t const failures = state.history.record_failure(adapter, now);
    bool const abandoned = state.history.load_abandoned(adapter, now);
    state.actions.emplace_back(log_event{
        abandoned ? event_code::load_given_up : event_code::load_retrying,
        log_level::warning,
        fmt::format(
            "replica={} adapter={} version={} failures={}",
            state.settings.replica.str(), adapter.id.str(), adapter.version,
            failures)});
    prefetches_.erase(adapter);
    if (abandoned) {
        refuse_waiting(state, adapter, now);
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::refuse_waiting(
    replica_state& state, adapter_ref const& adapter, instant) {
    for (request_id const& id : state.queue.ids_waiting_for(adapter)) {
        waiting_request const each = *state.queue.remove(id);
        grant_refused message;
        message.request = id;
        message.attempt = each.message.attempt;
        message.replica = state.settings.replica;
        message.why = reason::load_failed;
        message.feedback.queued =
            static_cast<std::uint32_t>(state.queue.size());
        message.feedback.running = state.grants.occupied();
        state.actions.emplace_back(reply_refusal{each.from, message});
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::mark_resident(
    replica_state& state, adapter_ref const& adapter, instant now) {
    if (auto const waited = state.queue.blocked(adapter)) {
        state.times.record_stall(now - waited->oldest, now);
    }
    slots_.insert(
        adapter,
        {.phase = slot_phase::resident, .since = now, .idle_since = now});
    state.history.record_loaded(adapter);
    prefetches_.erase(adapter);
    state.queue.unblock(adapter, now);
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::apply_change(
    replica_state& state, slot_change const& change, instant now) {
    using kind = slot_change::kind;
    if (change.before.command != 0) {
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
            report_load_result(
                state, change.adapter, change.before, true, true, now);
        }
        if (auto const request = load_requests_.find(change.adapter);
            request != load_requests_.end()) {
            cancel_load_request(state, change.adapter, request->second);
            load_requests_.erase(request);
        }
        state.history.record_loaded(change.adapter);
        prefetches_.erase(change.adapter);
        state.queue.unblock(change.adapter, now);
        break;
    case kind::load_lost:
        report_load_result(
            state, change.adapter, change.before, true, false, now);
        break;
    case kind::vanished:
        state.queue.block(change.adapter, now);
        break;
    case kind::evict_lost:
        state.queue.unblock(change.adapter, now);
        break;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::time_out_commands(
    replica_state& state, instant now) {
    std::vector<adapter_ref> overdue;
    for (auto const& [adapter, each] : slots_.all()) {
        bool const pending = each.command != 0 && !each.result_lost_at;
        duration const timeout = each.phase == slot_phase::evicting
                                     ? duration(state.settings.evict_timeout)
                                     : duration(state.settings.load_timeout);
        if (pending && now - each.commanded_at > 2 * timeout) {
            overdue.push_back(adapter);
        }
    }
    for (adapter_ref const& adapter : overdue) {
        slots_.find(adapter)->result_lost_at = now;
    }
}

template <eviction_policy Eviction>
void slot_manager<Eviction>::report_load_result(
    replica_state& state, adapter_ref const& adapter, slot const& each,
    bool started, bool ok, instant now) {
    if (each.permission == 0) {
        return;
    }
    auto const took = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - each.commanded_at);
    state.actions.emplace_back(send_load_result{
        {state.settings.replica, adapter, each.permission, started, ok, took}});
}

} // namespace camphorpoint::internal
