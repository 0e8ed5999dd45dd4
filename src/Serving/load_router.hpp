#pragma once

#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"
#include "Serving/serving_settings.hpp"

#include <variant>

namespace camphorpoint {

/// A message from a replica's owner to the owner of the weight store.
using load_message = std::variant<load_request, load_cancelled, load_result>;

/// Passes load requests and their decisions between the owners of replicas and
/// the owner of the weight store. This node may be both.
class load_router {
public:
    load_router(
        serving_settings const& settings, node_services& services,
        node_outbox& outbox)
        : store_(store_resource(settings.store))
        , limits_(settings.loading)
        , services_(services)
        , outbox_(outbox) {}

    /// Sends a load request, its cancellation or the result of a load of a
    /// replica that this node owns.
    void send_to_store_owner(load_message const& message, instant now);
    /// Handles a message from the owner of a replica. This node owns the store
    /// or owned it before.
    void
    on_message(node_id const& from, load_message const& message, instant now);
    /// Handles the loss of the store's ownership.
    void lost(instant now) { services_.cluster_budget.on_authority_lost(now); }
    void on_tick(instant now);
    /// Sets the number of nodes that divide the fallback budget.
    void set_nodes(std::size_t nodes);
    /// Executes the budgets' pending actions.
    /// @returns true when there were any
    bool pump(instant now);

    resource_id const& store() const noexcept { return store_; }

private:
    void deliver(
        store_budget& budget, node_id const& from, load_message const& message,
        instant now);
    bool pump(store_budget& from);

    resource_id store_;
    store_limits limits_;
    node_services& services_;
    node_outbox& outbox_;
    std::size_t nodes_ = 1;
};

} // namespace camphorpoint
