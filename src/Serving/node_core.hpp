#pragma once

#include "Serving/config_router.hpp"
#include "Serving/grant_router.hpp"
#include "Serving/heartbeat_sender.hpp"
#include "Serving/key_router.hpp"
#include "Serving/load_router.hpp"
#include "Serving/node_action.hpp"
#include "Serving/node_event.hpp"
#include "Serving/node_outbox.hpp"
#include "Serving/node_services.hpp"
#include "Serving/node_status.hpp"
#include "Serving/ownership_router.hpp"
#include "Serving/quarantine_router.hpp"
#include "Serving/request_services.hpp"
#include "Serving/request_tracker.hpp"
#include "Serving/serving_settings.hpp"

#include <cstdint>
#include <vector>

namespace camphorpoint {

/// All decisions of one node: the input is an event and the time, the output is
/// a list of typed actions. The class reads no clock, starts no thread and does
/// no input or output, so the same object runs in the node, in golden sessions
/// and under the fuzzer. It only dispatches; the services decide.
class node_core {
public:
    /// @param settings settings of this node and its process
    explicit node_core(serving_settings settings);
    // The members hold references to each other.
    node_core(node_core const&) = delete;
    node_core& operator=(node_core const&) = delete;

    /// Handles one event.
    /// @param event the event
    /// @param now   the monotonic clock, read after the calendar clock
    /// @param wall  the calendar clock
    /// @param out   the resulting actions are appended here, in order
    void handle(
        node_event const& event, instant now, wall_time wall,
        std::vector<node_action>& out);

    /// @returns a snapshot of the node for operators
    node_status status(instant now) const;
    /// @returns the configuration in force on this node
    configuration const& in_force() const noexcept {
        return services_.follower.current();
    }
    /// @returns why the node accepts no requests, or none when it accepts them
    reason not_ready(instant now) const;

private:
    void on(caller_request const& event);
    void on(caller_resume const& event);
    void on(caller_disconnected const& event);
    void on(attempt_progress const& event);
    void on(attempt_ended const& event);
    void on(log_batch const& event);
    void on(log_read_failed const& event);
    void on(log_append_ended const& event);
    void on(instance_list const& event);
    void on(engine_report const& event);
    void on(command_ended const& event);
    void on(peer_received const& event);
    void on(peer_unreachable const& event);
    void on(publish_request const& event);
    void on(tick const& event);
    void on(drain_started const& event);
    void on(probe_received const& event);

    void
    dispatch_peer_message(node_id const& from, peer_message const& message);
    void run_pending_work();
    void pump_members();
    void pump_requests();
    bool pump_plain_services();
    void refresh_members();
    void reroute_from_unreachable_owners();
    void refresh_placement();
    void refresh_plain_services();
    void log_readiness();
    void finish_drain();

    serving_settings settings_;
    node_services services_;
    node_outbox outbox_;
    load_router loads_;
    grant_router grants_;
    key_router keys_;
    ownership_router ownership_;
    config_router config_;
    quarantine_router quarantine_;
    request_services environment_;
    request_tracker<request_services> requests_;
    heartbeat_sender heartbeats_;
    clock_reading clock_;
    std::uint64_t seen_membership_changes_ = 0;
    bool ready_ = false;
    bool drained_ = false;
};

} // namespace camphorpoint
