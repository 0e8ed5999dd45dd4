#include "Serving/node_services.hpp"

#include <random>

namespace camphorpoint {

namespace {

// Each service has its own random generator, so that random samples of one do
// not change those of another.
enum class random_stream : std::uint64_t { members = 1, ownership, follower };

std::mt19937_64
make_generator(serving_settings const& settings, random_stream which) {
    return std::mt19937_64(combine_hashes(
        hash_text(settings.self.id.str(), settings.seed),
        static_cast<std::uint64_t>(which)));
}

placement_settings local_placement_settings(serving_settings const& settings) {
    placement_settings result = settings.placement;
    result.domain = settings.self.domain;
    return result;
}

} // namespace

node_services::node_services(serving_settings const& settings)
    : members(
          settings.members, settings.self, settings.start_time_ms,
          make_generator(settings, random_stream::members))
    , ownership(
          settings.ownership,
          node_run{settings.self.id, settings.start_time_ms},
          make_generator(settings, random_stream::ownership))
    , follower(
          settings.self.id, settings.configuration,
          make_generator(settings, random_stream::follower)())
    , publisher(settings.publishing)
    , checkpoints(settings.self.id, settings.checkpoints)
    , key_shards(settings.key_owner)
    , keys(settings.keys)
    , endpoint_selector(local_placement_settings(settings))
    , retries(settings.retries)
    , cluster_budget(settings.loading)
    , local_budget(fallback_limits(1, settings.loading)) {}

bool node_services::reachable(node_id const& node) const {
    auto const state = members.state_of(node);
    return state && *state != node_state::dead;
}

node_id node_services::reachable_owner(resource_id const& resource) const {
    auto const known = ownership.owner_of(resource);
    if (!known || !reachable(known->owner.node)) {
        return {};
    }
    return known->owner.node;
}

} // namespace camphorpoint
