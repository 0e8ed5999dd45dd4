#include "Serving/grant_router.hpp"

#include "Serving/owner_table_codec.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace camphorpoint {

grant_router::scheduler* grant_router::find(endpoint_id const& replica) {
    auto const found = services_.replicas.find(replica);
    return found == services_.replicas.end() ? nullptr : found->second.get();
}

void grant_router::on_message(
    node_id const& from, grant_request const& request, instant now) {
    resource_id const resource = replica_resource(request.replica);
    scheduler* const owned = find(request.replica);
    if (owned != nullptr &&
        services_.ownership.grant_authority(resource, now)) {
        owned->on_grant_request(from, request, now);
        return;
    }
    grant_refused refused;
    refused.request = request.request;
    refused.attempt = request.attempt;
    refused.replica = request.replica;
    refused.why = reason::owner_unreachable;
    outbox_.send(from, refused);
}

void grant_router::on_message(
    node_id const& from, grant_cancelled const& message, instant now) {
    if (scheduler* const owned = find(message.replica)) {
        owned->on_grant_cancelled(from, message, now);
    }
}

void grant_router::on_message(
    node_id const& from, grant_released const& message, instant now) {
    if (scheduler* const owned = find(message.replica)) {
        owned->on_grant_released(from, message, now);
    }
}

void grant_router::on_message(
    node_id const& from, grant_heartbeat const& heartbeat, instant now) {
    for (auto const& [replica, owned] : services_.replicas) {
        owned->on_heartbeat(from, heartbeat.grants, now);
    }
}

void grant_router::on_message(
    node_id const& /*from*/, load_allowed const& message, instant now) {
    if (scheduler* const owned = find(message.replica)) {
        owned->on_load_allowed(message, now);
    }
}

void grant_router::on_message(
    node_id const& /*from*/, load_denied const& message, instant now) {
    if (scheduler* const owned = find(message.replica)) {
        owned->on_load_denied(message, now);
    }
}

void grant_router::on_report(engine_report const& report, instant now) {
    if (scheduler* const owned = find(report.replica)) {
        owned->on_report(report, now);
    }
}

void grant_router::on_command_ended(command_ended const& end, instant now) {
    auto const found = commands_.find(end.command);
    if (found == commands_.end()) {
        return;
    }
    engine_order const original = found->second;
    commands_.erase(found);
    if (scheduler* const owned = find(original.replica)) {
        owned->on_command_result(original, end.how, now);
    }
}

void grant_router::gained(ownership_gained const& claim, instant now) {
    endpoint_id const replica(claim.resource.name);
    scheduler_settings replica_settings = settings_.scheduling;
    replica_settings.replica = replica;
    replica_settings.seed = hash_text(replica.str(), settings_.seed);
    if (auto const* const known = services_.members.find(replica)) {
        replica_settings.adapter_slots = std::max(1U, known->adapter_slots);
        replica_settings.batch_limit = std::max(1U, known->batch_limit);
    }
    auto& owned = services_.replicas[replica];
    owned = std::make_unique<scheduler>(replica_settings);
    renew_authority(replica, *owned, now);
    if (auto const table = decode_owner_table(claim.table)) {
        owned->import_table(*table, now);
    }
}

void grant_router::lost(resource_id const& replica, instant now) {
    endpoint_id const id(replica.name);
    handing_over_.erase(id);
    scheduler* const owned = find(id);
    if (owned == nullptr) {
        return;
    }
    owned->on_authority_lost(now);
    for (scheduler_action const& each : owned->take_actions()) {
        carry_out(id, each, now);
    }
    services_.replicas.erase(id);
}

void grant_router::hand_over(resource_id const& replica, instant now) {
    endpoint_id const id(replica.name);
    if (scheduler* const owned = find(id)) {
        owned->stop_granting(now);
    }
    handing_over_.insert(id);
}

// The scheduler starts again as after gaining the replica, but keeps its state.
void grant_router::resume(resource_id const& replica, instant now) {
    endpoint_id const id(replica.name);
    handing_over_.erase(id);
    if (scheduler* const owned = find(id)) {
        owner_table const known = owned->export_table(now);
        owned->on_authority_lost(now);
        renew_authority(id, *owned, now);
        owned->import_table(known, now);
    }
}

void grant_router::refresh_endpoints(instant now) {
    for (auto const& [replica, owned] : services_.replicas) {
        auto const state = services_.members.state_of(replica);
        if (state == endpoint_state::leaving || state == endpoint_state::gone) {
            owned->stop_granting(now);
        }
    }
}

void grant_router::refresh_versions(instant now) {
    configuration const& current = services_.follower.current();
    if (current.next() == versions_at_) {
        return;
    }
    versions_at_ = current.next();
    for (auto const& [name, state] : current.all()) {
        profile const* const active = current.find(name);
        if (active == nullptr) {
            continue;
        }
        auto const [known, is_new] =
            versions_.try_emplace(name, active->adapter);
        if (is_new || known->second == active->adapter) {
            continue;
        }
        for (auto const& [replica, owned] : services_.replicas) {
            owned->on_version_change(known->second, active->adapter, now);
        }
        known->second = active->adapter;
    }
}

