#pragma once

#include "Serving/grant_router.hpp"
#include "Serving/key_router.hpp"
#include "Serving/load_router.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"

namespace camphorpoint {

/// Connects the ownership service to the control stream, the peers and the
/// services whose resources it assigns.
class ownership_router {
public:
    ownership_router(
        node_services& services, node_outbox& outbox, grant_router& grants,
        key_router& keys, load_router& loads)
        : services_(services)
        , outbox_(outbox)
        , grants_(grants)
        , keys_(keys)
        , loads_(loads) {}

    void on_batch(log_batch const& batch, instant now);
    /// Updates the nodes that may own resources, and the resources to own.
    void refresh_candidates(instant now);
    /// Executes the pending ownership actions.
    /// @returns true when there were any
    bool pump(clock_reading const& clock);

private:
    void carry_out(ownership_action const& action, clock_reading const& clock);
    void gained(ownership_gained const& claim, clock_reading const& clock);
    void lost(ownership_lost const& loss, instant now);
    void hand_over(handover_requested const& wanted, instant now);

    node_services& services_;
    node_outbox& outbox_;
    grant_router& grants_;
    key_router& keys_;
    load_router& loads_;
};

} // namespace camphorpoint
