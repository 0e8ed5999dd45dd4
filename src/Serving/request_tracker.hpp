#pragma once

#include "Keys/key_action.hpp"
#include "Limits/service_messages.hpp"
#include "Serving/live_request.hpp"
#include "Serving/request_environment.hpp"
#include "Serving/request_timers.hpp"
#include "Serving/serving_settings.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorpoint {

/// The life of each request at its entry node, from the caller's post to the
/// outcome, as one state machine:
///
///   admitted -> [awaiting_key] -> asking -> sent -> streaming -> ended
///                                 ^        |         |
///                                 +--------+---------+  (repeat, resume)
///
/// Whether a request is withdrawn or dispatched is decided here alone, on one
/// event at a time: a timeout that comes first turns the phase away from
/// `asking`, so that a grant which comes later finds nothing to start; and a
/// grant that comes first makes the outcome `unknown` or `done`, so that the
/// timeout can no longer say `not run`.
///
/// docs/design/requests.md weighs the rules; docs/operating/requests.md says
/// what an operator sees.
/// @tparam Environment the services that the request needs
template <request_environment Environment>
class request_tracker {
public:
    /// @param settings    bounds and times
    /// @param environment what requests need; outlives the tracker
    request_tracker(request_settings settings, Environment& environment)
        : settings_(settings)
        , environment_(environment) {}

    /// A caller asks for work.
    void on_request(caller_request const& submitted, instant now);
    /// A caller asks for the rest of a stream that was cut.
    void on_resume(caller_resume const& submitted, instant now);
    /// The caller closed its connection.
    void on_caller_disconnected(request_id const& id, instant now);
    /// The decision about the request's key has come.
    void on_key_decision(key_decision const& decision, instant now);
    /// An owner's word.
    /// @param from the node that sent it
    void on_grant(node_id const& from, grant_issued const& issued, instant now);
    void
    on_refusal(node_id const& from, grant_refused const& refused, instant now);
    /// The limits of a plain service let a request go.
    /// @returns false when it is no longer waited for: nothing was sent
    bool on_dispatch(
        service_dispatch const& dispatch, std::string const& address,
        instant now);
    /// The limits of a plain service refused a request.
    void on_service_refusal(service_refusal const& refusal, instant now);
    /// What was sent to the replica's owner may not have arrived, or the owner
    /// is gone: its unsent requests go elsewhere, running ones go on.
    void on_owner_unreachable(endpoint_id const& replica, instant now);
    /// An answer has begun or goes on.
    void on_progress(attempt_progress const& progress, instant now);
    /// An attempt has ended.
    void on_attempt_ended(attempt_ended const& end, instant now);
    /// Time has passed.
    void on_tick(instant now);

    /// @returns all that runs or waits on replicas, for the heartbeats
    std::vector<grant_in_use> grants_in_use() const;
    /// @returns the replicas at whose owners requests wait, each once
    std::set<endpoint_id> awaited_replicas() const;
    /// @returns requests that wait for a key or a grant
    std::size_t waiting() const;
    /// @returns requests at this node, the closing ones included
    std::size_t size() const noexcept { return live_.size(); }
    /// @returns the request, or null when it has ended
    live_request const* find(request_id const& id) const;

private:
    // request_tracker_routing.hpp: to a grant, and to the start.
    void refuse(
        caller_request const& submitted, reason why,
        std::chrono::milliseconds retry_after);
    reason validate(caller_request const& submitted) const;
    void route_request(live_request& request, instant now);
    bool request_grant(live_request& request, instant now);
    void start(live_request& request, instant send_before);
    void finish_unroutable(
        live_request& request, reason why,
        std::chrono::milliseconds retry_after, instant now);
    void
    finish_quarantined(live_request& request, duration remaining, instant now);
    void cancel_grant_request(live_request& request, instant now);
    void return_grant(live_request& request, instant now);
    live_request* find_awaiting_grant(
        request_id const& id, std::uint32_t attempt,
        endpoint_id const& replica);
    // request_tracker_attempts.hpp: from the start to the end.
    void handle_completion(
        live_request& request, attempt_ended const& end, instant now);
    void handle_not_run(
        live_request& request, attempt_ended const& end, instant now);
    void handle_failure(
        live_request& request, attempt_ended const& end, bool reported_to_peers,
        instant now);
    bool schedule_resume(live_request& request, instant now);
    void resume(live_request& request);
    void retry_or_finish(
        live_request& request, attempt_ended const& end, bool reported_to_peers,
        instant now);
    bool may_retry(live_request const& request, attempt_ended const& end) const;
    void release(live_request& request, bool adapter_was_loaded, instant now);
    // request_tracker_ending.hpp: the final answer and what it leaves.
    void on_timer(live_request& request, instant now);
    void stop_attempt(live_request& request, instant now);
    void finish(
        live_request& request, outcome how, reason why,
        std::chrono::milliseconds retry_after, instant now,
        std::string const& answer = {}, std::string const& kept = {});
    void erase_request(live_request& request);

    void
    set_phase(live_request& request, request_phase phase, instant timer_at);
    void count(count_reason::kind what, reason why);
    live_request* find_live(request_id const& id);

    request_settings settings_;
    Environment& environment_;
    std::map<request_id, live_request> live_;
    request_timers timers_;
};

} // namespace camphorpoint

#include "Serving/request_tracker_attempts.hpp"
#include "Serving/request_tracker_completion.hpp"
#include "Serving/request_tracker_routing.hpp"
