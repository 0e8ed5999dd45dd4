#pragma once

#include "Ownership/ownership_action.hpp"
#include "Serving/load_router.hpp"
#include "Serving/node_event.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"
#include "Serving/serving_settings.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace camphorpoint {

/// The owner's side of replicas. Passes grant requests to the schedulers of the
/// owned replicas, and the schedulers' grants, commands and load requests to
/// their recipients. The authority for each grant and command is checked
/// immediately before it leaves the node.
class grant_router {
public:
    grant_router(
        serving_settings const& settings, node_services& services,
        node_outbox& outbox, load_router& loads)
        : settings_(settings)
        , services_(services)
        , outbox_(outbox)
        , loads_(loads) {}

    void
    on_message(node_id const& from, grant_request const& request, instant now);
    void on_message(
        node_id const& from, grant_cancelled const& message, instant now);
    void
    on_message(node_id const& from, grant_released const& message, instant now);
    void on_message(
        node_id const& from, grant_heartbeat const& heartbeat, instant now);
    void
    on_message(node_id const& from, load_allowed const& message, instant now);
    void
    on_message(node_id const& from, load_denied const& message, instant now);
    void on_report(engine_report const& report, instant now);
    void on_command_ended(command_ended const& end, instant now);

    void gained(ownership_gained const& claim, instant now);
    void lost(resource_id const& replica, instant now);
    /// Starts a planned handover: stops granting, and sends the scheduler's
    /// table once no command is open.
    void hand_over(resource_id const& replica, instant now);
    /// Resumes granting after a planned handover was aborted.
    void resume(resource_id const& replica, instant now);
    /// Stops granting on replicas that have started to leave or are gone.
    void refresh_endpoints(instant now);
    /// Passes changed adapter versions of the configuration to the schedulers.
    void refresh_versions(instant now);
    void on_tick(instant now);
    /// Executes the schedulers' pending actions.
    /// @returns true when there were any
    bool pump(instant now);

private:
    using scheduler = replica_scheduler<>;

    scheduler* find(endpoint_id const& replica);
    void
    renew_authority(endpoint_id const& replica, scheduler& which, instant now);
    void carry_out(
        endpoint_id const& replica, scheduler_action const& action,
        instant now);
    void send_grant(
        endpoint_id const& replica, reply_grant const& reply, instant now);
    void send_command(
        endpoint_id const& replica, engine_order const& command, instant now);
    void finish_handovers(instant now);
    bool has_open_command(endpoint_id const& replica) const;

    serving_settings const& settings_;
    node_services& services_;
    node_outbox& outbox_;
    load_router& loads_;
    /// Open commands as their schedulers know them, by the node-wide number
    /// under which each was sent.
    std::map<std::uint64_t, engine_order> commands_;
    std::uint64_t last_command_ = 0;
    std::set<endpoint_id> handing_over_;
    std::map<profile_name, adapter_ref> versions_;
    log_offset versions_at_;
};

} // namespace camphorpoint
