#pragma once

#include "Scheduling/grant_manager.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorpoint::internal {

// Member functions of grant_manager that end grants.

template <batch_policy Batch>
std::optional<adapter_ref> grant_manager<Batch>::on_grant_cancelled(
    replica_state& state, node_id const& from, grant_cancelled const& message,
    instant now) {
    last_received_.insert_or_assign(from, now);
    waiting_request const* const waiting = state.queue.find(message.request);
    if (waiting && waiting->message.attempt <= message.attempt) {
        state.queue.remove(message.request);
        return std::nullopt;
    }
    // The cancellation crossed the grant in transit. The entry node will not
    // send the request to the engine, since it cancelled before the grant
    // arrived.
    running_grant const* const grant =
        std::as_const(state.grants).find(message.request);
    if (!grant || grant->attempt > message.attempt) {
        return std::nullopt;
    }
    return state.grants.end(message.request, now)->adapter;
}

template <batch_policy Batch>
std::optional<adapter_ref> grant_manager<Batch>::on_grant_released(
    replica_state& state, node_id const& from, grant_released const& message,
    instant now) {
    last_received_.insert_or_assign(from, now);
    running_grant const* const grant =
        std::as_const(state.grants).find(message.request);
    if (!grant || grant->attempt != message.attempt) {
        return std::nullopt;
    }
    running_grant const ended = *state.grants.end(message.request, now);
    bool const ran = message.adapter_was_loaded && message.tokens > 0;
    if (ran) {
        state.times.record_service_time(now - ended.granted, message.tokens);
    }
    return ended.adapter;
}

template <batch_policy Batch>
std::vector<adapter_ref> grant_manager<Batch>::on_heartbeat(
    replica_state& state, node_id const& from,
    std::vector<grant_in_use> const& grants, instant now) {
    last_received_.insert_or_assign(from, now);
    std::set<request_id> listed;
    for (grant_in_use const& each : grants) {
        if (each.replica == state.settings.replica) {
            listed.insert(each.request);
            reconcile_grant(state, from, each, now);
        }
    }
    // Messages from one node arrive in the order in which they were sent, so
    // every request and grant that this owner has from the node precedes the
    // heartbeat. A grant that the heartbeat does not list has ended, and the
    // message that released it was lost.
    std::vector<adapter_ref> ended;
    for (request_id const& id : state.grants.ids_of_node(from)) {
        running_grant const& grant = *std::as_const(state.grants).find(id);
        duration const usable =
            state.settings.send_within + state.settings.grant_margin;
        bool const unused = !grant.sent && now - grant.granted > usable;
        if (!listed.contains(id) || unused) {
            ended.push_back(state.grants.end(id, now)->adapter);
        }
    }
    for (request_id const& id : state.queue.ids_from(from)) {
        if (!listed.contains(id)) {
            state.queue.remove(id);
        }
    }
    return ended;
}

template <batch_policy Batch>
void grant_manager<Batch>::reconcile_grant(
    replica_state& state, node_id const& from, grant_in_use const& each,
    instant now) {
    running_grant* const grant = state.grants.find(each.request);
    if (grant) {
        grant->sent = grant->sent || each.sent;
        return;
    }
    if (state.queue.find(each.request)) {
        return;
    }
    if (each.sent) {
        // The request was granted by a former owner that crashed. The heartbeat
        // is how its successor learns which requests are running.
        state.grants.add(
            {.node = from,
             .request = each.request,
             .attempt = each.attempt,
             .grant = 0,
             .adapter = each.adapter,
             .granted = now,
             .requested = now,
             .sent = true});
        return;
    }
    // The entry node waits for a reply that will not arrive: the request was
    // queued at a former owner, or its refusal was lost. With a refusal the
    // entry node can retry at once instead of after its time-out.
    grant_refused message;
    message.request = each.request;
    message.attempt = each.attempt;
    message.replica = state.settings.replica;
    message.why = reason::owner_unreachable;
    state.actions.emplace_back(reply_refusal{from, message});
}

template <batch_policy Batch>
void grant_manager<Batch>::adopt(
    replica_state& state, owner_table const& table, instant now) {
    for (handover_grant const& each : table.grants) {
        bool const known = std::as_const(state.grants).find(each.request);
        if (known) {
            continue;
        }
        state.grants.add(
            {.node = each.node,
             .request = each.request,
             .attempt = each.attempt,
             .grant = each.grant,
             .adapter = each.adapter,
             .granted = now - each.age,
             .requested = now - each.age});
        last_received_.insert_or_assign(each.node, now);
    }
}

template <batch_policy Batch>
template <class Idle>
std::vector<adapter_ref> grant_manager<Batch>::end_orphaned_grants(
    replica_state& state, Idle const& idle, instant now) {
    std::vector<adapter_ref> ended;
    for (running_grant const& grant : state.grants.all()) {
        auto const last_received = last_received_.find(grant.node);
        bool const timed_out =
            last_received == last_received_.end() ||
            now - last_received->second > state.settings.heartbeat_timeout;
        // A request of a crashed entry node may still be running, since the
        // engine does not notice the crash at once. Only a report that was
        // measured after the last time at which the request could have been
        // sent proves that it is not running.
        instant const last_sent = grant.granted + state.settings.send_within +
                                  state.settings.grant_margin;
        bool const gone = timed_out && idle(grant.adapter, last_sent);
        bool const too_old =
            now - grant.granted > state.settings.longest_request;
        if (gone || too_old) {
            ended.push_back(state.grants.end(grant.request, now)->adapter);
        }
    }
    return ended;
}

} // namespace camphorpoint::internal
