#include "Gateway/gateway_state.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint {

namespace {

/// A node counts as running if a message from it was received within this time.
constexpr duration peer_timeout = std::chrono::seconds(4);
/// Within this time after a store outage, the replicas have written their
/// expired registry entries again.
constexpr duration store_settling_time = std::chrono::milliseconds(2'300);
/// Declarations that other nodes know are read within this time.
constexpr duration catch_up_time = std::chrono::seconds(1);
/// Few idle connections are kept to each replica, since all nodes share its
/// connection limit. They are kept for as long as the replica keeps them.
constexpr http_pool_limits connection_limits{
    6, 600, std::chrono::milliseconds(15'000)};

} // namespace

gateway_state::gateway_state(
    boost::asio::io_context& loop, gateway_settings initial_settings,
    int log_handle)
    : io(loop)
    , settings(std::move(initial_settings))
    , own_address(fmt::format(
          "{}:{}", settings.peer_address.host, settings.peer_address.port))
    , log(log_handle)
    , registry_outages(settings.replica_heartbeat)
    , random(std::random_device()())
    , waiters(loop.get_executor())
    , resends(settings.resends)
    , replica_connections(connection_limits, answers)
    , leases(settings.leases) {}

service_versions
gateway_state::stream_versions(service_id const& service, instant now) {
    return route_changes.limit(
        software.versions(service, settings.stream_lifetime, now), service,
        now);
}

unsigned gateway_state::nodes() const {
    // Nodes from which no message was received lately have stopped.
    instant const now = boot_clock::now();
    auto const recent = std::ranges::count_if(peers, [&](auto const& each) {
        return now < each.second + peer_timeout;
    });
    return static_cast<unsigned>(recent) + 1;
}

bool gateway_state::behind_peers(instant now) const {
    return behind_peers_at != instant{} &&
           now < behind_peers_at + catch_up_time;
}

// Guards against nodes that divide the slack by the number of nodes from which
// they receive messages. When a failure domain is cut off, or all nodes have
// just started, that number is too low, and together the nodes resend more
// often than is allowed. Leases are a safe measure, because each partition is
// held by one node at a time.
void gateway_state::refresh_slack_share(instant now) {
    double const held = static_cast<double>(leases.exclusive_partitions(now));
    resends.set_slack_share(held / partition_count, now);
}

bool gateway_state::registry_refilling(instant now) const {
    return store_unreachable_since == instant::max() &&
           now < store_reachable_since + store_settling_time;
}

} // namespace camphorpoint
