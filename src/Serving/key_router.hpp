#pragma once

#include "Ownership/ownership_action.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"

#include <vector>

namespace camphorpoint {

/// Carries idempotency keys' messages between entry nodes and shards' owners,
/// which may be this node.
class key_router {
public:
    key_router(node_services& services, node_outbox& outbox)
        : services_(services)
        , outbox_(outbox) {}

    void on_message(
        node_id const& from, key_permission_request const& ask,
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
    /// Closes the shard and sends its table.
    void hand_over(resource_id const& shard, node_id const& successor);
    /// Owners may have changed: tells the entry side who owns each shard.
    void refresh_owners();
    void on_tick(clock_reading const& clock);
    /// Carries out what was decided.
    /// @returns what the request tracker must be told
    std::vector<key_decision> pump();

private:
    instant authority_until(key_shard shard, instant now) const;

    node_services& services_;
    node_outbox& outbox_;
};

} // namespace camphorpoint
