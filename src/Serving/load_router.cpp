#include "Serving/load_router.hpp"

namespace camphorpoint {

void load_router::deliver(
    store_budget& budget, node_id const& from, load_message const& message,
    instant now) {
    if (auto const* const request = std::get_if<load_request>(&message)) {
        budget.on_load_request(from, *request, now);
    } else if (auto const* const result = std::get_if<load_result>(&message)) {
        budget.on_load_result(from, *result, now);
    } else {
        budget.on_load_cancelled(from, std::get<load_cancelled>(message), now);
    }
}

// When the store's owner is unreachable, for instance after it died during a
// log outage, loads continue within this node's part of the budget. The parts
// of all nodes together stay within the store's limits.
void load_router::send_to_store_owner(
    load_message const& message, instant now) {
    node_id const owner = services_.reachable_owner(store_);
    if (!owner.empty()) {
        std::visit(
            [&](auto const& each) { outbox_.send(owner, each); }, message);
    }
    bool const is_request = std::holds_alternative<load_request>(message);
    if (owner.empty() || !is_request) {
        deliver(services_.local_budget, outbox_.self(), message, now);
    }
}

void load_router::on_message(
    node_id const& from, load_message const& message, instant now) {
    deliver(services_.cluster_budget, from, message, now);
}

void load_router::on_tick(instant now) {
    if (auto const authority = services_.ownership.authority_for(store_, now)) {
        services_.cluster_budget.on_authority(
            authority->fencing, authority->not_after, now);
    }
    services_.local_budget.on_authority({}, instant::max(), now);
    services_.cluster_budget.on_tick(now);
    services_.local_budget.on_tick(now);
}

void load_router::set_nodes(std::size_t nodes) {
    if (nodes == nodes_) {
        return;
    }
    nodes_ = nodes;
    services_.local_budget = store_budget(fallback_limits(nodes, limits_));
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
            outbox_.emit(std::get<log_event>(each));
        }
    }
    return !actions.empty();
}

bool load_router::pump(instant /*now*/) {
    bool const cluster = pump(services_.cluster_budget);
    bool const local = pump(services_.local_budget);
    return cluster || local;
}

} // namespace camphorpoint
