#include "Gateway/replica_controller.hpp"

#include "Gateway/command_times.hpp"
#include "Ports/http_client.hpp"
#include "platform/configuration_reader.hpp"
#include "platform/order_wire.hpp"

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

/// A replica answers an order or a report within a few milliseconds; longer
/// means that it, or the way to it, is down.
constexpr milliseconds replica_timeout{700};
/// A worker without the right to order asks again.
constexpr milliseconds no_right_pause{100};
/// An entry lapses three writings, of a second or a little more, after the
/// last.
constexpr duration entry_lapses = std::chrono::seconds(4);
/// The span over which the loads of base models are counted.
constexpr duration load_window = std::chrono::seconds(5);

load_priority kind_of(peer_load_request const& asked) {
    auto const last = static_cast<std::uint8_t>(load_priority::prefetch);
    return static_cast<load_priority>(std::min(asked.kind, last));
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
        state_->io, [this] { return renew(); }, asio::detached);
}

void replica_controller::stop() {
    if (!*running_) {
        return;
    }
    *running_ = false;
    state_->leases.clear();
    wake_workers();
    asio::co_spawn(
        state_->io, [this] { return leave(); }, asio::detached);
}

void replica_controller::wake_workers() {
    for (auto const& [id, held] : held_) {
        held->wake.cancel();
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
        if (!token || !limits || !at.accepts_requests() || held_.contains(id)) {
            continue;
        }
        auto const held = std::make_shared<held_replica>(
            *limits, limiter_, state_->io, *token,
            *state_->leases.exclusive_since(partition_of(id)));
        held_[id] = held;
        limiter_->set_replicas(held_.size());
        by_short_name_[fleet::id_hash(id)] = id;
        asio::co_spawn(
            state_->io, [this, id = id, held] { return work(id, held); },
            asio::detached);
    }
}

std::map<endpoint_id, replica_controller::held_ptr>::const_iterator
replica_controller::find_held(std::uint64_t replica) const {
    auto const id = by_short_name_.find(replica);
    return id == by_short_name_.end() ? held_.end() : held_.find(id->second);
}

std::optional<duration>
replica_controller::handle_load_request(peer_load_request const& asked) {
    auto const held = find_held(asked.replica);
    if (held == held_.end()) {
        // Another may order for it by now. A node that is stopping can't give
        // its replicas to another while the store is down.
        if (*running_) {
            return std::nullopt;
        }
        return state_->settings.leases.lease;
    }
    adapter_ref const adapter{adapter_id(asked.adapter), asked.version};
    slot_tracker& account = held->second->account;
    if (account.ready(adapter)) {
        // Whoever asks has missed the word of it.
        publish(held->first, account);
        std::vector<peer_residency> words{
            {0, asked.adapter, asked.version, true}};
        messenger_->broadcast_residency(held->first, std::move(words));
        state_->replicas.mark_resident(held->first, adapter, boot_clock::now());
        state_->waiters.notify(adapter.id);
        return std::nullopt;
    }
    instant const now = boot_clock::now();
    load_priority const kind = kind_of(asked);
    // Repeats keep their place.
    bool const may_refuse =
        asked.first_request || kind == load_priority::prefetch;
    auto const refused =
        may_refuse ? account.refused_wait(
                         adapter, kind, milliseconds(asked.patience_ms), now)
                   : std::nullopt;
    bool const fresh = !account.load_requested(adapter.id);
    if (refused || fresh) {
        state_->log_event(
            log_line(
                refused ? event_code::load_turned_away
                        : event_code::load_queued)
                .with("replica", held->first.str())
                .with("adapter", asked.adapter)
                .with("kind", to_string(kind))
                .with("forecast_ms", account.expected_wait(adapter, kind, now))
                .with("patience_ms", static_cast<int>(asked.patience_ms))
                .with("free", account.available_slots(now))
                .with("waiting", account.pending_requests()));
    }
    if (refused) {
        return refused;
    }
    account.request_load(adapter, kind, now);
    held->second->wake.cancel();
    return std::nullopt;
}

