#include "Node/ports_driver.hpp"

#include "Membership/probe_message.hpp"
#include "Serving/peer_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <utility>
#include <variant>

namespace camphorpoint {

namespace asio = boost::asio;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

instant now() noexcept {
    return boot_clock::now();
}

http_limits caller_limits(
    node_settings const& settings, std::shared_ptr<body_budget> bodies) {
    http_limits limits;
    limits.bodies = std::move(bodies);
    limits.body_bytes = settings.body_limit;
    return limits;
}

http_limits operator_limits(
    node_settings const& settings, std::shared_ptr<body_budget> bodies) {
    constexpr std::size_t most_connections = 64;
    http_limits limits;
    limits.bodies = std::move(bodies);
    limits.body_bytes = settings.body_limit;
    limits.connections = most_connections;
    return limits;
}

start_result started(std::string problem, ip_address const& address) {
    if (problem.empty()) {
        return boost::outcome_v2::success();
    }
    return start_error{
        fmt::format("{}:{}: {}", address.host, address.port, problem)};
}

} // namespace

ports_driver::ports_driver(
    asio::io_context& io, node_settings settings, std::uint64_t run,
    node_decisions decisions, log_writer& log)
    : io_(io)
    , settings_(std::move(settings))
    , decisions_(std::move(decisions))
    , log_(&log)
    , platform_log_(
          io.get_executor(), settings_.log_address, pool_,
          settings_.platform_timeout,
          log_caller{settings_.name, settings_.domain})
    , instances_(
          io.get_executor(), settings_.instance_list_address, pool_,
          settings_.platform_timeout)
    , engines_(io.get_executor(), pool_, settings_.platform_timeout)
    , callers_(
          io.get_executor(), caller_limits(settings_, bodies_), settings_.name,
          run, [this](node_event event) { handle(std::move(event)); })
    , operators_(
          io.get_executor(), operator_limits(settings_, bodies_), make_view())
    , peers_(
          io.get_executor(), peer_identity{settings_.name, run},
          peer_link_limits(), run,
          [this](peer_identity const& from, std::string const& message) {
              receive(from, message);
          },
          [this](node_id const& peer) { handle(peer_unreachable{peer}); })
    , probes_(
          io.get_executor(),
          [this](std::string datagram) {
              handle(probe_received{std::move(datagram)});
          })
    , attempts_(
          io.get_executor(), pool_, engines_,
          [this](request_id const& id) { return callers_.find(id); },
          [this](node_event event) { handle(std::move(event)); })
    , drain_timer_(io) {
    callers_.observe_ends(
        [this](connection_end_report const& end) { on_connection_end(end); });
    peers_service_ = {
        [this] { return start_peers(); },
        [this] {
            peers_.close();
            probes_.close();
        }};
    platform_service_ = {
        [this] { return start_platform(); },
        [this] {
            closed_ = true;
        }};
    operators_service_ = {
        [this] { return start_operators(); },
        [this] {
            operators_.close();
        }};
    callers_service_ = {
        [this] { return start_callers(); },
        [this] {
            callers_.close();
        }};
}

operator_view ports_driver::make_view() {
    operator_view view;
    view.status = [this] {
        return decisions_.status(now());
    };
    view.in_force = [this]() -> configuration const& {
        return decisions_.in_force();
    };
    view.metrics = [this] {
        return metrics_text();
    };
    view.publish = [this](std::uint64_t number, std::string record) {
        handle(publish_request{number, std::move(record)});
    };
    view.drain = [this] {
        drain();
    };
    return view;
}

std::string ports_driver::metrics_text() {
    port_figures figures;
    figures.caller_connections = callers_.waiting();
    figures.idle_connections = pool_.idle();
    figures.running_attempts = attempts_.running();
    figures.queued_peer_bytes = peers_.queued_bytes();
    return metrics_.text(decisions_.status(now()), figures);
}

void ports_driver::add_services(service_registry& services) {
    service_name const callers("callers");
    service_name const operators("operators");
    service_name const peers("peers");
    service_name const platform("platform");
    services.add(peers, {}, peers_service_);
    services.add(platform, {peers}, platform_service_);
    services.add(operators, {platform}, operators_service_);
    // Callers come last and go first: a node that takes requests has all else.
    services.add(callers, {operators, platform}, callers_service_);
}

