#include "Serving/node_services.hpp"

#include <random>

namespace camphorpoint {

namespace {

// Seeds of the services' own generators, so that none draws from another's.
enum class stream : std::uint64_t { members = 1, owning, follower };

std::mt19937_64 generator(serving_settings const& settings, stream which) {
    return std::mt19937_64(combine_hashes(
        hash_text(settings.self.id.str(), settings.seed),
        static_cast<std::uint64_t>(which)));
}

placement_settings placing_here(serving_settings const& settings) {
    placement_settings here = settings.placing;
    here.domain = settings.self.domain;
    return here;
}

} // namespace

node_services::node_services(serving_settings const& settings)
    : members(
          settings.members, settings.self, settings.start_time_ms,
          generator(settings, stream::members))
    , owning(
          settings.ownership,
          node_run{settings.self.id, settings.start_time_ms},
          generator(settings, stream::owning))
    , follower(
          settings.self.id, settings.configuration,
          generator(settings, stream::follower)())
    , publisher(settings.publishing)
    , checkpoints(settings.self.id, settings.checkpoints)
    , shards(settings.key_owner)
    , keys(settings.keys)
    , choice(placing_here(settings))
    , retries(settings.retries)
    , store(settings.loading)
    , own_share(fallback_limits(1, settings.loading)) {}

bool node_services::reachable(node_id const& node) const {
    auto const state = members.state_of(node);
    return state && *state != node_state::dead;
}

node_id node_services::reachable_owner(resource_id const& resource) const {
    auto const known = owning.owner_of(resource);
    if (!known || !reachable(known->owner.node)) {
        return {};
    }
    return known->owner.node;
}

} // namespace camphorpoint
