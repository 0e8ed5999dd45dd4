#pragma once

#include "Scheduling/replica_scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace camphorpoint {

// Event handlers of replica_scheduler. Each passes its event to the managers
// that it concerns, and then grants queued requests while the batch has
// capacity.

template <replica_policy Policy>
replica_scheduler<Policy>::replica_scheduler(scheduler_settings const& settings)
    : state_(settings) {
    assert(settings.batch_limit > 0 && "batch_limit must be positive");
    assert(settings.adapter_slots > 0 && "adapter_slots must be positive");
    assert(settings.send_within.count() > 0 && "send_within must be positive");
}

template <replica_policy Policy>
replica_feedback replica_scheduler<Policy>::feedback(
    adapter_ref const& adapter, instant now) const {
    using std::chrono::milliseconds;
    duration const wait =
        grants_.expected_wait(state_, urgency::normal, instant::max());
    duration const load = state_.times.stall(now) + slots_.store_pause(now);
    replica_feedback result;
    result.queued = static_cast<std::uint32_t>(state_.queue.size());
    result.running = state_.grants.occupied();
    result.expected_wait = std::chrono::ceil<milliseconds>(wait);
    result.adapter_resident = slots_.grantable(adapter);
    result.expected_load = std::chrono::ceil<milliseconds>(load);
    return result;
}

template <replica_policy Policy>
void replica_scheduler<Policy>::after_event(instant now) {
    grants_.issue_grants(state_, slots_.store_pause(now), now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_grant_request(
    node_id const& from, grant_request const& request, instant now) {
    using result = typename decltype(grants_)::request_result;
    bool const ready = slots_.grantable(request.adapter);
    result const how = grants_.on_grant_request(
        state_, from, request, ready, feedback(request.adapter, now), now);
    if (how == result::queued && !ready) {
        slots_.on_blocked(state_, request.adapter, now);
    }
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::mark_adapters_idle(
    std::vector<adapter_ref> const& adapters, instant now) {
    for (adapter_ref const& each : adapters) {
        slots_.on_idle(each, now);
    }
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_grant_cancelled(
    node_id const& from, grant_cancelled const& message, instant now) {
    auto const ended = grants_.on_grant_cancelled(state_, from, message, now);
    if (ended) {
        slots_.on_idle(*ended, now);
    }
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_grant_released(
    node_id const& from, grant_released const& message, instant now) {
    auto const ended = grants_.on_grant_released(state_, from, message, now);
    if (ended) {
        slots_.on_idle(*ended, now);
    }
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_heartbeat(
    node_id const& from, std::vector<grant_in_use> const& grants, instant now) {
    if (!state_.owned) {
        return;
    }
    mark_adapters_idle(grants_.on_heartbeat(state_, from, grants, now), now);
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_report(
    engine_report const& report, instant now) {
    bool const outdated = incarnation_ && report.incarnation < *incarnation_;
    if (!state_.owned || outdated) {
        return;
    }
    bool const restarted = incarnation_ && report.incarnation > *incarnation_;
    incarnation_ = report.incarnation;
    if (restarted) {
        // A restarted engine has no resident adapters and no running requests.
        // Queued requests stay queued; requests that were running have been
        // aborted.
        state_.actions.emplace_back(log_event{
            event_code::engine_restarted, log_level::warning,
            fmt::format(
                "replica={} incarnation={}", state_.settings.replica.str(),
                report.incarnation)});
        slots_.on_cold_start(state_, now);
        state_.grants.clear();
    }
    state_.grants.on_report(report.running, now - report.age);
    slots_.on_report(state_, report, now);
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_command_result(
    engine_order const& command, order_result how, instant now) {
    if (!slots_.on_command_result(state_, command, how, now)) {
        bool const current = command.fencing == state_.fencing;
        if (current) {
            on_authority_lost(now);
        }
        return;
    }
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_load_allowed(
    load_allowed const& message, instant now) {
    slots_.on_load_allowed(state_, message, now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_load_denied(
    load_denied const& message, instant now) {
    slots_.on_load_denied(state_, message, now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_authority(
    log_offset fencing, instant not_after, instant now) {
    bool const taken_over = !state_.owned || fencing != state_.fencing;
    state_.owned = true;
    state_.fencing = fencing;
    state_.not_after = not_after;
    if (taken_over) {
        // The last grants of the former owner may still be used within this
        // time.
        state_.grants_known_from =
            now + state_.settings.send_within + state_.settings.grant_margin;
        state_.granting_stopped = false;
        state_.actions.emplace_back(log_event{
            event_code::replica_taken_over, log_level::info,
            fmt::format(
                "replica={} fencing={}", state_.settings.replica.str(),
                fencing.value)});
    }
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_authority_lost(instant now) {
    if (!state_.owned) {
        return;
    }
    state_.owned = false;
    state_.actions.emplace_back(log_event{
        event_code::replica_lost, log_level::info,
        fmt::format("replica={}", state_.settings.replica.str())});
    grants_.refuse_all(state_, reason::owner_unreachable, now);
    slots_.on_authority_lost(state_, now);
    grants_.on_authority_lost();
    state_.grants.clear();
    incarnation_.reset();
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_version_change(
    adapter_ref const& from, adapter_ref const& to, instant now) {
    slots_.on_version_change(state_, from, to, now);
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::on_tick(instant now) {
    constexpr std::chrono::seconds maintenance_period{1};
    if (now - last_maintenance_ >= maintenance_period) {
        last_maintenance_ = now;
        state_.history.prune(now);
        auto const idle = [&](adapter_ref const& adapter, instant since) {
            return slots_.reported_idle(adapter, since);
        };
        mark_adapters_idle(grants_.end_orphaned_grants(state_, idle, now), now);
    }
    slots_.on_tick(state_, now);
    after_event(now);
}

template <replica_policy Policy>
void replica_scheduler<Policy>::stop_granting(instant now) {
    state_.granting_stopped = true;
    grants_.refuse_all(state_, reason::draining, now);
    slots_.on_tick(state_, now);
}

template <replica_policy Policy>
owner_table replica_scheduler<Policy>::export_table(instant now) const {
    owner_table table;
    table.replica = state_.settings.replica;
    table.incarnation = incarnation_;
    for (internal::running_grant const& each : state_.grants.all()) {
        auto const age =
            std::chrono::floor<std::chrono::milliseconds>(now - each.granted);
        table.grants.push_back(
            {each.node, each.request, each.attempt, each.grant, each.adapter,
             age});
    }
    table.demand = state_.history.demand(now);
    return table;
}

template <replica_policy Policy>
void replica_scheduler<Policy>::import_table(
    owner_table const& table, instant now) {
    if (table.replica != state_.settings.replica) {
        return;
    }
    bool const same_run = !incarnation_ || !table.incarnation ||
                          *incarnation_ == *table.incarnation;
    if (same_run) {
        if (!incarnation_) {
            incarnation_ = table.incarnation;
        }
        grants_.adopt(state_, table, now);
    }
    // The former owner stopped granting before it handed over this table, so
    // the table contains every grant that can still be used.
    state_.grants_known_from = std::min(state_.grants_known_from, now);
    for (handover_demand const& each : table.demand) {
        state_.history.record_rate(each.adapter, each.requests_per_second, now);
    }
    after_event(now);
}

template <replica_policy Policy>
std::vector<scheduler_action> replica_scheduler<Policy>::take_actions() {
    return std::exchange(state_.actions, {});
}

} // namespace camphorpoint
