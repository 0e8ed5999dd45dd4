#pragma once

#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"
#include "Serving/serving_settings.hpp"

#include <variant>

namespace camphorpoint {

/// What a replica's owner tells the weight store's owner.
using load_message = std::variant<load_request, load_cancelled, load_result>;

/// Carries wants and permissions to load between replicas' owners and the
/// weight store's owner, which may both be this node.
class load_router {
public:
    load_router(
        serving_settings const& settings, node_services& services,
        node_outbox& outbox)
        : store_(store_resource(settings.store))
        , limits_(settings.loading)
        , services_(services)
        , outbox_(outbox) {}

    /// A replica here wants a load, no longer wants it, or has ended one.
    void send_to_store_owner(load_message const& message, instant now);
    /// A replica's owner told this node, which owns the store or did so.
    void
    on_message(node_id const& from, load_message const& message, instant now);
    /// This node no longer owns the store.
    void lost(instant now) { services_.cluster_budget.on_authority_lost(now); }
    void on_tick(instant now);
    /// How many nodes share the store changed.
    void set_nodes(std::size_t nodes);
    /// Carries out what the budgets decided.
    /// @returns true when there was anything
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