void replica_controller::handle_usage(peer_adapter_usage const& told) {
    auto const held = find_held(told.replica);
    if (held != held_.end()) {
        held->second->account.record_use(
            adapter_id(told.adapter), told.running > 0, boot_clock::now());
    }
}

int replica_controller::free_slots(std::uint64_t replica) const {
    auto const held = find_held(replica);
    return held == held_.end()
               ? 0
               : held->second->account.available_slots(boot_clock::now());
}

void replica_controller::publish(endpoint_id const& id, slot_tracker& account) {
    instant const now = boot_clock::now();
    std::vector<peer_residency> words;
    for (residency_change const& each : account.drain_changes()) {
        if (each.resident) {
            state_->replicas.mark_resident(id, each.adapter, now);
            state_->waiters.notify(each.adapter.id);
        } else {
            state_->replicas.mark_unloading(id, each.adapter.id, now);
        }
        words.push_back(
            {0, each.adapter.id.str(), each.adapter.version, each.resident});
    }
    messenger_->broadcast_residency(id, std::move(words));
}

asio::awaitable<void> replica_controller::work(endpoint_id id, held_ptr held) {
    while (*running_ && !held->ended) {
        co_await work_once(id, held);
    }
    held_.erase(id);
    limiter_->set_replicas(held_.size());
    by_short_name_.erase(fleet::id_hash(id));
}

asio::awaitable<void>
replica_controller::work_once(endpoint_id id, held_ptr held) {
    replica const* const at = state_->replicas.find(id);
    instant const now = boot_clock::now();
    auto const token = state_->leases.token(partition_of(id), now);
    auto const since = state_->leases.exclusive_since(partition_of(id));
    if (at == nullptr || !at->accepts_requests() || !token ||
        since != held->since) {
        held->ended = true;
        co_return;
    }
    slot_tracker& account = held->account;
    if (*token != held->token) {
        // The same holder under a new number: what it knows of the replica
        // holds on, and a report shows what it may have missed.
        held->token = *token;
        account.require_report();
    }
    if (at->record.started_at != held->born) {
        // Asked by report, which is newer than the list: it may know already.
        held->born = at->record.started_at;
        account.require_report();
    }
    if (account.report_due(now)) {
        co_await report(id, held);
        co_return;
    }
    want_newer_versions(account);
    service_definition const* const service =
        state_->configuration.find_service(at->record.service);
    if (account.has_report() && !account.has_model() &&
        !account.base_model_set() && service != nullptr && service->engine &&
        !service->engine->models.empty() && may_load_model(*service)) {
        account.set_base_model(service->engine->models.front().name);
    }
    auto const next = account.next_command(now);
    publish(id, account);
    if (next) {
        co_await order(id, held, *next);
        co_return;
    }
    held->wake.expires_after(std::max<duration>(
        time_until(account.next_check_at(now)), milliseconds(5)));
    co_await held->wake.async_wait(use_result);
}

asio::awaitable<void>
replica_controller::report(endpoint_id id, held_ptr held) {
    replica const* const at = state_->replicas.find(id);
    ip_address to = at->record.address;
    bool const first = !held->account.has_report();
    http_call call(state_->io.get_executor(), &state_->replica_connections);
    call_times times;
    times.each_step = replica_timeout;
    http_request request = platform::make_report_request(id);
    auto const got =
        co_await fetch(call, std::move(to), std::move(request), times);
    instant const now = boot_clock::now();
    constexpr int status_ok = 200;
    bool const answered =
        got.how == call_result::answered && got.response.status == status_ok;
    auto const read =
        answered ? platform::read_report(got.response.body) : std::nullopt;
    if (!read) {
        held->account.on_report_failed(now);
        asio::steady_timer timer(state_->io, no_right_pause);
        co_await timer.async_wait(use_result);
        co_return;
    }
    held->account.apply_report(*read, now);
    if (first) {
        state_->log_event(log_line(event_code::replica_reported)
                              .with("replica", id.str())
                              .with("sequence", read->sequence)
                              .with("adapters", read->adapters.size())
                              .with("models", read->models.size()));
    }
    publish(id, held->account);
}

