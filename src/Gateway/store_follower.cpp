#include "Gateway/store_follower.hpp"

#include "platform/configuration_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// How long one read waits for news. A connection that has gone silent without
/// a reset shows after this and the store's time-out; a configuration must be
/// in force within two seconds or more of its writing.
constexpr milliseconds longest_wait{2'000};
/// After a failed call. Shorter would spend calls that all nodes share.
constexpr milliseconds retry_pause{250};
/// The operator's records are read whole again so often: a cut watch may have
/// missed one without a sign.
constexpr duration whole_again = std::chrono::seconds(12);

std::string const operator_topic = "keyed.op";
std::string const replica_topic = "keyed.servers";

} // namespace

store_follower::store_follower(
    gateway_beliefs& beliefs, platform::store_client& store,
    std::function<void()> changed)
    : beliefs_(&beliefs)
    , store_(&store)
    , changed_(std::move(changed)) {}

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

void store_follower::take_replica(platform::keyed_record const& record) {
    instant const now = boot_clock::now();
    endpoint_id const id(record.key);
    if (!record.value) {
        bool const keep = !beliefs_->store_calm(now);
        if (beliefs_->replicas.lost(id, keep, now) == fleet_change::gone) {
            note_gone(id);
        }
        return;
    }
    auto const read = platform::read_replica(record.key, *record.value);
    if (!read) {
        beliefs_->note(
            log_line(event_code::configuration_rejected, log_level::error)
                .with("replica", record.key)
                .with("findings", "no entry of a replica"));
        return;
    }
    fleet_change const change = beliefs_->replicas.apply(*read, now);
    if (change == fleet_change::seen || change == fleet_change::leaving) {
        bool const seen = change == fleet_change::seen;
        beliefs_->note(
            log_line(
                seen ? event_code::replica_seen : event_code::replica_leaving)
                .with("replica", id.str())
                .with("service", read->service.str())
                .with("domain", read->domain.str()));
        changed_();
    }
    for (adapter_ref const& each : read->adapters) {
        beliefs_->waiters.notify(each.id);
    }
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

asio::awaitable<platform::store_result<platform::keyed_batch>>
store_follower::read(place const& at) {
    std::string topic = at.topic;
    if (at.whole) {
        co_return co_await store_->newest(std::move(topic));
    }
    co_return co_await store_->read_on(std::move(topic), at.next, longest_wait);
}

asio::awaitable<bool> store_follower::step(place& at) {
    bool const operator_side = at.topic == operator_topic;
    bool const was_whole = at.whole;
    auto const batch = co_await read(at);
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
    if (was_whole && !operator_side) {
        take_whole_list(batch.value());
        co_return true;
    }
    for (platform::keyed_record const& each : batch.value().records) {
        if (operator_side) {
            take_operator(each);
        } else {
            take_replica(each);
        }
    }
    co_return true;
}

asio::awaitable<void> store_follower::follow_operator() {
    place at{operator_topic, 0, true};
    instant read_whole = boot_clock::now();
    while (running_) {
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
            co_await pause(retry_pause);
        }
    }
}

asio::awaitable<void> store_follower::follow_replicas() {
    place at{replica_topic, 0, true};
    while (running_) {
        bool const answered = co_await step(at);
        instant const now = boot_clock::now();
        for (endpoint_id const& id : beliefs_->replicas.settle_missing(
                 beliefs_->store_calm(now), now)) {
            note_gone(id);
        }
        co_await pause(answered ? beliefs_->settings.list_pause : retry_pause);
    }
}

} // namespace camphorpoint
