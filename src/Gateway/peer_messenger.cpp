#include "Gateway/peer_messenger.hpp"

#include "Core/hash.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

/// Interval of the usage broadcasts. A replica receives only a few requests in
/// that time; a shorter interval would cost each node more datagrams to every
/// other node.
constexpr milliseconds broadcast_interval{100};
/// With more nodes than this each node broadcasts less often, so that the rate
/// at which one node receives datagrams stays about the same.
constexpr unsigned nodes_at_full_rate = 10;
/// Reports of running requests are repeated every so many ticks, because a
/// datagram may be lost.
constexpr unsigned ticks_per_repeat = 2;
/// The end of the last request at a brittle replica is repeated as often.
constexpr int end_report_repeats = 3;
/// Registry changes in one datagram; an entry has 100 to 180 bytes.
constexpr std::size_t max_changes_per_datagram = 5;
/// Load requests for one adapter at one replica are not repeated sooner than
/// this.
constexpr duration min_load_request_interval = std::chrono::milliseconds(250);
/// Reported usage of a replica is used for this long: a replica receives one or
/// two requests from all nodes together meanwhile.
constexpr duration usage_max_age = std::chrono::milliseconds(40);
/// Broadcasts of a lease holder contain its claims and arrive several times
/// within this period; after it the lease holder is looked up again.
constexpr duration lease_holder_lost_after = std::chrono::seconds(3);
/// A node from which no message was received for this long, and for two
/// broadcast intervals, gets no load requests and no relayed requests. Nodes
/// broadcast every 100 ms, in a cluster of 90 nodes about every second.
constexpr duration peer_suspected_after = std::chrono::milliseconds(1'500);
/// A node is no longer counted as a peer when no message was received from it
/// for this long.
constexpr duration peer_expiry = std::chrono::seconds(20);

/// Usage entries in one datagram, seventeen bytes each, and as many claims.
constexpr std::size_t max_usages_per_datagram = 40;
constexpr std::size_t max_claims_per_datagram = 40;

/// @returns the number of ticks between two broadcasts of a node
unsigned ticks_between_broadcasts(unsigned nodes) {
    return 1 + nodes / nodes_at_full_rate;
}

peer_attempt_report
report_message(std::uint64_t replica, attempt_report const& report) {
    constexpr unsigned max_tokens = std::numeric_limits<std::uint16_t>::max();
    auto const clamped = [](duration time) {
        constexpr std::int64_t max_us =
            std::numeric_limits<std::uint32_t>::max();
        auto const count =
            std::chrono::duration_cast<microseconds>(time).count();
        return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(count, 0, max_us));
    };
    return {
        replica,
        report.signal,
        static_cast<std::uint16_t>(std::min(report.prompt_tokens, max_tokens)),
        clamped(report.first_output),
        clamped(report.event_interval),
        report.probe};
}

template <class Tick>
std::uint16_t tick_count(duration time) {
    constexpr std::int64_t max_count =
        std::numeric_limits<std::uint16_t>::max();
    using tick = std::chrono::duration<std::int64_t, typename Tick::period>;
    auto const count = std::chrono::duration_cast<tick>(time).count();
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(count, 0, max_count));
}

void set_pace(peer_replica_usage& load, replica_condition const& of) {
    load.interval_ticks = tick_count<interval_tick>(of.event_interval);
    load.token_ticks = tick_count<token_tick>(of.token_time);
    if (of.slowdown_age > duration::zero() || of.slowdown != 1) {
        load.slowdown_percent =
            static_cast<std::uint16_t>(of.slowdown * percent);
        load.slowdown_age_ms = tick_count<milliseconds>(of.slowdown_age);
    }
}

} // namespace

std::size_t partition_of(endpoint_id const& replica) {
    return fleet::id_hash(replica) % partition_count;
}

