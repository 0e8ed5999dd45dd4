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

/// Whether a request may enter, and under which profile.
struct admission {
    /// none admits it.
    reason why = reason::none;
    profile target_profile;
    /// The configuration that the profile was read from.
    log_offset configuration;
    /// When a refused caller should come back.
    std::chrono::milliseconds retry_after{};
};

/// Where a request goes next.
struct route {
    /// Empty when there is nowhere left.
    endpoint_id endpoint;
    std::string address;
    /// False for a plain service, and for a replica whose owner is out of
    /// reach but which may be used all the same.
    bool needs_grant = true;
    /// Why there is nowhere left.
    reason why = reason::none;
    /// When a caller should come back then.
    std::chrono::milliseconds retry_after{};
};

/// What an entry node tells a replica's owner.
using owner_message =
    std::variant<grant_request, grant_cancelled, grant_released>;

/// What a request's life needs of the rest of the node. node_core gives it the
/// real services, a test gives it a script. None of these may call the tracker
/// back: an answer that is there at once is brought as an event of its own.
template <class Environment>
concept request_environment = requires(
    Environment& environment, profile_name const& name,
    live_request const& request, endpoint_id const& endpoint,
    owner_message const& message, attempt_ended const& end,
    request_id const& id, outcome how, reason why, std::string const& answer,
    node_action const& action, instant now) {
    /// Resolves a profile, or says why no request is taken.
    { environment.admit(name, now) } -> std::same_as<admission>;
    /// Chooses an endpoint that is not among request.tried.
    { environment.choose(request, now) } -> std::same_as<route>;
    /// Where an endpoint is; empty when it is not known.
    { environment.address_of(endpoint) } -> std::same_as<std::string>;
    /// Takes one repeat of a request from its retry budgets.
    { environment.try_consume_retry(request, now) } -> std::same_as<bool>;
    /// Sends to the replica's owner; false when it is known to be out of reach.
    { environment.send_to_owner(endpoint, message, now) } -> std::same_as<bool>;
    /// Asks for leave to run a request under its key.
    environment.request_key(request, now);
    /// The request will not run, whatever leave still comes.
    environment.cancel_key_request(id, now);
    /// A request that got leave has ended.
    environment.on_keyed_request_ended(id, how, why, answer, now);
    /// An attempt has ended: for limits, retry budgets and placement.
    /// True when other nodes count the end under the request's content, and may
    /// say that it is held.
    { environment.record_attempt_end(request, end, now) } -> std::same_as<bool>;
    /// For how long the request's content is not run; nothing when it may run.
    {
        environment.quarantined_for(request, now)
        } -> std::same_as<std::optional<duration>>;
    /// Hands a plain service's request to the service's limits; a dispatch or
    /// a refusal follows as an event.
    environment.submit_service(request, now);
    /// Takes it back; it was not dispatched.
    environment.cancel_service_request(request);
    environment.act(action);
};

} // namespace camphorpoint
