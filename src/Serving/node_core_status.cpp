#include "Serving/node_core.hpp"

namespace camphorpoint {

namespace {

std::string_view to_string(node_state state) {
    switch (state) {
    case node_state::live:
        return "live";
    case node_state::suspect:
        return "suspect";
    case node_state::leaving:
        return "leaving";
    case node_state::dead:
        return "dead";
    }
    return "dead";
}

} // namespace

node_status node_core::status(instant now) const {
    node_status result;
    result.draining = environment_.draining();
    if (reason const why = not_ready(now); why != reason::none) {
        result.not_ready.push_back(why);
    }
    result.ready = result.not_ready.empty();
    configuration const& current = services_.follower.current();
    result.configuration = current.next();
    result.configuration_digest = current.digest();
    result.configuration_age = services_.follower.stale_for(now);
    result.profiles = current.all().size();
    result.waiting_requests = requests_.waiting();
    result.running_requests = requests_.size() - result.waiting_requests;
    for (resource_id const& each :
         services_.ownership.table().owned_by(settings_.self.id)) {
        auto const known = services_.ownership.owner_of(each);
        bool const holds =
            services_.ownership.authority_for(each, now).has_value();
        result.owned.push_back(
            {camphorpoint::to_string(each),
             known ? known->fencing : log_offset{}, holds});
    }
    for (auto const& [replica, owned] : services_.replicas) {
        replica_feedback const seen = owned->feedback({}, now);
        result.replicas.push_back({replica, seen.queued, seen.running});
    }
    for (live_node const& each : services_.members.live_nodes()) {
        auto const state = services_.members.state_of(each.id);
        result.members.push_back(
            {each.id, each.start_time_ms,
             std::string(to_string(state.value_or(node_state::live)))});
    }
    return result;
}

} // namespace camphorpoint