peer_messenger::peer_messenger(gateway_state& state, message_handlers handlers)
    : state_(&state)
    , handlers_(std::move(handlers))
    , link_(
          state.io.get_executor(),
          [this](std::string const& bytes) { receive(bytes); })
    , part_monitor_(state.quarantine)
    // Guards against late answers to an earlier process of this node, and
    // against a controller that takes a question for a repeat of an earlier
    // process's: both know a question by this node's address and its number.
    , last_permit_request_(state.random())
    , last_usage_request_(state.random())
    , stream_origins_(state.settings.stream_lifetime)
    , last_stream_question_(state.random()) {}

std::string peer_messenger::start() {
    std::string problem = link_.listen(state_->settings.peer_address);
    if (problem.empty()) {
        running_ = true;
        started_at_ = boot_clock::now();
        asio::co_spawn(
            state_->io, [this] { return run_broadcasts(); }, asio::detached);
    }
    return problem;
}

void peer_messenger::stop() {
    running_ = false;
    link_.close();
}

void peer_messenger::send(std::string const& peer, peer_datagram message) {
    if (message.empty()) {
        return;
    }
    message.from = state_->own_address;
    link_.send(parse_address(peer), encode(message));
}

void peer_messenger::send_all(peer_datagram const& message) {
    for (auto const& [peer, last_received] : state_->peers) {
        send(peer, message);
    }
}

void peer_messenger::set_lease_holder(
    std::size_t partition, std::string const& member) {
    if (member != state_->own_address) {
        state_->peers.try_emplace(member, boot_clock::now());
    }
    store_lease_holder(partition, member);
}

void peer_messenger::store_lease_holder(
    std::size_t partition, std::string const& member) {
    auto const [holder, first] = lease_holders_.try_emplace(partition, member);
    if (!first && holder->second != member) {
        holder->second = member;
        auto& changes = holder_changes_[partition];
        changes = {boot_clock::now(), changes[0]};
    }
}

bool peer_messenger::lacks_reachable_lease_holder(instant now) const {
    return std::ranges::any_of(state_->replicas.all(), [&](auto const& each) {
        if (!each.second.accepts_requests() ||
            each.second.record.models.empty()) {
            return false;
        }
        auto const holder = lease_holders_.find(partition_of(each.first));
        if (holder == lease_holders_.end()) {
            return true;
        }
        auto const last_received = state_->peers.find(holder->second);
        bool const unreachable =
            last_received == state_->peers.end() ||
            now >= last_received->second + lease_holder_lost_after;
        return holder->second != state_->own_address && unreachable;
    });
}

void peer_messenger::request_load(
    replica const& at, adapter_ref const& adapter, load_priority priority,
    bool first_request, duration wait_budget) {
    instant const now = boot_clock::now();
    instant& last_sent = last_load_requests_[{at.record.id, adapter.id}];
    // Guards against a lease holder that is flooded by the repeated load
    // requests of hundreds of requests when an adapter has just become busy: a
    // node repeats the load request once for all of its requests.
    if (!first_request && now < last_sent + min_load_request_interval) {
        return;
    }
    last_sent = now;
    peer_load_request request;
    request.replica = fleet::id_hash(at.record.id);
    request.adapter = adapter.id.str();
    request.version = adapter.version;
    request.priority = static_cast<std::uint8_t>(priority);
    request.first_request = first_request;
    request.wait_budget_ms = clamped_milliseconds(wait_budget);
    auto const holder = lease_holders_.find(partition_of(at.record.id));
    if (holder == lease_holders_.end()) {
        return;
    }
    if (holder->second == state_->own_address) {
        handle_load_request(request, state_->own_address);
        return;
    }
    // Guards against requests that wait for a load that no node commands: a
    // node that was stopped or killed during the store's outage has no
    // successor until the outage ends. These requests go to the next preferred
    // replica instead, whose lease holder is reachable.
    auto const last_received = state_->peers.find(holder->second);
    duration const two_broadcasts = 2 * status_interval();
    if (last_received != state_->peers.end() &&
        now >= last_received->second +
                   std::max(peer_suspected_after, two_broadcasts)) {
        handle_load_rejection(
            {request.replica, request.adapter,
             clamped_milliseconds(peer_suspected_after)},
            now);
        return;
    }
    peer_datagram message;
    message.load_requests.push_back(std::move(request));
    send(holder->second, std::move(message));
}