// Extends the time until which the scheduler may command the replica. An engine
// that checks fencing numbers rejects commands of an earlier owner itself, so
// its loads continue through a log outage.
void grant_router::renew_authority(
    endpoint_id const& replica, scheduler& which, instant now) {
    resource_id const resource = replica_resource(replica);
    auto const* const known = services_.members.find(replica);
    bool const checks = known != nullptr && known->checks_fencing;
    auto const authority =
        services_.ownership.load_authority(resource, checks, now);
    if (authority) {
        which.on_authority(authority->fencing, authority->not_after, now);
    }
}

void grant_router::on_tick(instant now) {
    for (auto const& [replica, owned] : services_.replicas) {
        renew_authority(replica, *owned, now);
        owned->on_tick(now);
    }
}

bool grant_router::has_open_command(endpoint_id const& replica) const {
    auto const of_replica = [&](auto const& each) {
        return each.second.replica == replica;
    };
    return std::ranges::any_of(commands_, of_replica);
}

void grant_router::finish_handovers(instant now) {
    for (auto each = handing_over_.begin(); each != handing_over_.end();) {
        if (has_open_command(*each)) {
            ++each;
            continue;
        }
        scheduler const* const owned = find(*each);
        std::string table;
        if (owned != nullptr) {
            table = encode_owner_table(owned->export_table(now));
        }
        services_.ownership.handover_ready(
            replica_resource(*each), std::move(table), now);
        each = handing_over_.erase(each);
    }
}

bool grant_router::pump(instant now) {
    bool any = false;
    for (auto const& [replica, owned] : services_.replicas) {
        for (scheduler_action const& each : owned->take_actions()) {
            any = true;
            carry_out(replica, each, now);
        }
    }
    finish_handovers(now);
    return any;
}

void grant_router::carry_out(
    endpoint_id const& replica, scheduler_action const& action, instant now) {
    if (auto const* const yes = std::get_if<reply_grant>(&action)) {
        send_grant(replica, *yes, now);
    } else if (auto const* const no = std::get_if<reply_refusal>(&action)) {
        outbox_.send(no->to, no->message);
    } else if (auto const* const command = std::get_if<engine_order>(&action)) {
        send_command(replica, *command, now);
    } else if (
        auto const* const request = std::get_if<send_load_request>(&action)) {
        loads_.send_to_store_owner(request->message, now);
    } else if (
        auto const* const cancelled =
            std::get_if<send_load_cancelled>(&action)) {
        loads_.send_to_store_owner(cancelled->message, now);
    } else if (auto const* const end = std::get_if<send_load_result>(&action)) {
        loads_.send_to_store_owner(end->message, now);
    } else if (auto const* const wait = std::get_if<observed_wait>(&action)) {
        outbox_.emit(
            observe_time{observe_time::kind::load_stall, wait->load_stall});
    } else if (auto const* const event = std::get_if<log_event>(&action)) {
        outbox_.emit(*event);
    }
}

// Guards against a paused owner whose successor already issues grants: together
// they would fill the batch twice. The authority is checked now, against the
// time of this event.
void grant_router::send_grant(
    endpoint_id const& replica, reply_grant const& reply, instant now) {
    resource_id const resource = replica_resource(replica);
    if (services_.ownership.grant_authority(resource, now)) {
        outbox_.send(reply.to, reply.message);
        return;
    }
    grant_cancelled unused;
    unused.request = reply.message.request;
    unused.attempt = reply.message.attempt;
    unused.replica = replica;
    if (scheduler* const owned = find(replica)) {
        owned->on_grant_cancelled(reply.to, unused, now);
    }
    grant_refused refused;
    refused.request = reply.message.request;
    refused.attempt = reply.message.attempt;
    refused.replica = replica;
    refused.why = reason::owner_unreachable;
    outbox_.send(reply.to, refused);
}

// Guards against commands of an owner whose authority has lapsed: its eviction
// could remove an adapter that a request granted by the successor uses. Without
// authority the command is not sent, and the scheduler gets the result
// not_sent.
void grant_router::send_command(
    endpoint_id const& replica, engine_order const& command, instant now) {
    resource_id const resource = replica_resource(replica);
    auto const* const known = services_.members.find(replica);
    bool const checks = known != nullptr && known->checks_fencing;
    auto const authority =
        command.kind == engine_order_kind::evict
            ? services_.ownership.evict_authority(resource, now)
            : services_.ownership.load_authority(resource, checks, now);
    if (!authority || authority->fencing != command.fencing) {
        if (scheduler* const owned = find(replica)) {
            owned->on_command_result(command, order_result::not_sent, now);
        }
        return;
    }
    engine_order sent = command;
    sent.number = ++last_command_;
    sent.not_after = std::min(command.not_after, authority->not_after);
    commands_[sent.number] = command;
    outbox_.emit(sent);
}

} // namespace camphorpoint
