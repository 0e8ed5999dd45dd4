#include "Gateway/declaration_follower.hpp"

#include "platform/configuration_reader.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// How long one wait lasts. A connection that has gone silent without a reset
/// shows after this and the silence allowed; a configuration must be in force
/// within two seconds or more of its writing.
constexpr milliseconds shortest_wait{2'000};
/// With many nodes each waits longer, so that one of them reads again about
/// every 200 ms: it tells the others when there is news that they don't know.
constexpr milliseconds wait_of_each_node{200};
constexpr milliseconds most_wait{12'000};
/// A node whose wait has brought nothing asks by itself so long after others
/// have said that there is news: usually the news is on its way.
constexpr milliseconds news_on_its_way{250};

/// For so long after the word of a new version requests may still begin on the
/// old one: the platform allows five seconds, a load and its order take one.
constexpr duration old_version_ends = milliseconds(2'800);

declaration_poll_settings times_of(gateway_settings const& settings) {
    declaration_poll_settings times;
    times.response_timeout = settings.store_timeout;
    times.max_response_timeout =
        std::max(times.max_response_timeout, settings.store_timeout);
    return times;
}

double drawn(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

declaration_follower::declaration_follower(
    gateway_state& state, platform::store_client& store, store_monitor& watch,
    std::function<void()> changed)
    : state_(&state)
    , store_(&store)
    , monitor_(&watch)
    , changed_(std::move(changed))
    , plan_(times_of(state.settings), drawn(state.random))
    , pause_timer_(state.io) {}

void declaration_follower::start() {
    asio::co_spawn(
        state_->io, [this] { return follow(); }, asio::detached);
}

void declaration_follower::stop() {
    *running_ = false;
}

asio::awaitable<bool> declaration_follower::pause(milliseconds time) {
    pause_timer_.expires_after(time);
    auto const [error] =
        co_await pause_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return !error;
}

void declaration_follower::on_store_rollback(
    store_epoch epoch, instant read_at) {
    plan_.enter_epoch(epoch, read_at);
    look_again();
}

void declaration_follower::handle_peer_progress(
    store_position place, std::uint64_t total) {
    plan_.handle_peer_progress(place, total);
    look_again();
}

// Guards against a reading that was asked of the store while it was away: it
// is silent for as long as its bound allows, up to seconds after the return,
// and a node that has begun meanwhile refuses every request until then.
void declaration_follower::on_store_recovered() {
    plan_.store_recovered();
    bool const unanswered = reading_now_ && !waiting_ && !reading_.begun();
    if (unanswered) {
        reading_.cancel();
    }
    pause_timer_.cancel();
    look_again();
}

void declaration_follower::look_again() {
    if (*running_ && !looking_ && plan_.is_behind()) {
        looking_ = true;
        asio::co_spawn(
            state_->io, [this] { return end_useless_wait(); }, asio::detached);
    }
}

// Guards against a wait whose connection has gone silent. Only a wait that
// began before the word is ended, and none whose answer has begun to come: on a
// slow way it may come for seconds, and a second reading beside it would take
// half of the way from it (two at a time were seen to hold a way full for 17 s
// without either ending).
asio::awaitable<void> declaration_follower::end_useless_wait() {
    auto const alive = running_;
    instant const since = boot_clock::now();
    asio::steady_timer timer(state_->io, news_on_its_way);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!*alive) {
        co_return;
    }
    looking_ = false;
    bool const waits = waiting_ && !reading_.begun();
    if (waits && reading_began_ <= since && plan_.is_behind()) {
        plan_.long_poll_cancelled();
        reading_.cancel();
    }
}

milliseconds declaration_follower::longest_wait() const {
    return std::clamp(
        state_->nodes() * wait_of_each_node, shortest_wait, most_wait);
}

asio::awaitable<platform::store_result<platform::keyed_batch>>
declaration_follower::ask(declaration_poll const& asked) {
    using platform::store_topic;
    platform::reading_times times;
    times.wait = asked.long_poll ? longest_wait() : milliseconds::zero();
    times.silence = asked.response_timeout;
    if (asked.full) {
        co_return co_await store_->newest(
            store_topic::declarations, times, reading_);
    }
    co_return co_await store_->read_on(
        store_topic::declarations, asked.from, times, reading_);
}

asio::awaitable<void> declaration_follower::read(declaration_poll asked) {
    auto const alive = running_;
    instant const began = boot_clock::now();
    reading_ = platform::store_reading();
    reading_began_ = began;
    waiting_ = asked.long_poll;
    reading_now_ = true;
    auto const batch = co_await ask(asked);
    if (!*alive) {
        co_return;
    }
    waiting_ = false;
    reading_now_ = false;
    log_store_read(
        *state_, platform::store_topic::declarations,
        asked.full ? "whole" : "on", asked.from.offset, began, reading_, batch);
    if (batch) {
        monitor_->note_answer();
        take_all(batch.value(), asked);
        plan_.poll_succeeded(asked, batch.value().next, boot_clock::now());
        state_->declared_position = plan_.position();
        if (asked.full) {
            monitor_->note_snapshot(
                platform::store_topic::declarations, batch.value().next.epoch);
        }
    } else if (batch.error() == platform::store_failure::forgotten) {
        monitor_->note_answer();
        plan_.position_expired(boot_clock::now());
    } else if (!reading_.cancelled()) {
        monitor_->note_failure(
            platform::store_topic::declarations, began, reading_,
            batch.error());
        plan_.poll_failed();
    }
}

asio::awaitable<void> declaration_follower::follow() {
    auto const alive = running_;
    while (*alive) {
        declaration_poll const asked =
            plan_.next_poll(boot_clock::now(), state_->nodes());
        bool const due =
            asked.delay == milliseconds::zero() || co_await pause(asked.delay);
        if (*alive && due) {
            co_await read(asked);
        }
    }
}

void declaration_follower::take_all(
    platform::keyed_batch const& batch, declaration_poll const& asked) {
    // When a version that was read whole was named is not known, as by a node
    // that has just started: it may bind everywhere else by now.
    duration const grace = asked.full ? duration::zero() : old_version_ends;
    bool configured = false;
    // The newest first: of several configurations only the last that can be
    // read counts, and reading a large one takes a node a tenth of a second.
    for (auto each = batch.records.rbegin(); each != batch.records.rend();
         ++each) {
        if (!each->value) {
            continue;
        }
        switch (platform::declaration_of(each->key)) {
        case platform::declaration::configuration:
            configured = configured || take_configuration(*each->value);
            break;
        case platform::declaration::version:
            take_version(*each->value, grace);
            break;
        case platform::declaration::other:
            break;
        }
    }
    plan_.set_known_total(state_->declared_total());
}

bool declaration_follower::take_configuration(std::string const& text) {
    findings problems;
    auto read = platform::read_configuration(text, problems);
    if (!read) {
        state_->log_event(
            log_line(event_code::configuration_rejected, log_level::error)
                .with("findings", problems.report()));
        return false;
    }
    // Reads may be seconds old: versions only rise within one run.
    if (state_->configured && read->version <= state_->configuration.version) {
        return true;
    }
    state_->configuration = std::move(*read);
    state_->routes = route_table(state_->configuration);
    state_->configured = true;
    plan_.mark_configured();
    state_->start.mark_configured(boot_clock::now());
    state_->quarantine_sync_state.on_serving_started(boot_clock::now());
    state_->log_event(log_line(event_code::configuration_in_force)
                          .with("version", state_->configuration.version)
                          .with("routes", state_->configuration.routes.size())
                          .with("bytes", text.size()));
    changed_();
    return true;
}

void declaration_follower::take_version(
    std::string const& text, duration grace) {
    auto const read = platform::read_version(text);
    if (!read || !state_->versions.declare(*read, boot_clock::now(), grace)) {
        return;
    }
    state_->log_event(log_line(event_code::version_known)
                          .with("adapter", read->id.str())
                          .with("version", read->version)
                          .with("binds_in_ms", grace));
    changed_();
}

} // namespace camphorpoint
