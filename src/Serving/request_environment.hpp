#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"
#include "Scheduling/grant_messages.hpp"
#include "Serving/live_request.hpp"
#include "Serving/node_action.hpp"
#include "Serving/node_event.hpp"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorpoint {

/// Decision whether a request is admitted, and under which profile.
struct admission {
    /// The reason of a refusal; none when the request is admitted.
    reason why = reason::none;
    profile target_profile;
    /// Offset of the configuration from which the profile was read.
    log_offset configuration;
    /// When a refused caller should retry.
    std::chrono::milliseconds retry_after{};
};

/// Decision where a request is sent next.
struct route {
    /// Empty when no endpoint is available.
    endpoint_id endpoint;
    std::string address;
    /// False for a replica whose owner is unreachable but which may be used
    /// without a grant.
    bool needs_grant = true;
    /// Why no endpoint is available.
    reason why = reason::none;
    /// When the caller should retry in this case.
    std::chrono::milliseconds retry_after{};
};

/// A message from an entry node to the owner of a replica.
using owner_message =
    std::variant<grant_request, grant_cancelled, grant_released>;

/// Services of the node that a request tracker uses. node_core provides the
/// real services, tests provide scripted ones. None of the functions may call
/// the tracker back: even an immediate answer is delivered as a separate event.
template <class Environment>
concept request_environment = requires(
    Environment& environment, profile_name const& name,
    live_request const& request, endpoint_id const& endpoint,
    owner_message const& message, attempt_ended const& end,
    request_id const& id, outcome how, reason why, std::string const& answer,
    node_action const& action, instant now) {
    /// Resolves a profile, or returns why the request is refused.
    { environment.admit(name, now) } -> std::same_as<admission>;
    /// Chooses an endpoint that is not in request.tried.
    { environment.choose(request, now) } -> std::same_as<route>;
    /// Returns the address of an endpoint; empty when it is unknown.
    { environment.address_of(endpoint) } -> std::same_as<std::string>;
    /// Deducts one retry of the request from its retry budgets. Returns false
    /// when a budget is exhausted.
    { environment.try_consume_retry(request, now) } -> std::same_as<bool>;
    /// Sends a message to the replica's owner. Returns false when the owner is
    /// known to be unreachable.
    { environment.send_to_owner(endpoint, message, now) } -> std::same_as<bool>;
    /// Requests permission to run a request under its key.
    environment.request_key(request, now);
    /// Cancels the request for permission. The request will not run, even when
    /// permission still arrives.
    environment.cancel_key_request(id, now);
    /// Reports the outcome of a request that had permission to run under its
    /// key.
    environment.on_keyed_request_ended(id, how, why, answer, now);
    /// Records the end of an attempt for limits, retry budgets, placement and
    /// quarantine. Returns true when other nodes count the crash of the
    /// endpoint and may quarantine the request.
    { environment.record_attempt_end(request, end, now) } -> std::same_as<bool>;
    /// Records that an endpoint has produced the first output of an attempt.
    environment.record_output(request, now);
    /// Returns for how long the request is quarantined; nothing when it may
    /// run.
    {
        environment.quarantined_for(request, now)
        } -> std::same_as<std::optional<duration>>;
    /// Returns false while an endpoint rests or shuts down, by its answers.
    { environment.accepts_requests(endpoint, now) } -> std::same_as<bool>;
    /// Returns the time until an endpoint has rested, zero when it does not
    /// rest.
    { environment.rest_remaining(endpoint, now) } -> std::same_as<duration>;
    /// Submits a request for a plain service to the limits of the service. A
    /// dispatch or refusal follows as an event.
    environment.submit_service(request, now);
    /// Cancels a submitted request that was not dispatched.
    environment.cancel_service_request(request);
    environment.act(action);
};

} // namespace camphorpoint
