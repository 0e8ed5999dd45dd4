#pragma once

#include "Core/store_position.hpp"
#include "Core/time.hpp"
#include "Delivery/quarantine_sync.hpp"
#include "Delivery/request_quarantine.hpp"
#include "Delivery/resend_budget.hpp"
#include "Fleet/adapter_demand.hpp"
#include "Fleet/fleet.hpp"
#include "Fleet/replica_selector.hpp"
#include "Gateway/gateway_metrics.hpp"
#include "Gateway/gateway_settings.hpp"
#include "Gateway/waiter_list.hpp"
#include "Ports/http_pool.hpp"
#include "ReplicaControl/partition_leases.hpp"
#include "Routing/declared_versions.hpp"
#include "Routing/route_table.hpp"
#include "Routing/startup_gate.hpp"
#include "Telemetry/decision_log.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>

namespace camphorpoint {

/// Everything that a gateway node knows; its services share it. One loop owns
/// it, so there are no locks.
struct gateway_state {
    gateway_state(
        boost::asio::io_context& loop, gateway_settings initial_settings,
        int log_handle);

    /// @returns how much of what the operator declares is known: the sum of
    ///          all versions, which only rises
    std::uint64_t declared_total() const noexcept {
        return configuration.version + versions.total();
    }
    /// @returns true when requests may be served by what is declared: there is
    ///          a configuration, and nobody was known at the start to know more
    bool may_serve(instant now) {
        return configured && start.passed(declared_total(), now);
    }
    /// @returns how many nodes there are, this one included
    unsigned nodes() const;
    /// @returns among how many nodes the slack of second sends is divided, by
    ///          this node's part of the partitions; a number beyond any slack
    ///          when it holds none
    unsigned slack_divisor(instant now) const;
    /// @returns true when the store has answered lately and without a break
    bool store_stable(instant now) const;
    /// @returns when entries that lapsed with the store's last outage are back
    instant store_stable_from() const;
    /// @returns true while entries of replicas that lapsed in the store's
    ///          outage may be about to come back
    bool registry_refilling(instant now) const;
    /// Writes a line.
    void log_event(log_line const& line) { log.write(line, boot_clock::now()); }

    boost::asio::io_context& io;
    gateway_settings settings;
    std::string own_address;
    decision_log log;
    gateway_metrics metrics;

    routing_configuration configuration;
    route_table routes;
    bool configured = false;
    bool stopping = false;
    declared_versions versions;
    startup_gate start;
    /// How far this node has read what the operator declares.
    store_position declared_position;

    fleet replicas;
    adapter_demand demand;
    std::mt19937_64 random;
    replica_selector choice{replicas};
    waiter_list waiters;
    resend_budget resends;
    request_quarantine quarantine;
    quarantine_sync quarantine_sync_state;
    http_pool replica_connections;
    partition_leases leases;
    /// Peer addresses of nodes heard of, with the time of the last word.
    std::map<std::string, instant> peers;
    /// Since when calls to the store fail; max while they don't.
    instant store_unreachable_since = instant::max();
    /// When the store came back last.
    instant store_reachable_since;
    /// The latest era of the store that this node has met.
    store_epoch epoch{};
    unsigned live_requests = 0;
};

} // namespace camphorpoint
