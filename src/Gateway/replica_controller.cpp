#include "Gateway/replica_controller.hpp"

#include "Gateway/order_call.hpp"
#include "Gateway/reachability_prober.hpp"
#include "Ports/http_client.hpp"
#include "platform/configuration_reader.hpp"
#include "platform/order_wire.hpp"
#include "platform/request_wire.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

/// A replica answers a command or a report request within a few milliseconds. A
/// longer time means that the replica or the network path to it is down.
constexpr milliseconds replica_timeout{700};
/// Delay before a worker retries after a failed report or an unsent command.
constexpr milliseconds retry_interval{100};
/// Time until a registry entry expires after its last write: three write
/// intervals of a second or a little more.
constexpr duration registry_entry_lifetime = std::chrono::seconds(4);
/// Period over which the loads of base models are counted for their rate limit.
constexpr duration load_window = std::chrono::seconds(5);

load_priority priority_of(peer_load_request const& request) {
    auto const last = static_cast<std::uint8_t>(load_priority::prefetch);
    return static_cast<load_priority>(std::min(request.priority, last));
}

} // namespace

replica_controller::replica_controller(
    gateway_state& state, platform::store_client& store)
    : state_(&state)
    , store_(&store)
    , claim_timer_(state.io) {}

void replica_controller::start() {
    *running_ = true;
    asio::co_spawn(
        state_->io, [this] { return run_renewals(); }, asio::detached);
}

void replica_controller::stop() {
    if (!*running_) {
        return;
    }
    *running_ = false;
    state_->leases.clear();
    wake_workers();
    asio::co_spawn(
        state_->io, [this] { return leave_group(); }, asio::detached);
}

void replica_controller::wake_workers() {
    for (auto const& [id, controlled] : replicas_) {
        controlled->wake.cancel();
    }
    if (*running_) {
        spawn_workers();
    }
    if (!state_->leases.partitions_without_token().empty()) {
        claim_timer_.cancel();
    }
}

std::optional<slot_limits>
replica_controller::limits_of(replica const& at) const {
    service_definition const* const service =
        state_->configuration.find_service(at.record.service);
    if (service == nullptr || !service->engine) {
        return std::nullopt;
    }
    slot_limits limits;
    limits.slots = service->engine->adapter_slots;
    return limits;
}

void replica_controller::spawn_workers() {
    instant const now = boot_clock::now();
    for (auto const& [id, at] : state_->replicas.all()) {
        auto const token = state_->leases.token(partition_of(id), now);
        auto const limits = limits_of(at);
        if (!token || !limits || !at.accepts_requests() ||
            replicas_.contains(id)) {
            continue;
        }
        auto const controlled = std::make_shared<controlled_replica>(
            *limits, limiter_, state_->io, *token,
            *state_->leases.exclusive_since(partition_of(id)));
        replicas_[id] = controlled;
        limiter_->set_replicas(replicas_.size());
        ids_by_hash_[fleet::id_hash(id)] = id;
        asio::co_spawn(
            state_->io,
            [this, id = id, controlled] { return run_worker(id, controlled); },
            asio::detached);
    }
}

std::map<endpoint_id, replica_controller::controlled_ptr>::const_iterator
replica_controller::find_controlled(std::uint64_t replica) const {
    auto const id = ids_by_hash_.find(replica);
    return id == ids_by_hash_.end() ? replicas_.end()
                                    : replicas_.find(id->second);
}

std::optional<duration>
replica_controller::handle_load_request(peer_load_request const& request) {
    auto const controlled = find_controlled(request.replica);
    if (controlled == replicas_.end()) {
        // Another node may be the controller by now. A node that is stopping
        // can't hand its replicas over while the store is down.
        if (*running_) {
            return std::nullopt;
        }
        return state_->settings.leases.lease;
    }
    adapter_ref const adapter{adapter_id(request.adapter), request.version};
    slot_tracker& tracker = controlled->second->tracker;
    if (tracker.ready(adapter)) {
        // The requesting node has missed the residency message.
        publish_changes(controlled->first, tracker);
        std::vector<peer_residency> residencies{
            {0, request.adapter, request.version, true}};
        messenger_->broadcast_residency(
            controlled->first, std::move(residencies));
        state_->replicas.mark_resident(
            controlled->first, adapter, boot_clock::now());
        state_->waiters.notify(adapter.id);
        return std::nullopt;
    }
    instant const now = boot_clock::now();
    replica const* const at =
        std::as_const(state_->replicas).find(controlled->first);
    if (at != nullptr && at->resting(now)) {
        // This node commands no load before the end of the replica's rest.
        return at->resting_until - now;
    }
    load_priority const priority = priority_of(request);
    // A repeated load request keeps its place in the queue.
    bool const may_reject =
        request.first_request || priority == load_priority::prefetch;
    auto const rejected_wait =
        may_reject
            ? tracker.refused_wait(
                  adapter, priority, milliseconds(request.wait_budget_ms), now)
            : std::nullopt;
    bool const first_for_adapter = !tracker.load_requested(adapter.id);
    if (rejected_wait || first_for_adapter) {
        state_->log_event(
            log_line(
                rejected_wait ? event_code::load_turned_away
                              : event_code::load_queued)
                .with("replica", controlled->first.str())
                .with("adapter", request.adapter)
                .with("kind", to_string(priority))
                .with(
                    "forecast_ms",
                    tracker.expected_wait(adapter, priority, now))
                .with("patience_ms", static_cast<int>(request.wait_budget_ms))
                .with("free", tracker.available_slots(now))
                .with("waiting", tracker.pending_requests()));
    }
    if (rejected_wait) {
        return rejected_wait;
    }
    tracker.request_load(adapter, priority, now);
    controlled->second->wake.cancel();
    return std::nullopt;
}

