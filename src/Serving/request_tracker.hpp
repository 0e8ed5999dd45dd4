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

/// State machine of each request at its entry node, from its submission to its
/// outcome:
///
///   admitted -> [awaiting_key] -> awaiting_grant -> sent -> streaming -> ended
///                                     ^             |          |
///                                     +-------------+----------+ retry, resume
///
/// Only this class decides whether a request is cancelled or dispatched, one
/// event at a time. A timeout that comes first ends the phase `awaiting_grant`,
/// so a later grant starts nothing. A grant that comes first makes the outcome
/// `unknown` or `done`, so a later timeout cannot report `not_run`.
///
/// docs/design/requests.md explains the rules; docs/operating/requests.md
/// describes them for operators.
/// @tparam Environment the services that requests use
template <request_environment Environment>
class request_tracker {
public:
    /// @param settings    limits and timeouts
    /// @param environment services that requests use; must outlive the tracker
    request_tracker(request_settings settings, Environment& environment)
        : settings_(settings)
        , environment_(environment) {}

    /// Handles a new request.
    void on_request(caller_request const& submitted, instant now);
    /// Handles a caller's request to resume a truncated stream.
    void on_resume(caller_resume const& submitted, instant now);
    /// Handles the disconnection of a caller.
    void on_caller_disconnected(request_id const& id, instant now);
    /// Handles the decision about a request's key.
    void on_key_decision(key_decision const& decision, instant now);
    /// Handles a reply of a replica's owner.
    /// @param from the node that sent it
    void on_grant(node_id const& from, grant_issued const& issued, instant now);
    void
    on_refusal(node_id const& from, grant_refused const& refused, instant now);
    /// Handles a dispatch by the limits of a plain service.
    /// @returns false when the request no longer waits for it; nothing was sent
    /// then
    bool on_dispatch(
        service_dispatch const& dispatch, std::string const& address,
        instant now);
    /// Handles a refusal by the limits of a plain service.
    void on_service_refusal(service_refusal const& refusal, instant now);
    /// Handles an owner that is gone, or that may not have received the
    /// messages sent to it. Its waiting requests are sent to another replica;
    /// running ones continue.
    void on_owner_unreachable(endpoint_id const& replica, instant now);
    /// Handles the start or progress of an answer.
    void on_progress(attempt_progress const& progress, instant now);
    /// Handles the end of an attempt.
    void on_attempt_ended(attempt_ended const& end, instant now);
    /// Handles expired timers.
    void on_tick(instant now);

    /// @returns all requests that run or wait on replicas, for heartbeats
    std::vector<grant_in_use> grants_in_use() const;
    /// @returns the replicas whose owners have requests of this node waiting
    std::set<endpoint_id> awaited_replicas() const;
    /// @returns number of requests that wait for a key or a grant
    std::size_t waiting() const;
    /// @returns number of requests at this node, including those that are
    /// closing
    std::size_t size() const noexcept { return live_.size(); }
    /// @returns the request, or null when it has ended
    live_request const* find(request_id const& id) const;

private:
    // request_tracker_routing.hpp: from the submission to the start of an
    // attempt.
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
    // request_tracker_attempts.hpp: from the start of an attempt to its end.
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
    // request_tracker_completion.hpp: the outcome and the cleanup.
    void on_timer(live_request& request, instant now);
    void stop_attempt(live_request& request, instant now);
    void finish(
        live_request& request, outcome how, reason why,
        std::chrono::milliseconds retry_after, instant now,
        std::string const& answer = {}, std::string const& kept = {});
    void
    log_unknown_outcome(live_request const& request, reason why, instant now);
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
