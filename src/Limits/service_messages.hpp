#pragma once

#include "Config/profile.hpp"
#include "Core/ids.hpp"
#include "Core/outcome.hpp"
#include "Core/time.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <variant>

namespace camphorpoint {

/// A request for a plain service.
struct service_request {
    request_id id;
    urgency how_urgent = urgency::normal;
    instant deadline;
    /// Endpoint to avoid if another one is available, such as the one that the
    /// last attempt failed on; empty when there is none.
    endpoint_id avoid_endpoint;
};

/// A replica of a plain service, as the platform's list of instances has it.
struct service_endpoint {
    endpoint_id id;
    domain_id domain;
    /// This node's quota share of the replica's capacity, in concurrent
    /// requests; 0 when not known.
    std::uint32_t capacity = 0;
    /// True while the replica shuts down: it gets no new requests.
    bool leaving = false;
};

/// Outcome of a dispatched request, from the view of the endpoint's limits and
/// health.
enum class service_outcome : std::uint8_t {
    completed,
    /// The endpoint refused the request for overload.
    overloaded,
    not_sent,
    failed,
    timed_out,
    /// Cancelled by this node; does not show the endpoint's health.
    cancelled
};

/// Action: send the request to the endpoint.
struct service_dispatch {
    request_id id;
    endpoint_id endpoint;
    /// How long the request was queued.
    duration queued{};
};

/// Action: answer the caller with "not run". The request was never dispatched.
struct service_refusal {
    request_id id;
    reason why = reason::none;
    std::chrono::milliseconds retry_after{};
};

/// Every action that a service_router can request.
using service_action = std::variant<service_dispatch, service_refusal>;

/// Queue bounds and time estimates of a service_router.
struct service_settings {
    /// Longest time that a request is queued, by urgency class, most urgent
    /// first.
    std::array<std::chrono::milliseconds, urgency_count> max_queue_time{
        std::chrono::milliseconds(5), std::chrono::milliseconds(5),
        std::chrono::milliseconds(200), std::chrono::milliseconds(1'000)};
    /// Most requests in the queue, over all classes.
    std::size_t max_queued = 1'024;
    /// Service time that is assumed until one has been measured.
    std::chrono::milliseconds initial_service_time{10};
    /// Shortest time after which a refused caller is asked to retry.
    std::chrono::milliseconds min_retry_after{100};
};

} // namespace camphorpoint