start_result ports_driver::start_peers() {
    std::string problem = peers_.listen(settings_.peer_address);
    if (problem.empty()) {
        // Peers know one address for both: with port 0 the link chose it.
        ip_address probe_address = settings_.peer_address;
        probe_address.port = peers_.port();
        problem = probes_.listen(probe_address);
    }
    return started(std::move(problem), settings_.peer_address);
}

start_result ports_driver::start_platform() {
    asio::co_spawn(io_, tick_all(), asio::detached);
    asio::co_spawn(io_, follow_instances(), asio::detached);
    asio::co_spawn(io_, follow_reports(), asio::detached);
    return boost::outcome_v2::success();
}

start_result ports_driver::start_operators() {
    return started(
        operators_.listen(settings_.operator_address),
        settings_.operator_address);
}

start_result ports_driver::start_callers() {
    std::string problem = callers_.listen(settings_.caller_address);
    if (problem.empty()) {
        write_log(
            event_code::node_started,
            fmt::format(
                "node={} callers={} operators={} peers={}",
                settings_.name.str(), callers_.port(), operators_.port(),
                peers_.port()));
    }
    return started(std::move(problem), settings_.caller_address);
}

void ports_driver::handle(node_event event) {
    if (closed_) {
        return;
    }
    waiting_.push_back(std::move(event));
    if (handling_) {
        return;
    }
    handling_ = true;
    std::vector<node_action> actions;
    while (!waiting_.empty()) {
        node_event const next = std::move(waiting_.front());
        waiting_.pop_front();
        actions.clear();
        decisions_.handle(next, now(), wall_now(), actions);
        for (node_action& action : actions) {
            carry_out(action);
        }
    }
    handling_ = false;
}

void ports_driver::carry_out(node_action& action) {
    std::visit([this](auto& each) { carry_out(each); }, action);
}

void ports_driver::carry_out(start_attempt& action) {
    attempts_.start(std::move(action));
}

void ports_driver::carry_out(cancel_attempt& action) {
    attempts_.cancel(action);
}

void ports_driver::carry_out(finish_request& action) {
    if (auto const call = callers_.find(action.id)) {
        call->finish(std::move(action));
    }
}

void ports_driver::carry_out(read_log& action) {
    asio::co_spawn(io_, run_read(action), asio::detached);
}

asio::awaitable<void> ports_driver::run_read(read_log what) {
    auto batch = co_await platform_log_.read(what.stream, what.from);
    if (batch) {
        handle(std::move(*batch));
    } else {
        handle(log_read_failed{what.stream});
    }
}

void ports_driver::carry_out(append_log& action) {
    asio::co_spawn(io_, run_append(std::move(action)), asio::detached);
}

asio::awaitable<void> ports_driver::run_append(append_log what) {
    append_outcome const got =
        co_await platform_log_.append(what.stream, std::move(what.data));
    handle(log_append_ended{what.append, got.how, got.offset});
}

void ports_driver::carry_out(engine_order& action) {
    asio::co_spawn(io_, run_order(std::move(action)), asio::detached);
}

asio::awaitable<void> ports_driver::run_order(engine_order what) {
    std::uint64_t const number = what.number;
    order_result result = order_result::not_sent;
    auto const address = endpoint_addresses_.find(what.replica);
    if (address != endpoint_addresses_.end()) {
        std::string to = address->second;
        result = co_await engines_.order(std::move(what), std::move(to));
    }
    handle(command_ended{number, result});
}

void ports_driver::carry_out(send_peer& action) {
    auto const address = peer_addresses_.find(action.to);
    if (address == peer_addresses_.end()) {
        handle(peer_unreachable{action.to});
        return;
    }
    peers_.send(
        action.to, address->second, encode_peer_message(action.message));
}

void ports_driver::receive(
    peer_identity const& from, std::string const& message) {
    if (auto decoded = decode_peer_message(message)) {
        handle(peer_received{from.id, std::move(*decoded)});
    }
}

void ports_driver::carry_out(publish_ended& action) {
    operators_.publish_ended(action);
}

void ports_driver::carry_out(count_reason& action) {
    metrics_.count(action);
}

void ports_driver::carry_out(observe_time& action) {
    metrics_.observe(action);
}

void ports_driver::carry_out(log_event& action) {
    log_->write(action, wall_now());
}

