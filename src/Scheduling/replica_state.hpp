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

/// State that the managers of one replica's scheduler share.
struct replica_state {
    explicit replica_state(scheduler_settings const& initial_settings)
        : settings(initial_settings)
        , history(initial_settings)
        , times(initial_settings) {}

    /// Must be checked immediately before each command, since an owner that was
    /// paused beyond the end of its authority does not notice by itself.
    /// @returns true while commands may be sent
    bool may_command(instant now) const { return owned && now < not_after; }
    /// @returns true while grants may be issued
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
    /// From this time on no grant of a former owner can be used any more, so a
    /// report that was measured later shows all running requests.
    instant grants_known_from;
};

} // namespace camphorpoint::internal
