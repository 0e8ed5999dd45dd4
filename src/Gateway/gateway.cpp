#include "Gateway/gateway.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <unistd.h>
#include <utility>

namespace camphorpoint {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
/// Buffered log lines are written, and credit for resends accrues, at this
/// interval.
constexpr milliseconds tick_interval{100};

/// Part of the stop limit that is reserved for closing connections and stopping
/// the services.
constexpr milliseconds shutdown_reserve{400};
/// Part of it in which requests that were ended get their answers.
constexpr milliseconds time_for_answers{150};
/// Part of it in which the callers' kernels acknowledge these answers. Until
/// then a request that waits behind one cannot be reset, as the reset could
/// drop the answer.
constexpr milliseconds time_for_acknowledgements{100};

http_limits default_limits(gateway_state const& state) {
    http_limits limits;
    limits.bodies = state.bodies;
    limits.body_bytes = 4U << 20U;
    limits.connections = 3'000;
    return limits;
}

http_limits limits_of(gateway_state const& state) {
    caller_limits const& declared = state.configuration.limits;
    http_limits limits = default_limits(state);
    limits.body_bytes = declared.body_bytes;
    limits.header_bytes = declared.header_bytes;
    limits.read_timeout =
        std::max(declared.header_timeout, std::chrono::milliseconds(3'000));
    limits.idle_timeout = declared.idle_timeout;
    return limits;
}

http_limits status_limits(gateway_state const& state) {
    http_limits limits;
    limits.bodies = state.bodies;
    return limits;
}

start_result to_start_result(std::string problem, ip_address const& address) {
    if (problem.empty()) {
        return boost::outcome_v2::success();
    }
    return start_error{
        fmt::format("{}:{}: {}", address.host, address.port, problem)};
}

} // namespace

gateway::gateway(asio::io_context& io, gateway_settings settings)
    : io_(&io)
    , state_(io, std::move(settings), STDOUT_FILENO)
    , store_(
          io.get_executor(), state_.settings.store_address,
          state_.settings.store_timeout)
    , controller_(state_, store_)
    , messenger_(
          state_,
          {[this](peer_load_request const& request) {
               return controller_.handle_load_request(request);
           },
           [this](peer_adapter_usage const& message) {
               controller_.handle_usage(message);
           },
           [this](std::uint64_t at) { return controller_.free_slots(at); },
           [this](peer_registry_update const& message) {
               registry_follower_.handle_registry_update(message);
           },
           [this](store_position place, std::uint64_t total) {
               declarations_.handle_peer_progress(place, total);
           },
           [this](duration answered_for) {
               registry_follower_.handle_peer_status(answered_for);
           },
           [this](store_epoch epoch) {
               monitor_.observe_epoch(epoch, epoch_from_peer);
           }})
    , monitor_(
          state_, [this] { declarations_.on_store_recovered(); },
          [this](store_epoch epoch, instant read_at) {
              registry_follower_.on_store_rollback(epoch, read_at);
              declarations_.on_store_rollback(epoch, read_at);
              quarantine_persistence_.on_store_rollback();
              software_persistence_.on_store_rollback();
          })
    , declarations_(state_, store_, monitor_, [this] { on_update(); })
    , quarantine_persistence_(state_, store_, messenger_)
    , software_persistence_(state_, store_)
    , registry_follower_(
          state_, store_, monitor_, messenger_, [this] { on_update(); })
    , view_reader_(
          state_, store_, [this] { return registry_follower_.position(); })
    , reachability_prober_(state_, [this] { on_reachability_change(); })
    , caller_ends_(state_, "callers")
    , relay_ends_(state_, "relays")
    , caller_server_(
          io.get_executor(), default_limits(state_),
          [this](http_exchange& exchange) { return answer(exchange); })
    , relay_server_(
          io.get_executor(), default_limits(state_),
          [this](http_exchange& exchange) { return answer_relayed(exchange); })
    , readiness_server_(
          io.get_executor(), status_limits(state_),
          [this](http_exchange& exchange) {
              return answer_readiness(exchange);
          })
    , metrics_server_(
          io.get_executor(), status_limits(state_),
          [this](http_exchange& exchange) { return answer_metrics(exchange); })
    , loop_delay_(io)
    , kernel_(services_) {
    controller_.set_messenger(messenger_);
    messenger_.set_view_reader(view_reader_);
    caller_server_.refuse_while([this] {
        return loop_delay_.sustained(boot_clock::now()) >
               state_.settings.max_loop_delay;
    });
    caller_server_.observe_ends(
        [this](connection_end_report const& end) { caller_ends_.add(end); });
    relay_server_.observe_ends(
        [this](connection_end_report const& end) { relay_ends_.add(end); });
    state_.answers->observe_yields([this](answer_yield const& yielded) {
        state_.log_event(
            log_line(event_code::answer_yielded, log_level::warning)
                .with("server", yielded.server)
                .with("bytes", yielded.bytes)
                .with("of_server", yielded.of_server)
                .with("in_all", yielded.in_all));
    });
    store_.on_era([this](store_epoch epoch) {
        monitor_.observe_epoch(epoch, epoch_from_answer);
    });
    add_services();
}

void gateway::add_services() {
    gateway_settings const& settings = state_.settings;
    peers_service_ = {
        [this, &settings] {
            return to_start_result(messenger_.start(), settings.peer_address);
        },
        [this] {
            messenger_.stop();
        }};
    store_service_ = {
        [this]() -> start_result {
            declarations_.start();
            registry_follower_.start();
            controller_.start();
            loop_delay_.start();
            asio::co_spawn(
                *io_, [this] { return tick(); }, asio::detached);
            return boost::outcome_v2::success();
        },
        [this] {
            running_ = false;
            loop_delay_.stop();
            quarantine_persistence_.stop();
            software_persistence_.stop();
            reachability_prober_.stop();
            declarations_.stop();
            registry_follower_.stop();
            view_reader_.stop();
        }};
    readiness_service_ = {
        [this, &settings]() -> start_result {
            std::string problem =
                metrics_server_.listen(settings.metrics_address);
            if (!problem.empty()) {
                return to_start_result(problem, settings.metrics_address);
            }
            return to_start_result(
                readiness_server_.listen(settings.readiness_address),
                settings.readiness_address);
        },
        [this] {
            readiness_server_.close();
            metrics_server_.close();
        }};
    callers_service_ = {
        [this, &settings] {
            state_.log_event(log_line(event_code::gateway_started)
                                 .with("node", settings.name.str())
                                 .with("domain", settings.domain.str()));
            return to_start_result(
                caller_server_.listen(settings.caller_address),
                settings.caller_address);
        },
        [this] {
            caller_server_.close();
        }};
    relays_service_ = {
        [this, &settings] {
            return to_start_result(
                relay_server_.listen(settings.peer_address),
                settings.peer_address);
        },
        [this] {
            relay_server_.close();
        }};
    services_.add(service_name("peers"), {}, peers_service_);
    services_.add(
        service_name("store"), {service_name("peers")}, store_service_);
    services_.add(service_name("readiness"), {}, readiness_service_);
    services_.add(
        service_name("callers"), {service_name("store")}, callers_service_);
    services_.add(
        service_name("relays"), {service_name("store")}, relays_service_);
}

bool gateway::ready() {
    return state_.may_serve(boot_clock::now()) && !state_.shutdown.begun() &&
           !state_.replicas.all().empty() &&
           software_persistence_.settled(boot_clock::now());
}

void gateway::on_update() {
    controller_.wake_workers();
    if (state_.configuration.version != limits_version_) {
        limits_version_ = state_.configuration.version;
        caller_server_.set_limits(limits_of(state_));
        relay_server_.set_limits(limits_of(state_));
    }
    log_if_ready();
}

void gateway::on_reachability_change() {
    messenger_.announce_status();
    state_.waiters.notify_all();
    controller_.on_reachability_change();
}

void gateway::log_if_ready() {
    if (!ready_logged_ && ready()) {
        ready_logged_ = true;
        // A declared total below the total reported by other nodes (`told`)
        // means that their declarations could not be read in time.
        state_.log_event(log_line(event_code::gateway_ready)
                             .with("version", limits_version_)
                             .with("declared", state_.declared_total())
                             .with("told", state_.startup.reported_total()));
    }
}

asio::awaitable<void> gateway::tick() {
    while (running_) {
        quarantine_persistence_.poll();
        software_persistence_.poll();
        reachability_prober_.poll();
        log_if_ready();
        caller_ends_.poll();
        relay_ends_.poll();
        state_.log.flush(boot_clock::now());
        state_.refresh_slack_share(boot_clock::now());
        asio::steady_timer timer(*io_, tick_interval);
        co_await timer.async_wait(use_result);
    }
}

void gateway::reload(gateway_settings const& settings) {
    state_.settings.resends = settings.resends;
    state_.settings.stop_limit = settings.stop_limit;
    state_.resends.set_limits(settings.resends);
    settings_findings_ = 0;
    state_.log_event(log_line(event_code::settings_reloaded));
}

void gateway::report_findings(findings const& problems) {
    settings_findings_ = problems.all().size();
    for (finding const& each : problems.all()) {
        state_.log_event(
            log_line(event_code::settings_reloaded, log_level::warning)
                .with("file", each.where.file)
                .with("line", each.where.line)
                .with("key", each.where.key)
                .with("what", each.what));
    }
}

void gateway::drain(std::function<void()> stopped) {
    if (state_.shutdown.begun()) {
        return;
    }
    state_.shutdown.begin(
        boot_clock::now(), state_.settings.stop_accepts,
        state_.settings.stop_limit - shutdown_reserve);
    state_.log_event(log_line(event_code::gateway_stopping)
                         .with("running", state_.requests.size()));
    controller_.stop();
    caller_server_.announce_end();
    relay_server_.stop_accepting();
    relay_server_.finish_connections();
    asio::co_spawn(
        *io_,
        [this, stopped = std::move(stopped)] { return await_drain(stopped); },
        asio::detached);
}

// Answers the requests in progress, so that callers need not interpret a closed
// connection.
asio::awaitable<void> gateway::end_requests() {
    state_.requests.end_all();
    state_.waiters.notify_all();
    instant const until = boot_clock::now() + time_for_answers;
    asio::steady_timer timer(*io_);
    constexpr milliseconds step{10};
    while (state_.requests.size() > 0 && boot_clock::now() < until) {
        timer.expires_after(step);
        co_await timer.async_wait(use_result);
    }
    instant const acknowledged = boot_clock::now() + time_for_acknowledgements;
    while (caller_server_.open_connections() > 0 &&
           boot_clock::now() < acknowledged) {
        timer.expires_after(step);
        co_await timer.async_wait(use_result);
    }
}

asio::awaitable<void> gateway::await_drain(std::function<void()> stopped) {
    instant const limit = state_.shutdown.ends_at();
    asio::steady_timer timer(*io_, time_until(state_.shutdown.accepts_until()));
    co_await timer.async_wait(use_result);
    // New callers must see at once that this node no longer serves: a request
    // that is read late in the shutdown would be cut off at its end.
    caller_server_.stop_accepting();
    caller_server_.finish_connections();
    // Those that may not be sent from here on are refused.
    state_.waiters.notify_all();
    // A request that is being read is on a connection and is not live yet.
    auto const open = [this] {
        return caller_server_.open_connections() +
               relay_server_.open_connections();
    };
    while (state_.requests.size() + open() > 0 && boot_clock::now() < limit) {
        timer.expires_after(milliseconds(50));
        co_await timer.async_wait(use_result);
    }
    std::size_t const ended = state_.requests.size();
    co_await end_requests();
    state_.log_event(
        log_line(event_code::gateway_stopped)
            .with("running", ended)
            .with("unanswered", state_.requests.size())
            .with("took_ms", boot_clock::now() - state_.shutdown.began_at()));
    state_.log.flush(boot_clock::now());
    kernel_.stop();
    caller_ends_.finish();
    relay_ends_.finish();
    state_.log.flush(boot_clock::now());
    stopped();
}

} // namespace camphorpoint