void replica_controller::handle_usage(peer_adapter_usage const& usage) {
    auto const controlled = find_controlled(usage.replica);
    if (controlled != replicas_.end()) {
        controlled->second->tracker.record_use(
            adapter_id(usage.adapter), usage.running > 0, boot_clock::now());
    }
}

int replica_controller::free_slots(std::uint64_t replica) const {
    auto const controlled = find_controlled(replica);
    return controlled == replicas_.end()
               ? 0
               : controlled->second->tracker.available_slots(boot_clock::now());
}

void replica_controller::publish_changes(
    endpoint_id const& id, slot_tracker& tracker) {
    instant const now = boot_clock::now();
    std::vector<peer_residency> residencies;
    for (residency_change const& each : tracker.drain_changes()) {
        if (each.resident) {
            state_->replicas.mark_resident(id, each.adapter, now);
            state_->waiters.notify(each.adapter.id);
        } else {
            state_->replicas.mark_unloading(id, each.adapter.id, now);
        }
        residencies.push_back(
            {0, each.adapter.id.str(), each.adapter.version, each.resident});
    }
    messenger_->broadcast_residency(id, std::move(residencies));
}

asio::awaitable<void>
replica_controller::run_worker(endpoint_id id, controlled_ptr controlled) {
    while (*running_ && !controlled->stopped) {
        co_await run_worker_step(id, controlled);
    }
    replicas_.erase(id);
    limiter_->set_replicas(replicas_.size());
    ids_by_hash_.erase(fleet::id_hash(id));
}

asio::awaitable<void>
replica_controller::run_worker_step(endpoint_id id, controlled_ptr controlled) {
    replica const* const at = state_->replicas.find(id);
    instant const now = boot_clock::now();
    auto const token = state_->leases.token(partition_of(id), now);
    auto const since = state_->leases.exclusive_since(partition_of(id));
    if (at == nullptr || !at->accepts_requests() || !token ||
        since != controlled->since) {
        controlled->stopped = true;
        co_return;
    }
    slot_tracker& tracker = controlled->tracker;
    if (*token != controlled->token) {
        // This node holds the lease under a new fencing number. Its state of
        // the replica remains valid, and a report shows changes that it may
        // have missed.
        controlled->token = *token;
        tracker.require_report();
    }
    if (at->record.started_at != controlled->started_at) {
        // The restart is checked by a report, which is newer than the registry:
        // the tracker may know the new process already.
        controlled->started_at = at->record.started_at;
        tracker.require_report();
    }
    if (at->resting(now)) {
        controlled->wake.expires_after(time_until(at->resting_until));
        co_await controlled->wake.async_wait(use_result);
        co_return;
    }
    if (tracker.report_due(now)) {
        co_await fetch_report(id, controlled);
        co_return;
    }
    request_newer_versions(tracker);
    service_definition const* const service =
        state_->configuration.find_service(at->record.service);
    if (tracker.has_report() && !tracker.has_model() &&
        !tracker.base_model_set() && service != nullptr && service->engine &&
        !service->engine->models.empty() && try_admit_model_load(*service)) {
        tracker.set_base_model(service->engine->models.front().name);
    }
    auto const next = tracker.next_command(now);
    publish_changes(id, tracker);
    if (next) {
        co_await send_command(id, controlled, *next);
        co_return;
    }
    controlled->wake.expires_after(std::max<duration>(
        time_until(tracker.next_check_at(now)), milliseconds(5)));
    co_await controlled->wake.async_wait(use_result);
}

asio::awaitable<void>
replica_controller::fetch_report(endpoint_id id, controlled_ptr controlled) {
    replica const* const at = state_->replicas.find(id);
    ip_address to = at->record.address;
    bool const first = !controlled->tracker.has_report();
    http_call call(state_->io.get_executor(), &state_->replica_connections);
    call_times times = short_call_times(replica_timeout);
    // The answer to an order is no report, and a copy of an earlier report is
    // as good as a report of that time.
    times.echoed = platform::id_field;
    http_request request = platform::make_report_request(id);
    auto const got = co_await fetch(
        call, std::move(to), std::move(request), times, largest_control_answer);
    record_reachability(state_->reachability, id, got.how, call);
    if (platform::announces_leaving(got.response.fields)) {
        messenger_->report_leaving(id);
    }
    instant const now = boot_clock::now();
    constexpr int status_ok = 200;
    bool const answered =
        got.how == call_result::answered && got.response.status == status_ok;
    auto const read =
        answered ? platform::read_report(got.response.body) : std::nullopt;
    if (!read) {
        controlled->tracker.on_report_failed(now);
        asio::steady_timer timer(state_->io, retry_interval);
        co_await timer.async_wait(use_result);
        co_return;
    }
    state_->replicas.mark_heard(id, now);
    controlled->tracker.apply_report(*read, now);
    if (first) {
        state_->log_event(log_line(event_code::replica_reported)
                              .with("replica", id.str())
                              .with("sequence", read->sequence)
                              .with("adapters", read->adapters.size())
                              .with("models", read->models.size()));
    }
    publish_changes(id, controlled->tracker);
}

