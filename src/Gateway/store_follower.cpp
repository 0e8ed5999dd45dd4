#include "Gateway/store_follower.hpp"

#include "platform/configuration_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// How long one read waits for news. A connection that has gone silent without
/// a reset shows after this and the store's time-out; a configuration must be
/// in force within two seconds or more of its writing.
constexpr milliseconds shortest_wait{2'000};
/// With many nodes each waits longer, so that one of them reads again about
/// every 200 ms: it tells the others when there is news that they don't know.
constexpr milliseconds wait_of_each_node{200};
constexpr milliseconds longest_wait{12'000};
/// A node whose wait has brought nothing asks by itself so long after others
/// have said that there is news: usually the news is on its way.
constexpr milliseconds news_on_its_way{250};
/// After a failed call. Shorter would spend calls that all nodes share.
constexpr milliseconds retry_pause{250};
/// Before there is a first configuration, which stands some seconds before the
/// first request comes.
constexpr milliseconds first_pause{500};
/// The operator's records are read whole again so often: a cut watch may have
/// missed one without a sign.
constexpr duration whole_again = std::chrono::seconds(12);
/// The list is read whole so often. Word of adapters comes from those who order
/// for the replicas, so this mends only what was lost of it.
constexpr duration whole_list_again = std::chrono::seconds(20);

std::string const operator_topic = "keyed.op";
std::string const replica_topic = "keyed.servers";

/// @returns what to tell of a replica; its end when there is none
peer_replica change_of(endpoint_id const& id, replica const* at) {
    peer_replica told;
    told.id = id.str();
    if (at == nullptr) {
        return told;
    }
    replica_record const& record = at->record;
    told.listed = true;
    told.service = record.service.str();
    told.host = record.address.host;
    told.port = record.address.port;
    told.domain = record.domain.str();
    told.slots = record.slots;
    told.leaving = record.leaving;
    if (record.remaining) {
        told.remaining = static_cast<std::uint32_t>(record.remaining->count());
    }
    for (model_id const& each : record.models) {
        told.models.push_back(each.str());
    }
    return told;
}

/// @returns the entry that was told of, with the adapters that are known here
replica_record record_of(peer_replica const& told, fleet const& replicas) {
    replica_record record;
    record.id = endpoint_id(told.id);
    record.service = service_id(told.service);
    record.address = {told.host, told.port};
    record.domain = domain_id(told.domain);
    record.slots = told.slots;
    record.leaving = told.leaving;
    if (told.remaining > 0) {
        record.remaining = milliseconds(told.remaining);
    }
    for (std::string const& each : told.models) {
        record.models.emplace_back(each);
    }
    if (replica const* const known = replicas.find(record.id)) {
        for (auto const& [id, held] : known->adapters) {
            if (!held.dropped) {
                record.adapters.push_back({id, held.version});
            }
        }
    }
    return record;
}

} // namespace

store_follower::store_follower(
    gateway_beliefs& beliefs, platform::store_client& store, peer_words& words,
    std::function<void()> changed)
    : beliefs_(&beliefs)
    , store_(&store)
    , words_(&words)
    , changed_(std::move(changed))
    , turns_(beliefs.settings.list_pause)
    , list_timer_(beliefs.io) {}

void store_follower::stop() {
    *running_ = false;
    list_timer_.cancel();
}

void store_follower::start() {
    asio::co_spawn(
        beliefs_->io, [this] { return follow_operator(); }, asio::detached);
    asio::co_spawn(
        beliefs_->io, [this] { return follow_replicas(); }, asio::detached);
}

asio::awaitable<void> store_follower::pause(milliseconds time) {
    asio::steady_timer timer(beliefs_->io, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void store_follower::note_store(bool answered, std::string_view what) {
    instant const now = boot_clock::now();
    bool const was_lost = beliefs_->store_lost_since != instant::max();
    if (answered == !was_lost) {
        return;
    }
    if (!answered) {
        beliefs_->store_lost_since = now;
        beliefs_->note(log_line(event_code::dependency_lost, log_level::warning)
                           .with("what", "store")
                           .with("call", what));
        return;
    }
    beliefs_->note(log_line(event_code::dependency_regained)
                       .with("what", "store")
                       .with("out_ms", now - beliefs_->store_lost_since));
    beliefs_->store_lost_since = instant::max();
    beliefs_->store_back = now;
    // A wait that began before the outage may never end.
    heard_operator(beliefs_->operator_place);
}

void store_follower::take_configuration(std::string const& text) {
    findings problems;
    auto read = platform::read_configuration(text, problems);
    if (!read) {
        beliefs_->note(
            log_line(event_code::configuration_rejected, log_level::error)
                .with("findings", problems.report()));
        return;
    }
    // Reads may be seconds old: versions only rise within one run.
    if (beliefs_->configured &&
        read->version <= beliefs_->configuration.version) {
        return;
    }
    beliefs_->configuration = std::move(*read);
    beliefs_->routes = route_table(beliefs_->configuration);
    beliefs_->configured = true;
    beliefs_->note(log_line(event_code::configuration_in_force)
                       .with("version", beliefs_->configuration.version)
                       .with("routes", beliefs_->configuration.routes.size()));
    changed_();
}

void store_follower::take_version(std::string const& text) {
    auto const read = platform::read_version(text);
    if (!read) {
        return;
    }
    version_word& word = beliefs_->versions[read->id];
    if (read->version <= word.version) {
        return;
    }
    word = {read->version, boot_clock::now()};
    beliefs_->note(log_line(event_code::version_known)
                       .with("adapter", read->id.str())
                       .with("version", read->version));
    changed_();
}

void store_follower::take_operator(platform::keyed_record const& record) {
    if (!record.value) {
        return;
    }
    if (record.key == "config") {
        take_configuration(*record.value);
    } else if (record.key.starts_with("version/")) {
        take_version(*record.value);
    }
}

void store_follower::note_gone(endpoint_id const& id) {
    beliefs_->note(
        log_line(event_code::replica_gone).with("replica", id.str()));
    changed_();
}

void store_follower::take_end(endpoint_id const& id) {
    instant const now = boot_clock::now();
    bool const keep = !beliefs_->store_calm(now);
    if (beliefs_->replicas.lost(id, keep, now) == fleet_change::gone) {
        note_gone(id);
    }
}

bool store_follower::apply(replica_record const& record) {
    fleet_change const change =
        beliefs_->replicas.apply(record, boot_clock::now());
    if (change == fleet_change::none) {
        return false;
    }
    bool const seen = change == fleet_change::seen;
    beliefs_->note(
        log_line(seen ? event_code::replica_seen : event_code::replica_leaving)
            .with("replica", record.id.str())
            .with("service", record.service.str())
            .with("domain", record.domain.str()));
    changed_();
    return true;
}

bool store_follower::take_replica(platform::keyed_record const& record) {
    if (!record.value) {
        take_end(endpoint_id(record.key));
        return true;
    }
    auto const read = platform::read_replica(record.key, *record.value);
    if (!read) {
        beliefs_->note(
            log_line(event_code::configuration_rejected, log_level::error)
                .with("replica", record.key)
                .with("findings", "no entry of a replica"));
        return false;
    }
    bool const news = apply(*read);
    for (adapter_ref const& each : read->adapters) {
        beliefs_->waiters.notify(each.id);
    }
    return news;
}

void store_follower::heard(peer_reading const& reading) {
    instant const now = boot_clock::now();
    list_word const word = turns_.heard(reading.from, reading.to, now);
    if (word == list_word::applies) {
        for (peer_replica const& each : reading.changes) {
            if (each.listed) {
                apply(record_of(each, beliefs_->replicas));
            } else {
                take_end(endpoint_id(each.id));
            }
        }
    }
    list_timer_.cancel();
}

void store_follower::heard_operator(std::uint64_t) {
    if (*running_ && !catching_up_) {
        catching_up_ = true;
        asio::co_spawn(
            beliefs_->io, [this] { return catch_up(); }, asio::detached);
    }
}

asio::awaitable<void> store_follower::catch_up() {
    std::uint64_t const before = beliefs_->operator_place;
    co_await pause(news_on_its_way);
    if (*running_ && beliefs_->operator_place == before) {
        // The wait's connection may have gone silent: read on another.
        place at{operator_topic, 0, true};
        co_await step(at);
    }
    catching_up_ = false;
}

void store_follower::tell_list(
    std::uint64_t from, platform::keyed_batch const& batch) {
    peer_reading reading;
    // What others have told meanwhile is no news here any more, so this word
    // must not cover it: whoever has missed theirs would take it for whole.
    reading.from = std::max(from, std::min(turns_.next(), batch.next));
    reading.to = batch.next;
    for (platform::keyed_record const& each : batch.records) {
        if (take_replica(each)) {
            endpoint_id const id(each.key);
            peer_replica change = change_of(
                id, each.value ? beliefs_->replicas.find(id) : nullptr);
            change.place = each.place;
            reading.changes.push_back(std::move(change));
        }
    }
    words_->tell_reading(std::move(reading));
}

void store_follower::take_whole_list(platform::keyed_batch const& batch) {
    std::vector<endpoint_id> listed;
    for (platform::keyed_record const& each : batch.records) {
        take_replica(each);
        if (each.value) {
            listed.emplace_back(each.key);
        }
    }
    instant const now = boot_clock::now();
    bool const keep = !beliefs_->store_calm(now);
    for (endpoint_id const& id :
         beliefs_->replicas.lost_beside(listed, keep, now)) {
        note_gone(id);
    }
}

milliseconds store_follower::operator_wait() const {
    return std::clamp(
        beliefs_->nodes() * wait_of_each_node, shortest_wait, longest_wait);
}

asio::awaitable<platform::store_result<platform::keyed_batch>>
store_follower::read(place const& at, platform::reading_progress& seen) {
    std::string topic = at.topic;
    if (at.whole) {
        co_return co_await store_->newest(std::move(topic), seen);
    }
    bool const operator_side = at.topic == operator_topic;
    co_return co_await store_->read_on(
        std::move(topic), at.next,
        operator_side ? operator_wait() : shortest_wait, seen);
}

void store_follower::note_reading(
    place const& at, instant began, platform::reading_progress const& seen,
    platform::store_result<platform::keyed_batch> const& brought) {
    // A wait that has brought nothing is no news.
    constexpr std::uint64_t empty_answer = 16;
    if (brought && brought.value().records.empty() &&
        seen.bytes <= empty_answer) {
        return;
    }
    log_level const level = brought ? log_level::info : log_level::warning;
    beliefs_->note(
        log_line(event_code::records_read, level)
            .with("topic", at.topic)
            .with("how", at.whole ? "whole" : "on")
            .with("from", at.next)
            .with("records", brought ? brought.value().records.size() : 0)
            .with("bytes", seen.bytes)
            .with("took_ms", boot_clock::now() - began)
            .with("end", brought ? "answered" : to_string(brought.error())));
}

asio::awaitable<bool> store_follower::step(place& at) {
    bool const operator_side = at.topic == operator_topic;
    bool const was_whole = at.whole;
    std::uint64_t const from = at.next;
    instant const began = boot_clock::now();
    platform::reading_progress seen;
    auto const batch = co_await read(at, seen);
    note_reading(at, began, seen, batch);
    if (!batch) {
        bool const forgotten =
            batch.error() == platform::store_failure::forgotten;
        note_store(forgotten, at.topic);
        at.whole = at.whole || forgotten;
        co_return forgotten;
    }
    note_store(true, at.topic);
    at.next = batch.value().next;
    at.whole = false;
    if (operator_side) {
        for (platform::keyed_record const& each : batch.value().records) {
            take_operator(each);
        }
        beliefs_->operator_place = std::max(beliefs_->operator_place, at.next);
    } else if (was_whole) {
        take_whole_list(batch.value());
    } else {
        tell_list(from, batch.value());
    }
    co_return true;
}

asio::awaitable<void> store_follower::follow_operator() {
    auto const alive = running_;
    place at{operator_topic, 0, true};
    instant read_whole = boot_clock::now();
    while (*alive) {
        bool const answered = co_await step(at);
        if (!answered) {
            co_await pause(retry_pause);
        }
        instant const now = boot_clock::now();
        bool const empty_yet = !beliefs_->configured;
        if (empty_yet || now >= read_whole + whole_again) {
            at.whole = true;
            read_whole = now;
        }
        if (answered && empty_yet) {
            co_await pause(first_pause);
        }
    }
}

asio::awaitable<void> store_follower::read_list(place& at) {
    bool const answered = co_await step(at);
    if (answered) {
        turns_.was_read(at.next, boot_clock::now());
    } else {
        co_await pause(retry_pause);
    }
}

asio::awaitable<void> store_follower::follow_replicas() {
    auto const alive = running_;
    place at{replica_topic, 0, true};
    instant read_whole = boot_clock::now();
    std::uniform_real_distribution<double> part(0, 1);
    double draw = part(beliefs_->random);
    while (*alive) {
        instant const now = boot_clock::now();
        for (endpoint_id const& id : beliefs_->replicas.settle_missing(
                 beliefs_->store_calm(now), now)) {
            note_gone(id);
        }
        // A node that takes the store for lost sees its return by itself only.
        bool const lost = beliefs_->store_lost_since != instant::max();
        if (now >= read_whole + whole_list_again) {
            at.whole = true;
            read_whole = now;
        }
        if (at.whole || lost || now >= turns_.due(draw)) {
            at.next = std::max(at.next, turns_.next());
            co_await read_list(at);
            draw = part(beliefs_->random);
            continue;
        }
        instant const calm = beliefs_->store_calm_from();
        instant const due = turns_.due(draw);
        instant const wake = now < calm ? std::min(due, calm) : due;
        list_timer_.expires_after(time_until(wake));
        co_await list_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace camphorpoint
