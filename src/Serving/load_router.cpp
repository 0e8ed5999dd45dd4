#include "Serving/load_router.hpp"

namespace camphorpoint {

void load_router::give(
    store_budget& to, node_id const& from, load_message const& message,
    instant now) {
    if (auto const* const ask = std::get_if<load_request>(&message)) {
        to.on_load_request(from, *ask, now);
    } else if (auto const* const end = std::get_if<load_result>(&message)) {
        to.on_load_result(from, *end, now);
    } else {
        to.on_load_cancelled(from, std::get<load_cancelled>(message), now);
    }
}

// With the store's owner out of reach, as when it died in a log outage, loads
// go on within this node's share: all nodes' shares together stay within what
// the store bears.
void load_router::tell_store(load_message const& message, instant now) {
    node_id const owner = services_.reachable_owner(store_);
    if (!owner.empty()) {
        std::visit(
            [&](auto const& each) { outbox_.send(owner, each); }, message);
    }
    bool const ask = std::holds_alternative<load_request>(message);
    if (owner.empty() || !ask) {
        give(services_.own_share, outbox_.self(), message, now);
    }
}

void load_router::on_message(
    node_id const& from, load_message const& message, instant now) {
    give(services_.store, from, message, now);
}

void load_router::on_tick(instant now) {
    if (auto const leave = services_.owning.authority_for(store_, now)) {
        services_.store.on_authority(leave->fencing, leave->not_after, now);
    }
    services_.own_share.on_authority({}, instant::max(), now);
    services_.store.on_tick(now);
    services_.own_share.on_tick(now);
}

void load_router::set_nodes(std::size_t nodes) {
    if (nodes == nodes_) {
        return;
    }
    nodes_ = nodes;
    services_.own_share = store_budget(fallback_limits(nodes, limits_));
}

bool load_router::pump(store_budget& from) {
    std::vector<budget_action> const actions = from.take_actions();
    for (budget_action const& each : actions) {
        if (auto const* const yes = std::get_if<send_load_allowed>(&each)) {
            outbox_.send(yes->to, yes->message);
        } else if (
            auto const* const no = std::get_if<send_load_denied>(&each)) {
            outbox_.send(no->to, no->message);
        } else {
            outbox_.act(std::get<log_event>(each));
        }
    }
    return !actions.empty();
}

bool load_router::pump(instant /*now*/) {
    bool const store = pump(services_.store);
    bool const share = pump(services_.own_share);
    return store || share;
}

} // namespace camphorpoint
