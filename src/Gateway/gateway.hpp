#pragma once

#include "Core/findings.hpp"
#include "Gateway/connection_end_log.hpp"
#include "Gateway/declaration_follower.hpp"
#include "Gateway/gateway_state.hpp"
#include "Gateway/peer_messenger.hpp"
#include "Gateway/quarantine_persistence.hpp"
#include "Gateway/reachability_prober.hpp"
#include "Gateway/registry_follower.hpp"
#include "Gateway/replica_controller.hpp"
#include "Gateway/software_persistence.hpp"
#include "Gateway/view_reader.hpp"
#include "Kernel/kernel.hpp"
#include "Kernel/service_registry.hpp"
#include "Node/port_service.hpp"
#include "Ports/http_server.hpp"
#include "Ports/loop_delay.hpp"
#include "platform/store_client.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace camphorpoint {

/// A gateway node. It routes requests by host and path to replicas of services
/// that have the requested adapter. Its components are services of one kernel.
class gateway {
public:
    /// @param io       the event loop on which the node runs
    /// @param settings validated settings
    gateway(boost::asio::io_context& io, gateway_settings settings);

    /// Starts all services.
    /// @param problems receives the errors; after an error no service runs
    /// @returns true when the node has started
    bool start(findings& problems) { return kernel_.start(problems); }
    /// Begins a planned shutdown: the node reports unready at once, gives no
    /// new commands to replicas, and completes running requests within the stop
    /// limit.
    /// @param stopped called when the shutdown has ended
    void drain(std::function<void()> stopped);
    /// @returns true when requests can be served
    bool ready();
    /// @returns the version of the configuration in force, 0 for none
    std::uint64_t configuration_version() const noexcept {
        return state_.configuration.version;
    }
    /// @returns the newest known version of an adapter, 0 for none
    std::uint32_t newest_version(adapter_id const& adapter) const {
        return state_.versions.newest(adapter).value_or(0);
    }
    /// @returns true when the replica is in the replica registry
    bool knows_replica(endpoint_id const& id) const {
        return state_.replicas.find(id) != nullptr;
    }
    /// @returns true when new requests may go to the replica
    bool routes_to(endpoint_id const& id) const {
        replica const* const found = state_.replicas.find(id);
        return found != nullptr && found->accepts_requests();
    }
    /// Applies those of the new settings that can change while the node runs.
    void reload(gateway_settings const& settings);
    /// Tells operators what is wrong with the settings file that was read last:
    /// by log lines, a metric and the answer to questions for readiness.
    void report_findings(findings const& problems);

private:
    boost::asio::awaitable<void> answer(http_exchange& exchange);
    boost::asio::awaitable<void> answer_relayed(http_exchange& exchange);
    boost::asio::awaitable<void> answer_readiness(http_exchange& exchange);
    boost::asio::awaitable<void> answer_metrics(http_exchange& exchange);
    http_response make_metrics_response();
    boost::asio::awaitable<void> await_drain(std::function<void()> stopped);
    boost::asio::awaitable<void> end_requests();
    boost::asio::awaitable<void> tick();
    void add_services();
    void on_update();
    void on_reachability_change();
    void log_if_ready();

    boost::asio::io_context* io_;
    gateway_state state_;
    platform::store_client store_;
    replica_controller controller_;
    peer_messenger messenger_;
    store_monitor monitor_;
    declaration_follower declarations_;
    quarantine_persistence quarantine_persistence_;
    software_persistence software_persistence_;
    registry_follower registry_follower_;
    view_reader view_reader_;
    reachability_prober reachability_prober_;
    connection_end_log caller_ends_;
    connection_end_log relay_ends_;
    http_server caller_server_;
    /// Requests that other nodes relay, on the peer address. Callers do not
    /// reach it.
    http_server relay_server_;
    http_server readiness_server_;
    http_server metrics_server_;
    loop_delay loop_delay_;
    port_service peers_service_;
    port_service store_service_;
    port_service readiness_service_;
    port_service callers_service_;
    port_service relays_service_;
    service_registry services_;
    kernel kernel_;
    // Shared with the coroutines that answer requests, which may outlive this
    // object.
    std::shared_ptr<std::size_t> active_exchanges_ =
        std::make_shared<std::size_t>(0);
    std::uint64_t limits_version_ = 0;
    bool ready_logged_ = false;
    /// Findings in the settings file that was read last.
    std::size_t settings_findings_ = 0;
    bool running_ = true;
};

} // namespace camphorpoint