void peer_messenger::broadcast_residency(
    endpoint_id const& at, std::vector<peer_residency> residencies) {
    for (peer_residency& each : residencies) {
        each.replica = fleet::id_hash(at);
    }
    while (!residencies.empty()) {
        peer_datagram message;
        message.residencies = drain_batch(residencies);
        send_all(message);
    }
}

void peer_messenger::broadcast_claim(
    std::size_t partition, std::uint64_t token) {
    peer_datagram message;
    message.claims.push_back({static_cast<std::uint32_t>(partition), token});
    send_all(message);
}

void peer_messenger::broadcast_registry_update(peer_registry_update update) {
    // The datagrams cover consecutive ranges, so that the receiver notices a
    // lost one as a gap before the next.
    std::vector<peer_registry_entry> all = std::move(update.changes);
    std::size_t done = 0;
    do {
        std::size_t const end =
            std::min(all.size(), done + max_changes_per_datagram);
        peer_registry_update part;
        store_epoch const epoch = update.to.epoch;
        part.from =
            done == 0 ? update.from : store_position{epoch, all[done].position};
        part.to = end == all.size() ? update.to
                                    : store_position{epoch, all[end].position};
        part.changes.assign(
            all.begin() + static_cast<std::ptrdiff_t>(done),
            all.begin() + static_cast<std::ptrdiff_t>(end));
        peer_datagram message;
        message.registry_updates.push_back(std::move(part));
        send_all(message);
        done = end;
    } while (done < all.size());
}

void peer_messenger::broadcast_suspicion(replica const& at, duration backoff) {
    peer_datagram message;
    message.suspicions.push_back(
        {fleet::id_hash(at.record.id), clamped_milliseconds(backoff)});
    send_all(message);
}

void peer_messenger::begin_use(
    endpoint_id const& at, adapter_id const& adapter, unsigned prompt_tokens) {
    use_key const key{at, adapter};
    use_count& count = uses_[key];
    ++count.running;
    count.prompt_tokens += prompt_tokens;
    send_use(key, count);
}

void peer_messenger::end_use(
    endpoint_id const& at, adapter_id const& adapter,
    std::optional<attempt_report> const& report) {
    use_key const key{at, adapter};
    auto const found = uses_.find(key);
    if (found == uses_.end()) {
        return;
    }
    --found->second.running;
    send_use(key, found->second, report);
    if (found->second.running == 0 && is_brittle(at)) {
        found->second.end_repeats = end_report_repeats;
    } else if (found->second.running == 0) {
        uses_.erase(found);
    }
}

void peer_messenger::send_use(
    use_key const& key, use_count& count,
    std::optional<attempt_report> const& report) {
    auto const holder = lease_holders_.find(partition_of(key.replica));
    if (holder == lease_holders_.end()) {
        return;
    }
    peer_adapter_usage usage{
        fleet::id_hash(key.replica), key.adapter.str(), count.running,
        count.prompt_tokens};
    count.prompt_tokens = 0;
    peer_datagram message;
    // A replica that this node does not reach may be reached by all others.
    bool const own_links = report &&
                           report->signal == health_signal::no_response &&
                           state_->reachability.in_doubt(boot_clock::now());
    if (report && !own_links) {
        message.attempt_reports.push_back(
            report_message(usage.replica, *report));
    }
    if (holder->second == state_->own_address) {
        instant const now = boot_clock::now();
        for (peer_attempt_report const& each : message.attempt_reports) {
            handle_attempt_report(each, now);
        }
        handle_usage(usage, state_->own_address, now);
        return;
    }
    message.adapter_usages.push_back(std::move(usage));
    for (int copy = 1; copy < copies_of_report(key.replica); ++copy) {
        peer_datagram repeated = message;
        repeated.adapter_usages.back().prompt_tokens = 0;
        repeated.attempt_reports.clear();
        send(holder->second, std::move(repeated));
    }
    send(holder->second, std::move(message));
}

