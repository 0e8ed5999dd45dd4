#pragma once

#include "Kernel/service_registry.hpp"
#include "Node/attempt_runner.hpp"
#include "Node/metrics.hpp"
#include "Node/node_decisions.hpp"
#include "Node/operator_interface.hpp"
#include "Node/port_service.hpp"
#include "Ports/caller_interface.hpp"
#include "Ports/connection_end.hpp"
#include "Ports/engine_http.hpp"
#include "Ports/http_pool.hpp"
#include "Ports/instance_list_http.hpp"
#include "Ports/peer_link.hpp"
#include "Ports/platform_log_http.hpp"
#include "Ports/probe_link.hpp"
#include "Settings/node_settings.hpp"
#include "Telemetry/log_writer.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorpoint {

/// Joins decisions and ports: carries out the decisions' actions through the
/// ports, and hands them what the ports learn as events.
class ports_driver {
public:
    /// @param io        the loop that owns everything
    /// @param settings  addresses, periods and limits
    /// @param run       tells two runs of this process apart; only grows
    /// @param decisions what decides
    /// @param log       where log events go
    ports_driver(
        boost::asio::io_context& io, node_settings settings, std::uint64_t run,
        node_decisions decisions, log_writer& log);

    /// Adds the driver's parts as services: peers, platform, operators,
    /// callers.
    void add_services(service_registry& services);
    /// @param stopped called once, when a planned stop has ended; with false
    ///                when drain_limit cut it off
    void on_stopped(std::function<void(bool drained)> stopped) {
        stopped_ = std::move(stopped);
    }
    /// Begins a planned stop; does nothing when one has begun.
    void drain();
    /// Hands the decisions an event, after those that wait already.
    void handle(node_event event);

    /// @returns the caller interface's port
    std::uint16_t caller_port() const noexcept { return callers_.port(); }
    /// @returns the operator interface's port
    std::uint16_t operator_port() const noexcept { return operators_.port(); }
    /// @returns the peer interface's port
    std::uint16_t peer_port() const noexcept { return peers_.port(); }

private:
    start_result start_peers();
    start_result start_platform();
    start_result start_operators();
    start_result start_callers();

    void carry_out(node_action& action);
    void carry_out(start_attempt& action);
    void carry_out(cancel_attempt& action);
    void carry_out(finish_request& action);
    void carry_out(read_log& action);
    void carry_out(append_log& action);
    void carry_out(engine_order& action);
    void carry_out(send_peer& action);
    void carry_out(publish_ended& action);
    void carry_out(count_reason& action);
    void carry_out(observe_time& action);
    void carry_out(log_event& action);
    void carry_out(send_probe& action);
    void carry_out(drain_finished& action);

    boost::asio::awaitable<void> run_read(read_log what);
    boost::asio::awaitable<void> run_append(append_log what);
    boost::asio::awaitable<void> run_order(engine_order what);
    boost::asio::awaitable<void> tick_all();
    boost::asio::awaitable<void> follow_instances();
    boost::asio::awaitable<void> follow_reports();
    boost::asio::awaitable<void> read_report(endpoint_id replica);
    boost::asio::awaitable<void> wait_for_answers();
    void take_instances(instance_list const& list);
    void receive(peer_identity const& from, std::string const& message);
    void on_connection_end(connection_end_report const& end);
    void log_connection_ends(std::vector<connection_end_sum> const& sums);
    void write_log(event_code code, std::string detail);
    void stop(bool drained);
    operator_view make_view();
    std::string metrics_text();

    boost::asio::io_context& io_;
    node_settings settings_;
    node_decisions decisions_;
    log_writer* log_;
    metrics metrics_;
    http_pool pool_;
    platform_log_http platform_log_;
    instance_list_http instances_;
    engine_http engines_;
    connection_end_summary connection_ends_;
    /// Bounds the bodies of requests of callers and operators.
    std::shared_ptr<body_budget> bodies_ = std::make_shared<body_budget>();
    caller_interface callers_;
    operator_interface operators_;
    peer_link peers_;
    probe_link probes_;
    attempt_runner attempts_;
    std::map<node_id, ip_address> peer_addresses_;
    std::map<endpoint_id, std::string> endpoint_addresses_;
    // Events that came up while one was being handled; decisions are never
    // entered twice.
    std::deque<node_event> waiting_;
    bool handling_ = false;
    bool closed_ = false;
    std::function<void(bool)> stopped_;
    boost::asio::steady_timer drain_timer_;
    bool draining_ = false;
    port_service peers_service_;
    port_service platform_service_;
    port_service operators_service_;
    port_service callers_service_;
};

} // namespace camphorpoint
