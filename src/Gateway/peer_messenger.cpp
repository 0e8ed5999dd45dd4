#include "Gateway/peer_messenger.hpp"

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
using std::chrono::milliseconds;

namespace {

/// How often the counts of replicas are told to all. A replica takes in some
/// requests in that time; more often costs each node a datagram to each other
/// one.
constexpr milliseconds telling_pause{100};
/// With more nodes than this each tells less often, so that what one node
/// receives in a second stays about the same.
constexpr unsigned nodes_at_full_pace = 10;
/// Running requests are told again so often, as a datagram may be lost.
constexpr unsigned ticks_to_repeat = 2;
/// Changes of the list in one datagram; an entry has 100 to 180 bytes.
constexpr std::size_t most_changes = 5;
/// Wants of one adapter at one replica are not repeated sooner.
constexpr duration want_pause = std::chrono::milliseconds(250);
/// Word of a replica's load is fresh for this long: with all nodes together it
/// takes in one or two requests meanwhile.
constexpr duration fresh_word = std::chrono::milliseconds(40);
/// A node tells its claims with its counts, a few times in this.
constexpr duration owner_silent = std::chrono::seconds(3);
/// A node tells its counts every 100 ms, one of 90 every second: a holder that
/// is silent for longer, and for two such pauses, is not there.
constexpr duration holder_silent = std::chrono::milliseconds(1'500);
/// A node that was not heard for so long is no longer counted as one.
constexpr duration peer_lasts = std::chrono::seconds(20);

/// Counts of one datagram, twelve bytes each, and claims of as many.
constexpr std::size_t most_counts = 40;
constexpr std::size_t most_claims = 40;

/// How many pauses lie between two tellings of a node.
unsigned pauses_between(unsigned nodes) {
    return 1 + nodes / nodes_at_full_pace;
}

} // namespace

std::size_t partition_of(endpoint_id const& replica) {
    return fleet::id_hash(replica) % partition_count;
}

peer_messenger::peer_messenger(gateway_state& state, receiver to)
    : state_(&state)
    , to_(std::move(to))
    , link_(state.io.get_executor(), [this](std::string const& bytes) {
        receive(bytes);
    }) {}

std::string peer_messenger::start() {
    std::string problem = link_.listen(state_->settings.peer_address);
    if (problem.empty()) {
        running_ = true;
        asio::co_spawn(
            state_->io, [this] { return tell_counts(); }, asio::detached);
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
    for (auto const& [peer, heard] : state_->peers) {
        send(peer, message);
    }
}

void peer_messenger::set_lease_holder(
    std::size_t partition, std::string member) {
    if (member != state_->own_address) {
        state_->peers.try_emplace(member, boot_clock::now());
    }
    owners_[partition] = std::move(member);
}

bool peer_messenger::lacks_reachable_lease_holder(instant now) const {
    return std::ranges::any_of(state_->replicas.all(), [&](auto const& each) {
        if (!each.second.accepts_requests() ||
            each.second.record.models.empty()) {
            return false;
        }
        auto const owner = owners_.find(partition_of(each.first));
        if (owner == owners_.end()) {
            return true;
        }
        auto const heard = state_->peers.find(owner->second);
        bool const silent =
            heard == state_->peers.end() || now >= heard->second + owner_silent;
        return owner->second != state_->own_address && silent;
    });
}

void peer_messenger::request_load(
    replica const& at, adapter_ref const& adapter, load_priority kind,
    bool first_request, duration patience) {
    instant const now = boot_clock::now();
    instant& said = wanted_[{at.record.id, adapter.id}];
    // Guards against a holder that is swamped by the repeats of hundreds of
    // requests for an adapter that has just become busy: a node's requests
    // repeat with one voice.
    if (!first_request && now < said + want_pause) {
        return;
    }
    said = now;
    peer_load_request asked;
    asked.replica = fleet::id_hash(at.record.id);
    asked.adapter = adapter.id.str();
    asked.version = adapter.version;
    asked.kind = static_cast<std::uint8_t>(kind);
    asked.first_request = first_request;
    asked.patience_ms = clamped_milliseconds(patience);
    auto const owner = owners_.find(partition_of(at.record.id));
    if (owner == owners_.end()) {
        return;
    }
    if (owner->second == state_->own_address) {
        take_want(asked, state_->own_address);
        return;
    }
    // Guards against requests that wait for a load that nobody orders: a node
    // that was stopped or killed during the store's outage has no successor
    // until the outage ends. They go to the next home instead, whose holder is
    // there.
    auto const heard = state_->peers.find(owner->second);
    duration const two_tellings =
        2 * telling_pause * pauses_between(state_->nodes());
    if (heard != state_->peers.end() &&
        now >= heard->second + std::max(holder_silent, two_tellings)) {
        take_denial(
            {asked.replica, asked.adapter, clamped_milliseconds(holder_silent)},
            now);
        return;
    }
    peer_datagram message;
    message.wants.push_back(std::move(asked));
    send(owner->second, std::move(message));
}

void peer_messenger::broadcast_residency(
    endpoint_id const& at, std::vector<peer_residency> words) {
    for (peer_residency& each : words) {
        each.replica = fleet::id_hash(at);
    }
    while (!words.empty()) {
        peer_datagram message;
        message.words = drain_batch(words);
        send_all(message);
    }
}

void peer_messenger::broadcast_claim(
    std::size_t partition, std::uint64_t token) {
    peer_datagram message;
    message.claims.push_back({static_cast<std::uint32_t>(partition), token});
    send_all(message);
}

void peer_messenger::broadcast_registry_update(peer_registry_update reading) {
    // In pieces that follow one another: a lost one is a gap before the next.
    std::vector<peer_registry_entry> all = std::move(reading.changes);
    std::size_t done = 0;
    do {
        std::size_t const end = std::min(all.size(), done + most_changes);
        peer_registry_update piece;
        store_epoch const epoch = reading.to.epoch;
        piece.from =
            done == 0 ? reading.from : store_position{epoch, all[done].place};
        piece.to = end == all.size() ? reading.to
                                     : store_position{epoch, all[end].place};
        piece.changes.assign(
            all.begin() + static_cast<std::ptrdiff_t>(done),
            all.begin() + static_cast<std::ptrdiff_t>(end));
        peer_datagram message;
        message.readings.push_back(std::move(piece));
        send_all(message);
        done = end;
    } while (done < all.size());
}

void peer_messenger::broadcast_suspicion(replica const& at, duration rest) {
    peer_datagram message;
    message.suspicions.push_back(
        {fleet::id_hash(at.record.id), clamped_milliseconds(rest)});
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

void peer_messenger::end_use(endpoint_id const& at, adapter_id const& adapter) {
    use_key const key{at, adapter};
    auto const found = uses_.find(key);
    if (found == uses_.end()) {
        return;
    }
    --found->second.running;
    send_use(key, found->second);
    if (found->second.running == 0) {
        uses_.erase(found);
    }
}

void peer_messenger::send_use(use_key const& key, use_count& count) {
    auto const owner = owners_.find(partition_of(key.replica));
    if (owner == owners_.end()) {
        return;
    }
    peer_adapter_usage told{
        fleet::id_hash(key.replica), key.adapter.str(), count.running,
        count.prompt_tokens};
    count.prompt_tokens = 0;
    if (owner->second == state_->own_address) {
        take_use(told, state_->own_address, boot_clock::now());
        return;
    }
    peer_datagram message;
    message.uses.push_back(std::move(told));
    send(owner->second, std::move(message));
}

void peer_messenger::repeat_uses() {
    std::map<std::string, std::vector<peer_adapter_usage>> to;
    instant const now = boot_clock::now();
    for (auto const& [key, count] : uses_) {
        auto const owner = owners_.find(partition_of(key.replica));
        if (owner == owners_.end()) {
            continue;
        }
        peer_adapter_usage told{
            fleet::id_hash(key.replica), key.adapter.str(), count.running, 0};
        if (owner->second == state_->own_address) {
            take_use(told, state_->own_address, now);
        } else {
            to[owner->second].push_back(std::move(told));
        }
    }
    for (auto& [peer, all] : to) {
        while (!all.empty()) {
            peer_datagram message;
            message.uses = drain_batch(all);
            send(peer, std::move(message));
        }
    }
}

bool peer_messenger::orders_for(endpoint_id const& at) const {
    auto const owner = owners_.find(partition_of(at));
    return owner != owners_.end() && owner->second == state_->own_address;
}

replica_usage
peer_messenger::counted(std::uint64_t replica, instant now) const {
    replica_usage total = ledger_.usage(replica, now);
    total.free_slots = to_.free_slots(replica);
    return total;
}

std::optional<peer_replica_usage>
peer_messenger::total_of(std::uint64_t replica, instant now) const {
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    camphorpoint::replica const* const at =
        state_->replicas.find_by_hash(replica);
    if (at == nullptr || !orders_for(at->record.id)) {
        return std::nullopt;
    }
    replica_usage const total = counted(replica, now);
    peer_replica_usage load;
    load.replica = replica;
    load.free_slots = static_cast<std::int16_t>(total.free_slots);
    load.running = static_cast<std::uint16_t>(total.running);
    load.backlog_tokens =
        static_cast<std::uint16_t>(std::min(total.backlog_tokens, most));
    return load;
}

void peer_messenger::take_use(
    peer_adapter_usage const& use, std::string const& from, instant now) {
    ledger_.update(
        from, use.replica, adapter_id(use.adapter), use.running,
        use.prompt_tokens, now);
    state_->replicas.update_usage(use.replica, counted(use.replica, now), now);
    // What counts for the slot is whether any node has runs there.
    peer_adapter_usage of_all = use;
    of_all.running =
        ledger_.in_use(use.replica, adapter_id(use.adapter)) ? 1 : 0;
    to_.use(of_all);
}

std::vector<endpoint_id> peer_messenger::query_replica_usage(
    std::vector<replica*> const& of, adapter_id const& adapter, instant now) {
    std::vector<endpoint_id> asked;
    for (replica const* const each : of) {
        auto const owner = owners_.find(partition_of(each->record.id));
        bool const known =
            owner != owners_.end() && owner->second != state_->own_address;
        if (known && now >= each->usage_received_at + fresh_word) {
            peer_datagram message;
            message.asks.push_back(
                {fleet::id_hash(each->record.id), adapter.str(),
                 static_cast<std::uint8_t>(of.size())});
            send(owner->second, std::move(message));
            asked.push_back(each->record.id);
        }
    }
    return asked;
}

void peer_messenger::take_ask(
    peer_replica_usage_query const& ask, std::string const& from, instant now) {
    auto const total = total_of(ask.replica, now);
    if (!total) {
        return;
    }
    ledger_.add_expected_request(
        ask.replica, 1.0 / std::max<double>(1, ask.of), now);
    peer_datagram message;
    message.loads.push_back(*total);
    // Echoed: it names who waits for the answer.
    message.asks.push_back(ask);
    message.answers = true;
    send(from, std::move(message));
}

void peer_messenger::forget_peers(instant now) {
    std::erase_if(state_->peers, [&](auto const& each) {
        return now >= each.second + peer_lasts;
    });
}

peer_datagram peer_messenger::declared() const {
    peer_datagram message;
    message.present = true;
    message.declared_position = state_->declared_position;
    message.declared_total = state_->declared_total();
    message.knows_quarantines =
        state_->quarantine_sync_state.complete(boot_clock::now());
    return message;
}

void peer_messenger::query_declared() {
    if (!state_->start.done()) {
        peer_datagram message = declared();
        message.queries_declared = true;
        for (std::string const& each : state_->start.peers_to_ask()) {
            send(each, message);
        }
    }
}

void peer_messenger::tell_totals(instant now) {
    std::erase_if(wanted_, [&](auto const& each) {
        return now >= each.second + want_pause;
    });
    peer_datagram message = declared();
    for (auto const& [id, each] : state_->replicas.all()) {
        if (!each.accepts_requests() || message.loads.size() >= most_counts) {
            continue;
        }
        std::uint64_t const name = fleet::id_hash(id);
        if (auto const total = total_of(name, now)) {
            message.loads.push_back(*total);
            state_->replicas.update_usage(name, counted(name, now), now);
        }
    }
    for (std::size_t const each : state_->leases.held_partitions()) {
        auto const token = state_->leases.token(each, now);
        if (token && message.claims.size() < most_claims) {
            message.claims.push_back(
                {static_cast<std::uint32_t>(each), *token});
        }
    }
    send_all(message);
}

asio::awaitable<void> peer_messenger::tell_counts() {
    unsigned tick = 0;
    while (running_) {
        instant const now = boot_clock::now();
        if (tick % pauses_between(state_->nodes()) == 0) {
            tell_totals(now);
            repeat_quarantines(now);
        }
        query_declared();
        if (tick % ticks_to_repeat == 0) {
            repeat_ends(now);
            repeat_uses();
            ledger_.drop_timed_out_nodes(now);
            state_->replicas.expire_usage(now);
        }
        ++tick;
        forget_peers(now);
        asio::steady_timer timer(state_->io, telling_pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace camphorpoint