void peer_messenger::repeat_uses() {
    std::map<std::string, std::vector<peer_adapter_usage>> to;
    instant const now = boot_clock::now();
    std::erase_if(uses_, [](auto const& each) {
        return each.second.running == 0 && each.second.end_repeats == 0;
    });
    for (auto& [key, count] : uses_) {
        count.end_repeats -= count.end_repeats > 0 ? 1 : 0;
        auto const holder = lease_holders_.find(partition_of(key.replica));
        if (holder == lease_holders_.end()) {
            continue;
        }
        peer_adapter_usage usage{
            fleet::id_hash(key.replica), key.adapter.str(), count.running, 0};
        if (holder->second == state_->own_address) {
            handle_usage(usage, state_->own_address, now);
        } else {
            to[holder->second].push_back(std::move(usage));
        }
    }
    for (auto& [peer, all] : to) {
        while (!all.empty()) {
            peer_datagram message;
            message.adapter_usages = drain_batch(all);
            send(peer, std::move(message));
        }
    }
}

bool peer_messenger::is_lease_holder(endpoint_id const& at) const {
    auto const holder = lease_holders_.find(partition_of(at));
    return holder != lease_holders_.end() &&
           holder->second == state_->own_address;
}

replica_usage
peer_messenger::current_usage(std::uint64_t replica, instant now) const {
    replica_usage total = request_tracker_.usage(replica, now);
    total.free_slots = handlers_.free_slots(replica);
    return total;
}

std::optional<peer_replica_usage>
peer_messenger::usage_message(std::uint64_t replica, instant now) const {
    constexpr double max_tokens = std::numeric_limits<std::uint16_t>::max();
    camphorpoint::replica const* const at =
        state_->replicas.find_by_hash(replica);
    if (at == nullptr || !is_lease_holder(at->record.id)) {
        return std::nullopt;
    }
    replica_usage const total = current_usage(replica, now);
    peer_replica_usage load;
    load.replica = replica;
    load.free_slots = static_cast<std::int16_t>(total.free_slots);
    load.running = static_cast<std::uint16_t>(total.running);
    load.backlog_tokens =
        static_cast<std::uint16_t>(std::min(total.backlog_tokens, max_tokens));
    load.failure_permille = static_cast<std::uint16_t>(
        total.condition.failure_probability * permille);
    set_pace(load, total.condition);
    load.flags = total.condition.avoided ? usage_avoided : 0;
    load.flags |= total.condition.readmitted ? usage_readmitted : 0;
    return load;
}

void peer_messenger::log_avoidance(
    endpoint_id const& at, bool begins, std::string_view why, instant now) {
    replica_outcomes const* const seen =
        request_tracker_.outcomes(fleet::id_hash(at));
    event_code const code =
        begins ? event_code::replica_avoided : event_code::replica_readmitted;
    log_line line(code, begins ? log_level::warning : log_level::info);
    line.with("replica", at.str()).with("why", why);
    if (seen != nullptr) {
        double const probability = seen->failure_probability(now);
        line.with("failure_permille", static_cast<int>(probability * permille))
            .with("failed", static_cast<int>(seen->failed_attempts(now)))
            .with("answered", static_cast<int>(seen->answered_attempts(now)))
            .with("probes", seen->probes())
            .with("avoided_ms", now - seen->avoided_since());
    }
    state_->log_event(line);
}

void peer_messenger::forget_outcomes(endpoint_id const& at) {
    replica_outcomes const* const seen =
        request_tracker_.outcomes(fleet::id_hash(at));
    if (seen != nullptr && seen->avoided()) {
        log_avoidance(at, false, "restart", boot_clock::now());
    }
    request_tracker_.forget_outcomes(fleet::id_hash(at));
}

