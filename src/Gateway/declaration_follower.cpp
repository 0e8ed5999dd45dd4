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

/// Minimum duration of one long poll. A connection that has died without a
/// reset is noticed after this time plus the store timeout; a configuration
/// must be in force within two seconds or more of its writing.
constexpr milliseconds min_long_poll{2'000};
/// With many nodes each long poll is longer, so that in the cluster a poll
/// starts about every 200 ms. A node that reads new declarations informs the
/// others.
constexpr milliseconds long_poll_per_node{200};
constexpr milliseconds max_long_poll{12'000};
/// Time that a node allows its long poll to deliver declarations that other
/// nodes have reported, before it polls again. Usually the answer is already
/// under way.
constexpr milliseconds pending_update_grace{250};

/// Requests may still start on the old version of an adapter for this long
/// after a new one was declared. The platform allows five seconds; a load with
/// its command takes one.
constexpr duration old_version_grace = milliseconds(2'800);

declaration_poll_settings poll_settings_of(gateway_settings const& settings) {
    declaration_poll_settings result;
    result.response_timeout = settings.store_timeout;
    result.max_response_timeout =
        std::max(result.max_response_timeout, settings.store_timeout);
    return result;
}

double random_sample(std::mt19937_64& random) {
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

declaration_follower::declaration_follower(
    gateway_state& state, platform::store_client& store, store_monitor& monitor,
    std::function<void()> changed)
    : state_(&state)
    , store_(&store)
    , monitor_(&monitor)
    , on_change_(std::move(changed))
    , schedule_(poll_settings_of(state.settings), random_sample(state.random))
    , delay_timer_(state.io) {}

void declaration_follower::start() {
    asio::co_spawn(
        state_->io, [this] { return follow(); }, asio::detached);
}

void declaration_follower::stop() {
    *running_ = false;
}

asio::awaitable<bool> declaration_follower::wait_for(milliseconds time) {
    delay_timer_.expires_after(time);
    auto const [error] =
        co_await delay_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return !error;
}

void declaration_follower::on_store_rollback(
    store_epoch epoch, instant read_at) {
    schedule_.enter_epoch(epoch, read_at);
    schedule_long_poll_check();
}

void declaration_follower::handle_peer_progress(
    store_position position, std::uint64_t total) {
    schedule_.handle_peer_progress(position, total);
    schedule_long_poll_check();
}

// Guards against a poll that was sent during the store's outage: it stays
// unanswered until its timeout, up to seconds after the recovery, and a node
// that has started meanwhile rejects every request until then.
void declaration_follower::on_store_recovered() {
    schedule_.store_recovered();
    bool const unanswered =
        poll_in_progress_ && !long_polling_ && !reading_.begun();
    if (unanswered) {
        reading_.cancel();
    }
    delay_timer_.cancel();
    schedule_long_poll_check();
}

void declaration_follower::schedule_long_poll_check() {
    if (*running_ && !check_scheduled_ && schedule_.is_behind()) {
        check_scheduled_ = true;
        asio::co_spawn(
            state_->io, [this] { return cancel_stalled_long_poll(); },
            asio::detached);
    }
}

// Guards against a long poll on a connection that has died. Only a long poll
// that began before the peer's message is cancelled, and none whose answer has
// begun to arrive: on a slow link the answer may take seconds, and a second
// poll beside it would take half of the bandwidth. Two polls at a time were
// seen to saturate a link for 17 s without either completing.
asio::awaitable<void> declaration_follower::cancel_stalled_long_poll() {
    auto const alive = running_;
    instant const since = boot_clock::now();
    asio::steady_timer timer(state_->io, pending_update_grace);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!*alive) {
        co_return;
    }
    check_scheduled_ = false;
    bool const waits = long_polling_ && !reading_.begun();
    if (waits && poll_started_at_ <= since && schedule_.is_behind()) {
        schedule_.long_poll_cancelled();
        reading_.cancel();
    }
}

milliseconds declaration_follower::long_poll_time() const {
    return std::clamp(
        state_->nodes() * long_poll_per_node, min_long_poll, max_long_poll);
}

asio::awaitable<platform::store_result<platform::keyed_batch>>
declaration_follower::fetch_batch(declaration_poll const& request) {
    using platform::store_topic;
    platform::reading_times times;
    times.wait = request.long_poll ? long_poll_time() : milliseconds::zero();
    times.silence = request.response_timeout;
    if (request.full) {
        co_return co_await store_->newest(
            store_topic::declarations, times, reading_);
    }
    co_return co_await store_->read_on(
        store_topic::declarations, request.from, times, reading_);
}

asio::awaitable<void> declaration_follower::poll(declaration_poll request) {
    auto const alive = running_;
    instant const began = boot_clock::now();
    reading_ = platform::store_reading();
    poll_started_at_ = began;
    long_polling_ = request.long_poll;
    poll_in_progress_ = true;
    auto const batch = co_await fetch_batch(request);
    if (!*alive) {
        co_return;
    }
    long_polling_ = false;
    poll_in_progress_ = false;
    log_store_read(
        *state_, platform::store_topic::declarations,
        request.full ? "whole" : "on", request.from.offset, began, reading_,
        batch);
    if (batch) {
        monitor_->note_answer();
        apply_batch(batch.value(), request);
        schedule_.poll_succeeded(
            request, batch.value().next, boot_clock::now());
        state_->declared_position = schedule_.position();
        if (request.full) {
            monitor_->note_snapshot(
                platform::store_topic::declarations, batch.value().next.epoch);
        }
    } else if (batch.error() == platform::store_failure::forgotten) {
        monitor_->note_answer();
        schedule_.position_expired(boot_clock::now());
    } else if (!reading_.cancelled()) {
        monitor_->note_failure(
            platform::store_topic::declarations, began, reading_,
            batch.error());
        schedule_.poll_failed();
    }
}

asio::awaitable<void> declaration_follower::follow() {
    auto const alive = running_;
    while (*alive) {
        declaration_poll const request =
            schedule_.next_poll(boot_clock::now(), state_->nodes());
        bool const due = request.delay == milliseconds::zero() ||
                         co_await wait_for(request.delay);
        if (*alive && due) {
            co_await poll(request);
        }
    }
}

void declaration_follower::apply_batch(
    platform::keyed_batch const& batch, declaration_poll const& request) {
    // A full poll does not show when a version was declared, for example on a
    // node that has just started: other nodes may already require it, so there
    // is no grace period.
    duration const grace = request.full ? duration::zero() : old_version_grace;
    bool configured = false;
    // Records are applied newest first: of several configurations only the last
    // readable one counts, and parsing a large one takes a tenth of a second.
    for (auto each = batch.records.rbegin(); each != batch.records.rend();
         ++each) {
        if (!each->value) {
            continue;
        }
        switch (platform::declaration_of(each->key)) {
        case platform::declaration::configuration:
            configured = configured || apply_configuration(*each->value);
            break;
        case platform::declaration::version:
            apply_version(*each->value, grace);
            break;
        case platform::declaration::other:
            break;
        }
    }
    schedule_.set_known_total(state_->declared_total());
}

bool declaration_follower::apply_configuration(std::string const& text) {
    findings problems;
    auto declared = platform::read_configuration(text, problems);
    if (!declared) {
        state_->log_event(
            log_line(event_code::configuration_rejected, log_level::error)
                .with("findings", problems.report()));
        return false;
    }
    // A poll may return a configuration that is seconds old. Versions only
    // increase while this process runs.
    if (state_->configured &&
        declared->version <= state_->configuration.version) {
        return true;
    }
    state_->configuration = std::move(*declared);
    route_table routes(state_->configuration);
    state_->route_changes.note_change(
        state_->routes, routes, boot_clock::now());
    state_->routes = std::move(routes);
    apply_teams();
    state_->configured = true;
    schedule_.mark_configured();
    state_->startup.mark_configured(boot_clock::now());
    state_->quarantine_sync_state.on_serving_started(boot_clock::now());
    state_->log_event(log_line(event_code::configuration_in_force)
                          .with("version", state_->configuration.version)
                          .with("routes", state_->configuration.routes.size())
                          .with("bytes", text.size()));
    on_change_();
    return true;
}

void declaration_follower::apply_teams() {
    auto& declared = state_->configuration.teams;
    state_->teams =
        team_table(declared.value_or(std::vector<team_definition>()));
    if (declared) {
        // The table has its own index of the keys.
        declared->clear();
    }
    for (shared_api_key const& each : state_->teams.shared_keys()) {
        state_->log_event(
            log_line(event_code::api_key_shared, log_level::warning)
                .with("team", each.owner.str())
                .with("other", each.other.str()));
    }
}

void declaration_follower::apply_version(
    std::string const& text, duration grace) {
    auto const declared = platform::read_version(text);
    if (!declared ||
        !state_->versions.declare(*declared, boot_clock::now(), grace)) {
        return;
    }
    state_->log_event(log_line(event_code::version_known)
                          .with("adapter", declared->id.str())
                          .with("version", declared->version)
                          .with("binds_in_ms", grace));
    on_change_();
}

} // namespace camphorpoint