asio::awaitable<void> replica_controller::order(
    endpoint_id id, held_ptr held, replica_command order) {
    replica const* const at = state_->replicas.find(id);
    ip_address to = at->record.address;
    http_call call(state_->io.get_executor(), &state_->replica_connections);
    http_request request = platform::make_order(
        order, id, state_->settings.name.str(), held->token);
    // Read again right before the act: the node may have been suspended.
    instant const now = boot_clock::now();
    auto const token = state_->leases.token(partition_of(id), now);
    if (!token || *token != held->token) {
        held->account.on_result(order, command_result::not_sent, now);
        co_return;
    }
    call_times const times = command_times(state_->leases);
    auto const got =
        co_await fetch(call, std::move(to), std::move(request), times);
    command_result answer = command_result::no_answer;
    if (got.how == call_result::answered) {
        answer = platform::read_order_answer(got.response.status);
    } else if (got.how == call_result::not_sent) {
        answer = command_result::not_sent;
    }
    state_->metrics.count_command(to_string(answer));
    // An order that is given again to see how far it is decides nothing.
    bool const same_again = held->account.command_pending(order.adapter.id) &&
                            answer == command_result::accepted;
    if (!same_again) {
        note_order(id, *held, order, answer);
    }
    if (answer == command_result::fenced) {
        state_->leases.on_higher_token(partition_of(id), held->token + 1);
    }
    held->account.on_result(order, answer, boot_clock::now());
    publish(id, held->account);
    if (answer == command_result::wrong_replica) {
        note_replaced(id);
    }
    if (answer == command_result::not_sent) {
        asio::steady_timer timer(state_->io, no_right_pause);
        co_await timer.async_wait(use_result);
    }
}

// Guards against a replica that has ended and stands in the list until its
// entry lapses, after the store's outage for seconds: adapters were asked for
// there, and the replica that has its address now turned each order away.
void replica_controller::note_replaced(endpoint_id const& id) {
    instant const now = boot_clock::now();
    replica const* const at = state_->replicas.find(id);
    if (at == nullptr || !at->accepts_requests()) {
        return;
    }
    state_->log_event(log_line(event_code::replica_gone, log_level::warning)
                          .with("replica", id.str())
                          .with("why", "its address is another's"));
    messenger_->broadcast_suspicion(*at, entry_lapses);
    state_->replicas.mark_unlisted(id, false, now);
}

void replica_controller::note_order(
    endpoint_id const& id, held_replica const& held,
    replica_command const& order, command_result answer) {
    state_->log_event(log_line(event_code::order_answered)
                          .with("replica", id.str())
                          .with("order", to_string(order.kind))
                          .with("adapter", order.adapter.id.str())
                          .with("expect", order.expected_count)
                          .with("token", held.token)
                          .with("answer", to_string(answer)));
}

void replica_controller::want_newer_versions(slot_tracker& account) {
    // What is in use is left as it is, and the account sees to that: requests
    // go to a replica that gets the new version in a slot of its own.
    instant const now = boot_clock::now();
    for (adapter_ref const& each : state_->versions.all()) {
        bool const outdated =
            account.ready({each.id, 0}) && !account.ready(each);
        if (outdated) {
            account.request_load(each, load_priority::prefetch, now);
        }
    }
}

bool replica_controller::may_load_model(service_definition const& service) {
    // Loads of base models are rated over all replicas. Each holder takes a
    // share as large as its part of the partitions.
    instant const now = boot_clock::now();
    std::erase_if(model_loads_, [&](instant const each) {
        return now >= each + load_window;
    });
    std::chrono::duration<double> const window = load_window;
    double const share =
        static_cast<double>(state_->leases.held_partitions().size()) /
        static_cast<double>(partition_count);
    double const most = std::max(
        1.0, service.engine->loads_per_second * window.count() * share);
    if (static_cast<double>(model_loads_.size()) + 1 > most) {
        return false;
    }
    model_loads_.push_back(now);
    return true;
}

} // namespace camphorpoint