void peer_messenger::handle_attempt_report(
    peer_attempt_report const& report, instant now) {
    attempt_report const ended{
        report.signal, report.prompt_tokens,
        microseconds(report.first_output_us),
        microseconds(report.event_interval_us), report.probe};
    replica const* const at = state_->replicas.find_by_hash(report.replica);
    // Guards against outcomes that no later message of this node erases: the
    // replica's controller is another one now.
    if (at == nullptr || !is_lease_holder(at->record.id)) {
        return;
    }
    constexpr std::string_view names[] = {
        "answered", "failed", "truncated", "no-response", "rejected"};
    auto const signal = static_cast<std::size_t>(report.signal);
    if (signal >= std::size(names)) {
        return;
    }
    describe(report.replica, *at, now);
    avoidance_change const change = request_tracker_.add_attempt(
        report.replica, at->record.slots, ended, now);
    if (change != avoidance_change::none) {
        log_avoidance(
            at->record.id, change == avoidance_change::began, names[signal],
            now);
    }
}

void peer_messenger::describe(
    std::uint64_t hash, replica const& at, instant now) {
    request_tracker_.describe(
        hash, at.record.slots, at.record.started_at, at.speed.token_time, now);
}

void peer_messenger::report_slowdown(endpoint_id const& at, double factor) {
    instant const now = boot_clock::now();
    auto const holder = lease_holders_.find(partition_of(at));
    if (!state_->replicas.note_slowdown(at, factor, now) ||
        holder == lease_holders_.end()) {
        return;
    }
    std::uint64_t const hash = fleet::id_hash(at);
    if (holder->second == state_->own_address) {
        request_tracker_.add_slowdown(hash, factor, now);
        return;
    }
    peer_datagram message;
    message.slowdowns.push_back(
        {hash, static_cast<std::uint16_t>(factor * percent)});
    send(holder->second, std::move(message));
}

void peer_messenger::handle_usage(
    peer_adapter_usage const& use, std::string const& from, instant now) {
    unsigned const before = request_tracker_.running(use.replica);
    request_tracker_.update(
        from, use.replica, adapter_id(use.adapter), use.running,
        use.prompt_tokens, now);
    auto const grants = slot_grants_.find(use.replica);
    if (grants != slot_grants_.end()) {
        grants->second.on_report(
            hash_text(from), before, request_tracker_.running(use.replica),
            now);
    }
    state_->replicas.update_usage(
        use.replica, current_usage(use.replica, now), now);
    // For the slot it only matters whether any node has running requests there.
    peer_adapter_usage of_all = use;
    of_all.running =
        request_tracker_.in_use(use.replica, adapter_id(use.adapter)) ? 1 : 0;
    handlers_.on_usage(of_all);
}

void peer_messenger::permit_own_probe(
    std::uint64_t replica, bool suitable, instant now) {
    if (request_tracker_.take_probe(replica, suitable, now)) {
        replica_usage total = current_usage(replica, now);
        total.condition.probe_permitted = true;
        state_->replicas.update_usage(replica, total, now);
    }
}

std::vector<endpoint_id> peer_messenger::query_replica_usage(
    std::vector<replica*> const& of, adapter_id const& adapter, bool may_probe,
    instant now) {
    std::vector<endpoint_id> asked;
    for (replica* const each : of) {
        auto const holder = lease_holders_.find(partition_of(each->record.id));
        if (holder == lease_holders_.end()) {
            continue;
        }
        std::uint64_t const hash = fleet::id_hash(each->record.id);
        if (holder->second == state_->own_address) {
            permit_own_probe(hash, may_probe, now);
        } else if (now >= each->usage_received_at + usage_max_age) {
            peer_datagram message;
            message.usage_queries.push_back(
                {hash, adapter.str(), static_cast<std::uint8_t>(of.size()),
                 may_probe});
            send(holder->second, std::move(message));
            asked.push_back(each->record.id);
        }
    }
    return asked;
}

void peer_messenger::handle_usage_query(
    peer_replica_usage_query const& query, std::string const& from,
    instant now) {
    auto total = usage_message(query.replica, now);
    if (!total) {
        return;
    }
    if (request_tracker_.take_probe(query.replica, query.may_probe, now)) {
        total->flags |= usage_probe_permitted;
    }
    request_tracker_.add_expected_request(
        query.replica, 1.0 / std::max<double>(1, query.queried_replicas), now);
    peer_datagram message;
    message.replica_usages.push_back(*total);
    // The query is echoed because it names the adapter whose waiting requests
    // the answer wakes.
    message.usage_queries.push_back(query);
    message.answers_queries = true;
    send(from, std::move(message));
}

