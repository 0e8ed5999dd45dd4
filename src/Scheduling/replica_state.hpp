#pragma once

#include "Core/ids.hpp"
#include "Core/time.hpp"
#include "Scheduling/adapter_history.hpp"
#include "Scheduling/grant_table.hpp"
#include "Scheduling/scheduler_action.hpp"
#include "Scheduling/scheduler_settings.hpp"
#include "Scheduling/time_estimates.hpp"
#include "Scheduling/waiting_queue.hpp"

#include <vector>

namespace camphorpoint::internal {

/// What the parts of one replica's scheduler share.
struct replica_state {
    explicit replica_state(scheduler_settings const& initial_settings)
        : settings(initial_settings)
        , history(initial_settings)
        , times(initial_settings) {}

    /// @returns true while orders may be given. Asked right before each order:
    /// an owner that was paused past its deadline still believes in itself.
    bool may_command(instant now) const { return owned && now < not_after; }
    /// @returns true while grants may be given
    bool may_grant(instant now) const {
        return owned && !granting_stopped &&
               (settings.grants_when_lapsed || now < not_after);
    }

    scheduler_settings settings;
    waiting_queue queue;
    grant_table grants;
    adapter_history history;
    time_estimates times;
    std::vector<scheduler_action> actions;
    log_offset fencing;
    instant not_after;
    bool owned = false;
    bool granting_stopped = false;
    /// From this time on no grant of a former owner can still be sent, so that
    /// a report measured later tells all that runs.
    instant grants_known_from;
};

} // namespace camphorpoint::internal
