#include "Gateway/peer_words.hpp"

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

/// How often counts are told. A replica takes in some requests in that time;
/// more often costs each node a datagram to each other one.
constexpr milliseconds telling_pause{100};
/// With more nodes than this each tells less often, so that what one node
/// receives in a second stays about the same.
constexpr unsigned nodes_at_full_pace = 10;
/// Streams take one to three seconds, so a replica whose adapters are all in
/// use has room again within some hundred milliseconds.
constexpr duration no_room_time = std::chrono::milliseconds(400);
/// A node tells its claims with its counts, a few times in this.
constexpr duration owner_silent = std::chrono::seconds(3);
/// Counts come every 100 ms, from many nodes every 700 ms: a holder that is
/// silent for twice that is not there.
constexpr duration holder_silent = std::chrono::milliseconds(1'500);
/// A node that was not heard for so long is no longer counted as one.
constexpr duration peer_lasts = std::chrono::seconds(20);
/// Entries of one datagram; with names of some twenty bytes they stay below
/// the longest datagram.
constexpr std::size_t most_entries = 24;

/// Counts of one datagram, twelve bytes each.
constexpr std::size_t most_counts = 80;

peer_load load_of(replica const& each, double backlog) {
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    peer_load load;
    load.replica = fleet::short_name(each.record.id);
    load.running = static_cast<std::uint16_t>(each.running_here);
    load.backlog_tokens = static_cast<std::uint16_t>(std::min(backlog, most));
    return load;
}

template <class Entry>
std::vector<Entry> take_some(std::vector<Entry>& from) {
    std::size_t const count = std::min(from.size(), most_entries);
    auto const middle = from.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Entry> taken(from.begin(), middle);
    from.erase(from.begin(), middle);
    return taken;
}

} // namespace

std::size_t partition_of(endpoint_id const& replica) {
    return fleet::short_name(replica) % partition_count;
}

peer_words::peer_words(gateway_beliefs& beliefs, receiver to)
    : beliefs_(&beliefs)
    , to_(std::move(to))
    , link_(beliefs.io.get_executor(), [this](std::string const& bytes) {
        receive(bytes);
    }) {}

std::string peer_words::start() {
    std::string problem = link_.listen(beliefs_->settings.peer_address);
    if (problem.empty()) {
        running_ = true;
        asio::co_spawn(
            beliefs_->io, [this] { return tell_counts(); }, asio::detached);
    }
    return problem;
}

void peer_words::stop() {
    running_ = false;
    link_.close();
}

void peer_words::send(std::string const& peer, peer_datagram message) {
    if (message.empty()) {
        return;
    }
    message.from = beliefs_->own_name;
    link_.send(parse_address(peer), encode(message));
}

void peer_words::send_all(peer_datagram const& message) {
    for (auto const& [peer, heard] : beliefs_->peers) {
        send(peer, message);
    }
}

void peer_words::set_owner(std::size_t partition, std::string member) {
    if (member != beliefs_->own_name) {
        beliefs_->peers.try_emplace(member, boot_clock::now());
    }
    owners_[partition] = std::move(member);
}

bool peer_words::lacks_owner(instant now) const {
    return std::ranges::any_of(beliefs_->replicas.all(), [&](auto const& each) {
        if (!each.second.open() || each.second.record.models.empty()) {
            return false;
        }
        auto const owner = owners_.find(partition_of(each.first));
        if (owner == owners_.end()) {
            return true;
        }
        auto const heard = beliefs_->peers.find(owner->second);
        bool const silent = heard == beliefs_->peers.end() ||
                            now >= heard->second + owner_silent;
        return owner->second != beliefs_->own_name && silent;
    });
}

void peer_words::want(
    replica const& at, adapter_ref const& adapter, bool urgent, bool fresh) {
    peer_want asked;
    asked.replica = fleet::short_name(at.record.id);
    asked.adapter = adapter.id.str();
    asked.version = adapter.version;
    asked.urgent = urgent;
    asked.fresh = fresh;
    auto const owner = owners_.find(partition_of(at.record.id));
    if (owner == owners_.end()) {
        return;
    }
    if (owner->second == beliefs_->own_name) {
        take_want(asked, beliefs_->own_name);
        return;
    }
    // Guards against requests that wait for a load that nobody orders: a node
    // that was stopped or killed during the store's outage has no successor
    // until the outage ends. They go to the next home instead, whose holder is
    // there.
    instant const now = boot_clock::now();
    auto const heard = beliefs_->peers.find(owner->second);
    if (heard != beliefs_->peers.end() &&
        now >= heard->second + holder_silent) {
        take_denial({asked.replica, asked.adapter}, now);
        return;
    }
    peer_datagram message;
    message.wants.push_back(std::move(asked));
    send(owner->second, std::move(message));
}

void peer_words::tell(endpoint_id const& at, std::vector<peer_word> words) {
    for (peer_word& each : words) {
        each.replica = fleet::short_name(at);
    }
    while (!words.empty()) {
        peer_datagram message;
        message.words = take_some(words);
        send_all(message);
    }
}

void peer_words::claim(std::size_t partition, std::uint64_t token) {
    peer_datagram message;
    message.claims.push_back({static_cast<std::uint32_t>(partition), token});
    send_all(message);
}