void peer_messenger::expire_peers(instant now) {
    std::erase_if(state_->peers, [&](auto const& each) {
        return now >= each.second + peer_expiry;
    });
    std::erase_if(state_->peer_links, [&](auto const& each) {
        return !state_->peers.contains(each.first);
    });
}

std::optional<std::string> peer_messenger::select_relay(
    std::set<std::string> const& tried, replica_links worst, instant now) {
    duration const max_age =
        std::max<duration>(peer_suspected_after, 2 * status_interval());
    std::vector<std::string> usable;
    for (auto const& [peer, last_received] : state_->peers) {
        auto const links = state_->peer_links.find(peer);
        bool const reaches =
            links == state_->peer_links.end() || links->second <= worst;
        if (now < last_received + max_age && !tried.contains(peer) && reaches) {
            usable.push_back(peer);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    return usable[state_->random() % usable.size()];
}

peer_datagram peer_messenger::status_message() const {
    peer_datagram message;
    message.alive = true;
    message.declared_position = state_->declared_position;
    message.declared_total = state_->declared_total();
    message.knows_quarantines =
        state_->quarantine_sync_state.complete(boot_clock::now());
    message.links = state_->reachability.links(boot_clock::now());
    message.registry_answered_ms = clamped_milliseconds(
        state_->registry_outages.answered_for(boot_clock::now()));
    return message;
}

void peer_messenger::query_declared() {
    if (!state_->startup.done()) {
        peer_datagram message = status_message();
        message.queries_declared = true;
        for (std::string const& each : state_->startup.peers_to_ask()) {
            send(each, message);
        }
    }
}

duration peer_messenger::status_interval() const {
    return broadcast_interval * ticks_between_broadcasts(state_->nodes());
}

void peer_messenger::broadcast_status(instant now) {
    std::erase_if(last_load_requests_, [&](auto const& each) {
        return now >= each.second + min_load_request_interval;
    });
    peer_datagram message = status_message();
    for (auto const& [id, each] : state_->replicas.all()) {
        if (!each.accepts_requests() ||
            message.replica_usages.size() >= max_usages_per_datagram) {
            continue;
        }
        std::uint64_t const name = fleet::id_hash(id);
        describe(name, each, now);
        if (auto const total = usage_message(name, now)) {
            message.replica_usages.push_back(*total);
            state_->replicas.update_usage(name, current_usage(name, now), now);
            if (each.rate_limit) {
                message.rate_limits.push_back(rate_limit_message(each, now));
            }
        }
    }
    for (std::size_t const each : state_->leases.held_partitions()) {
        auto const token = state_->leases.token(each, now);
        if (token && message.claims.size() < max_claims_per_datagram) {
            message.claims.push_back(
                {static_cast<std::uint32_t>(each), *token});
        }
    }
    message.brittle_services = brittle_services(now);
    message.leaving_replicas = recently_leaving(now);
    send_all(message);
}

asio::awaitable<void> peer_messenger::run_broadcasts() {
    unsigned tick = 0;
    while (running_) {
        instant const now = boot_clock::now();
        if (tick % ticks_between_broadcasts(state_->nodes()) == 0) {
            broadcast_status(now);
            repeat_quarantines(now);
        }
        quarantine_confirmed_parts(now);
        query_declared();
        if (tick % ticks_per_repeat == 0) {
            repeat_crashes(now);
            repeat_part_crashes(now);
            repeat_uses();
            request_tracker_.drop_timed_out_nodes(now);
            state_->replicas.expire_usage(now);
            drop_unused_grants();
        }
        announce_deferred_streams(now);
        ++tick;
        expire_peers(now);
        asio::steady_timer timer(state_->io, broadcast_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace camphorpoint