asio::awaitable<void> replica_controller::send_command(
    endpoint_id id, controlled_ptr controlled, replica_command command) {
    replica const* const at = state_->replicas.find(id);
    ip_address to = at->record.address;
    http_request request = platform::make_order(
        command, id, state_->settings.name.str(), controlled->token);
    // The token is read again right before the command is sent, because this
    // process may have been suspended since the last check.
    instant const now = boot_clock::now();
    auto const token = state_->leases.token(partition_of(id), now);
    if (!token || *token != controlled->token) {
        controlled->tracker.on_result(command, command_result::not_sent, now);
        co_return;
    }
    order_outcome const outcome = co_await send_order(
        *state_, id, std::move(to), std::move(request), *token);
    command_result const answer = outcome.answer;
    if (outcome.leaving) {
        messenger_->report_leaving(id);
    }
    if (answer != command_result::not_sent &&
        answer != command_result::no_answer &&
        answer != command_result::wrong_replica) {
        state_->replicas.mark_heard(id, boot_clock::now());
    }
    state_->metrics.count_command(to_string(answer));
    // A command that is repeated to check its progress is not logged as a new
    // decision.
    bool const status_check =
        controlled->tracker.command_pending(command.adapter.id) &&
        answer == command_result::accepted;
    if (!status_check) {
        log_command(id, *controlled, command, answer);
    }
    if (answer == command_result::fenced) {
        state_->leases.on_higher_token(partition_of(id), controlled->token + 1);
    }
    controlled->tracker.on_result(command, answer, boot_clock::now());
    publish_changes(id, controlled->tracker);
    if (answer == command_result::wrong_replica) {
        handle_replaced_replica(id);
    }
    if (answer == command_result::not_sent) {
        asio::steady_timer timer(state_->io, retry_interval);
        co_await timer.async_wait(use_result);
    }
}

// Guards against a replica that has stopped but stays listed until its registry
// entry expires, which takes seconds after an outage of the store. Load
// requests were sent for it, and the replica that now has its address rejected
// each command.
void replica_controller::handle_replaced_replica(endpoint_id const& id) {
    instant const now = boot_clock::now();
    replica const* const at = state_->replicas.find(id);
    if (at == nullptr || !at->accepts_requests()) {
        return;
    }
    state_->log_event(log_line(event_code::replica_gone, log_level::warning)
                          .with("replica", id.str())
                          .with("why", "another replica has its address"));
    messenger_->broadcast_suspicion(*at, registry_entry_lifetime);
    state_->replicas.mark_unlisted(id, false, now);
}

void replica_controller::log_command(
    endpoint_id const& id, controlled_replica const& controlled,
    replica_command const& command, command_result answer) {
    state_->log_event(log_line(event_code::order_answered)
                          .with("replica", id.str())
                          .with("order", to_string(command.kind))
                          .with("adapter", command.adapter.id.str())
                          .with("expect", command.expected_count)
                          .with("token", controlled.token)
                          .with("answer", to_string(answer)));
}

void replica_controller::request_newer_versions(slot_tracker& tracker) {
    // The tracker keeps adapters that are in use: requests for the new version
    // go to a replica that loads it into a separate slot.
    instant const now = boot_clock::now();
    for (adapter_ref const& each : state_->versions.all()) {
        bool const outdated =
            tracker.ready({each.id, 0}) && !tracker.ready(each);
        if (outdated) {
            tracker.request_load(each, load_priority::prefetch, now);
        }
    }
}

bool replica_controller::try_admit_model_load(
    service_definition const& service) {
    // The rate limit of base model loads applies to all replicas together. Each
    // lease holder uses a quota share in proportion to its number of
    // partitions.
    instant const now = boot_clock::now();
    std::erase_if(model_load_times_, [&](instant const each) {
        return now >= each + load_window;
    });
    std::chrono::duration<double> const window = load_window;
    double const fraction =
        static_cast<double>(state_->leases.held_partitions().size()) /
        static_cast<double>(partition_count);
    double const max_loads = std::max(
        1.0, service.engine->loads_per_second * window.count() * fraction);
    if (static_cast<double>(model_load_times_.size()) + 1 > max_loads) {
        return false;
    }
    model_load_times_.push_back(now);
    return true;
}

} // namespace camphorpoint
