#include "Gateway/gateway_state.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace camphorpoint {

namespace {

/// A node that was heard within this counts as one that is there.
constexpr duration peer_timeout = std::chrono::seconds(4);
/// Entries of replicas that lapsed with the store's outage are back by then.
constexpr duration store_settling_time = std::chrono::milliseconds(2'300);
/// Idle connections to a replica are few, as all nodes share its limit; they
/// are kept for as long as it keeps them.
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
    , random(std::random_device()())
    , waiters(loop.get_executor())
    , resends(settings.resends)
    , replica_connections(connection_limits)
    , leases(settings.leases) {}

unsigned gateway_state::nodes() const {
    // Those that were heard lately; the others have stopped.
    instant const now = boot_clock::now();
    auto const recent = std::ranges::count_if(peers, [&](auto const& each) {
        return now < each.second + peer_timeout;
    });
    return static_cast<unsigned>(recent) + 1;
}

// Guards against nodes that divide by whom they hear: with a domain cut off, or
// all nodes just begun, each hears too few, and together they send more often
// than is allowed. A partition is held by one node at a time.
unsigned gateway_state::slack_divisor(instant now) const {
    constexpr unsigned none = 1'000'000;
    std::size_t const held =
        leases.valid(now) ? leases.held_partitions().size() : 0;
    if (held == 0) {
        return none;
    }
    return static_cast<unsigned>((partition_count + held - 1) / held);
}

instant gateway_state::store_stable_from() const {
    return store_reachable_since + store_settling_time;
}

bool gateway_state::registry_refilling(instant now) const {
    return store_unreachable_since == instant::max() &&
           now < store_stable_from();
}

bool gateway_state::store_stable(instant now) const {
    return store_unreachable_since == instant::max() &&
           now >= store_stable_from();
}

} // namespace camphorpoint