void ports_driver::carry_out(send_probe& action) {
    ip_address const address = parse_address(action.address);
    // Membership hears of new nodes from peers before the platform's list
    // names them.
    if (address.port != 0) {
        peer_addresses_.try_emplace(action.to, address);
    }
    probes_.send(address, encode_probe(action.message));
}

void ports_driver::carry_out(drain_finished& /*action*/) {
    asio::co_spawn(io_, wait_for_answers(), asio::detached);
}

void ports_driver::write_log(event_code code, std::string detail) {
    log_->write({code, log_level::info, std::move(detail)}, wall_now());
}

void ports_driver::on_connection_end(connection_end_report const& end) {
    if (connection_ends_.add(end, now())) {
        write_log(
            event_code::connection_ended,
            fmt::format(
                "why={} status={} read={} unread={}", to_string(end.why),
                end.status, end.bytes_read, end.bytes_unread));
    }
}

void ports_driver::log_connection_ends(
    std::vector<connection_end_sum> const& sums) {
    for (connection_end_sum const& each : sums) {
        write_log(
            event_code::connections_ended,
            fmt::format(
                "why={} connections={} read={} unread={}", to_string(each.why),
                each.connections, each.bytes_read, each.bytes_unread));
    }
}

asio::awaitable<void> ports_driver::tick_all() {
    asio::steady_timer timer(io_);
    while (!closed_) {
        handle(tick{});
        log_connection_ends(connection_ends_.take(now()));
        timer.expires_after(tick_period);
        co_await timer.async_wait(use_result);
    }
}

asio::awaitable<void> ports_driver::follow_instances() {
    asio::steady_timer timer(io_);
    while (!closed_) {
        auto list = co_await instances_.read();
        if (list) {
            take_instances(*list);
            handle(std::move(*list));
        }
        timer.expires_after(settings_.instance_poll);
        co_await timer.async_wait(use_result);
    }
}

void ports_driver::take_instances(instance_list const& list) {
    peer_addresses_.clear();
    for (node_instance const& each : list.nodes) {
        peer_addresses_[each.id] = parse_address(each.peer_address);
    }
    endpoint_addresses_.clear();
    for (endpoint_instance const& each : list.endpoints) {
        endpoint_addresses_[each.id] = each.address;
    }
}

asio::awaitable<void> ports_driver::follow_reports() {
    asio::steady_timer timer(io_);
    while (!closed_) {
        // Only the replicas that this node schedules: reports of all would cost
        // each node in proportion to the whole cluster.
        node_status const status = decisions_.status(now());
        for (replica_status const& each : status.replicas) {
            asio::co_spawn(io_, read_report(each.replica), asio::detached);
        }
        timer.expires_after(settings_.report_poll);
        co_await timer.async_wait(use_result);
    }
}

asio::awaitable<void> ports_driver::read_report(endpoint_id replica) {
    auto const address = endpoint_addresses_.find(replica);
    if (address == endpoint_addresses_.end()) {
        co_return;
    }
    std::string to = address->second;
    auto report = co_await engines_.report(std::move(replica), std::move(to));
    if (report) {
        handle(std::move(*report));
    }
}

void ports_driver::drain() {
    if (std::exchange(draining_, true)) {
        return;
    }
    write_log(event_code::node_draining, "node=" + settings_.name.str());
    drain_timer_.expires_after(settings_.drain_limit);
    drain_timer_.async_wait([this](boost::system::error_code error) {
        if (!error) {
            stop(false);
        }
    });
    handle(drain_started{});
}

asio::awaitable<void> ports_driver::wait_for_answers() {
    constexpr std::chrono::milliseconds step{5};
    asio::steady_timer timer(io_);
    // The decisions are done, but the last requests may still be read, and the
    // last bytes of the last answers be on their way: closing now would cut
    // them.
    callers_.finish_connections();
    while (callers_.open_connections() + operators_.answering() > 0 &&
           !closed_) {
        timer.expires_after(step);
        co_await timer.async_wait(use_result);
    }
    drain_timer_.cancel();
    stop(true);
}

void ports_driver::stop(bool drained) {
    if (!stopped_) {
        return;
    }
    log_connection_ends(connection_ends_.take_all());
    write_log(
        event_code::node_stopped,
        fmt::format("node={} drained={}", settings_.name.str(), drained));
    std::exchange(stopped_, nullptr)(drained);
}

} // namespace camphorpoint
