#include "Gateway/gateway_beliefs.hpp"

#include <fmt/format.h>

#include <utility>

namespace camphorpoint {

namespace {

/// Entries of replicas that lapsed with the store's outage are back by then.
constexpr duration store_settles = std::chrono::milliseconds(2'300);
/// Idle connections to a replica are few, as all nodes share its limit; they
/// are kept for as long as it keeps them.
constexpr http_pool_limits connection_limits{
    6, 600, std::chrono::milliseconds(15'000)};

membership_settings met_settings() {
    membership_settings settings;
    settings.base = base_set::met;
    return settings;
}

node_instance self_of(gateway_settings const& settings, std::string address) {
    node_instance self;
    self.id = node_id(address);
    self.domain = settings.domain;
    self.peer_address = std::move(address);
    self.processor_percent = settings.processor_percent;
    return self;
}

std::uint64_t run_number() {
    return static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
}

} // namespace

gateway_beliefs::gateway_beliefs(
    boost::asio::io_context& loop, gateway_settings given, int log_handle)
    : io(loop)
    , settings(std::move(given))
    , own_name(fmt::format(
          "{}:{}", settings.peer_address.host, settings.peer_address.port))
    , log(log_handle)
    , random(std::random_device()())
    , waiters(loop.get_executor())
    , second_sends(settings.second_sends)
    , replica_connections(connection_limits)
    , leases(settings.leases)
    , members(
          met_settings(), self_of(settings, own_name), run_number(),
          std::mt19937_64(random())) {}

unsigned gateway_beliefs::nodes() const {
    return members.digest().count;
}

unsigned gateway_beliefs::sharers(instant now) const {
    return static_cast<unsigned>(members.sharers(now));
}

instant gateway_beliefs::store_calm_from() const {
    return store_back + store_settles;
}

bool gateway_beliefs::store_calm(instant now) const {
    return store_lost_since == instant::max() && now >= store_calm_from();
}

} // namespace camphorpoint
