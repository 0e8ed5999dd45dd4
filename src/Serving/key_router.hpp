#pragma once

#include "Ownership/ownership_action.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"

#include <vector>

namespace camphorpoint {

/// Passes messages about idempotency keys between entry nodes and the owners of
/// key shards. This node may be both.
class key_router {
public:
    key_router(node_services& services, node_outbox& outbox)
        : services_(services)
        , outbox_(outbox) {}

    void on_message(
        node_id const& from, key_permission_request const& request,
        clock_reading const& clock);
    void on_message(
        node_id const& from, key_reply const& reply,
        clock_reading const& clock);
    void on_message(
        node_id const& from, key_completion const& end,
        clock_reading const& clock);
    void on_message(
        node_id const& from, key_completion_ack const& noted,
        clock_reading const& clock);
    void on_message(
        node_id const& from, key_heartbeat const& heartbeat,
        clock_reading const& clock);
    void on_message(
        node_id const& from, key_handover const& part,
        clock_reading const& clock);

    void gained(ownership_gained const& claim, clock_reading const& clock);
    void lost(resource_id const& shard);
    /// Closes the shard and sends its table to the successor.
    void hand_over(resource_id const& shard, node_id const& successor);
    /// Updates the entry side's owner of each shard after a possible change.
    void refresh_owners();
    void on_tick(clock_reading const& clock);
    /// Executes the pending actions of both sides.
    /// @returns decisions to pass to the request tracker
    std::vector<key_decision> pump();

private:
    instant authority_until(key_shard shard, instant now) const;

    node_services& services_;
    node_outbox& outbox_;
};

} // namespace camphorpoint