void peer_words::suspect(replica const& at, duration rest) {
    peer_datagram message;
    auto const time = std::chrono::duration_cast<milliseconds>(rest);
    message.suspicions.push_back(
        {fleet::short_name(at.record.id),
         static_cast<std::uint32_t>(time.count())});
    send_all(message);
}

void peer_words::use(endpoint_id const& at, adapter_id const& adapter) {
    use_count& count = uses_[{at, adapter}];
    ++count.running;
    count.used = true;
}

void peer_words::release(endpoint_id const& at, adapter_id const& adapter) {
    auto const found = uses_.find({at, adapter});
    if (found != uses_.end() && found->second.running > 0) {
        --found->second.running;
        found->second.used = true;
    }
}

void peer_words::send_uses() {
    std::map<std::string, std::vector<peer_use>> to;
    for (auto it = uses_.begin(); it != uses_.end();) {
        auto& [key, count] = *it;
        auto const owner = owners_.find(partition_of(key.replica));
        if (count.used && owner != owners_.end()) {
            peer_use const told{
                fleet::short_name(key.replica), key.adapter.str(),
                count.running};
            if (owner->second == beliefs_->own_name) {
                to_.use(told);
            } else {
                to[owner->second].push_back(told);
            }
        }
        count.used = count.running > 0;
        it = count.used ? std::next(it) : uses_.erase(it);
    }
    for (auto& [peer, all] : to) {
        while (!all.empty()) {
            peer_datagram message;
            message.uses = take_some(all);
            send(peer, std::move(message));
        }
    }
}

void peer_words::forget_peers(instant now) {
    std::erase_if(beliefs_->peers, [&](auto const& each) {
        return now >= each.second + peer_lasts;
    });
}

void peer_words::tell_loads(instant now) {
    peer_datagram message;
    message.counts = true;
    for (auto const& [id, each] : beliefs_->replicas.all()) {
        double const backlog = each.backlog_here.tokens_left(now);
        bool const room = message.loads.size() < most_counts;
        if ((each.running_here > 0 || backlog > 0) && room) {
            message.loads.push_back(load_of(each, backlog));
        }
    }
    send_all(message);
    peer_datagram held;
    for (std::size_t const each : beliefs_->leases.held()) {
        auto const token = beliefs_->leases.token(each, now);
        if (token && held.claims.size() < most_counts) {
            held.claims.push_back({static_cast<std::uint32_t>(each), *token});
        }
    }
    send_all(held);
}

asio::awaitable<void> peer_words::tell_counts() {
    unsigned tick = 0;
    while (running_) {
        instant const now = boot_clock::now();
        unsigned const groups = 1 + beliefs_->nodes() / nodes_at_full_pace;
        if (tick % groups == 0) {
            tell_loads(now);
        }
        ++tick;
        send_uses();

        forget_peers(now);
        asio::steady_timer timer(
            beliefs_->io, groups > 1 ? 2 * telling_pause : telling_pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void peer_words::take_want(peer_want const& want, std::string const& from) {
    if (to_.want(want)) {
        return;
    }
    peer_denial const denial{want.replica, want.adapter};
    if (from == beliefs_->own_name) {
        take_denial(denial, boot_clock::now());
        return;
    }
    peer_datagram message;
    message.denials.push_back(denial);
    send(from, std::move(message));
}

void peer_words::take_denial(peer_denial const& denial, instant now) {
    if (replica* const at = beliefs_->replicas.find_short(denial.replica)) {
        at->no_room_until = now + no_room_time;
        beliefs_->waiters.notify(adapter_id(denial.adapter));
    }
}

void peer_words::receive(std::string const& bytes) {
    auto const message = decode_peer_datagram(bytes);
    if (message && message->from != beliefs_->own_name) {
        take(*message);
    }
}

void peer_words::take(peer_datagram const& message) {
    instant const now = boot_clock::now();
    beliefs_->peers[message.from] = now;
    if (message.counts) {
        std::unordered_map<std::uint64_t, told_load> loads;
        for (peer_load const& each : message.loads) {
            loads[each.replica] = {each.running, each.backlog_tokens};
        }
        beliefs_->replicas.told_loads(message.from, std::move(loads), now);
    }
    for (peer_claim const& each : message.claims) {
        owners_[each.partition] = message.from;
        beliefs_->leases.overtaken(each.partition, each.token);
    }
    for (peer_word const& each : message.words) {
        replica const* const at = beliefs_->replicas.find_short(each.replica);
        adapter_id const adapter(each.adapter);
        if (at == nullptr) {
            continue;
        }
        if (each.held) {
            beliefs_->replicas.told_held(
                at->record.id, {adapter, each.version}, now);
            beliefs_->waiters.notify(adapter);
        } else {
            beliefs_->replicas.told_dropped(at->record.id, adapter, now);
        }
    }
    for (peer_suspicion const& each : message.suspicions) {
        if (replica* const at = beliefs_->replicas.find_short(each.replica)) {
            at->health.note_hearsay(now + milliseconds(each.milliseconds));
        }
    }
    for (peer_want const& each : message.wants) {
        take_want(each, message.from);
    }
    for (peer_denial const& each : message.denials) {
        take_denial(each, now);
    }
    for (peer_use const& each : message.uses) {
        to_.use(each);
    }
}

} // namespace camphorpoint
