#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"
#include "Delivery/head_times.hpp"
#include "Delivery/quarantine_sync.hpp"
#include "Delivery/request_quarantine.hpp"
#include "Delivery/resend_budget.hpp"
#include "Delivery/shutdown_schedule.hpp"
#include "Fleet/adapter_demand.hpp"
#include "Fleet/fleet.hpp"
#include "Fleet/registry_outage_tracker.hpp"
#include "Fleet/replica_reachability.hpp"
#include "Fleet/replica_selector.hpp"
#include "Fleet/software_history.hpp"
#include "Gateway/gateway_metrics.hpp"
#include "Gateway/gateway_settings.hpp"
#include "Gateway/live_requests.hpp"
#include "Gateway/waiter_list.hpp"
#include "Limits/answer_budget.hpp"
#include "Limits/body_budget.hpp"
#include "Ports/http_pool.hpp"
#include "ReplicaControl/partition_leases.hpp"
#include "Routing/declared_versions.hpp"
#include "Routing/route_history.hpp"
#include "Routing/route_table.hpp"
#include "Routing/startup_gate.hpp"
#include "Teams/team_table.hpp"
#include "Telemetry/decision_log.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace camphorpoint {

/// State of a gateway node, shared by its components: settings, configuration,
/// replicas, leases and peers. Only one event loop uses it, so there are no
/// locks.
struct gateway_state {
    gateway_state(
        boost::asio::io_context& loop, gateway_settings initial_settings,
        int log_handle);

    /// @returns the sum of all declared versions that this node knows. The sum
    ///          never decreases, so it shows which of two nodes knows more
    ///          declarations.
    std::uint64_t declared_total() const noexcept {
        return configuration.version + versions.total();
    }
    /// @returns true when requests may be served: this node has a
    ///          configuration, and no other node was known at this node's start
    ///          to have newer declarations
    bool may_serve(instant now) {
        return configured && startup.passed(declared_total(), now);
    }
    /// @returns true when other nodes have lately reported declarations that
    ///          this node does not know yet
    bool behind_peers(instant now) const;
    /// @returns the number of running nodes, including this one
    unsigned nodes() const;
    /// Sets this node's share of the slack of resends to its fraction of the
    /// partitions.
    void refresh_slack_share(instant now);
    /// @returns true while replicas may be about to write registry entries
    ///          again that expired in the store's outage
    bool registry_refilling(instant now) const;
    /// @returns the software versions that may have written the streams which
    ///          callers may resume at a service
    service_versions stream_versions(service_id const& service, instant now);
    /// Writes a line to the decision log.
    void log_event(log_line const& line) { log.write(line, boot_clock::now()); }

    boost::asio::io_context& io;
    gateway_settings settings;
    std::string own_address;
    decision_log log;
    gateway_metrics metrics;

    routing_configuration configuration;
    route_table routes;
    /// Empty when callers need no API keys.
    team_table teams;
    bool configured = false;
    shutdown_schedule shutdown;
    declared_versions versions;
    startup_gate startup;
    /// Position up to which this node has read the operator's declarations.
    store_position declared_position;

    fleet replicas;
    /// Outages of the store, as far as they concern the registry.
    registry_outage_tracker registry_outages;
    adapter_demand demand;
    std::mt19937_64 random;
    replica_selector selector{replicas};
    software_history software{replicas};
    route_history route_changes{settings.stream_lifetime};
    waiter_list waiters;
    resend_budget resends;
    request_quarantine quarantine;
    quarantine_sync quarantine_sync_state;
    /// Bounds the bodies of requests.
    std::shared_ptr<body_budget> bodies = std::make_shared<body_budget>();
    /// Bounds the bodies of the answers of replicas and other nodes.
    std::shared_ptr<answer_budget> answers = std::make_shared<answer_budget>();
    http_pool replica_connections;
    /// Connections over which requests are relayed to other nodes.
    http_pool peer_connections{http_pool_limits(), answers};
    replica_reachability reachability;
    partition_leases leases;
    /// Peer addresses of the known nodes, with the time of the last message
    /// from each.
    std::map<std::string, instant> peers;
    /// What those that do not reach all replicas have reported.
    std::map<std::string, replica_links> peer_links;
    /// When another node last reported more declarations than this node knows.
    instant behind_peers_at;
    /// Since when calls to the store fail; instant::max() while they succeed.
    instant store_unreachable_since = instant::max();
    /// When the store last became reachable again, or was last restored from an
    /// older snapshot.
    instant store_reachable_since;
    /// The highest epoch of the store that this node has observed.
    store_epoch epoch{};
    live_requests requests;
    /// How long the answers of each service take to begin at this node.
    std::unordered_map<service_id, head_times> answer_times;
};

} // namespace camphorpoint
