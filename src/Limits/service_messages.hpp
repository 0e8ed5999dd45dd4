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
    /// Not to be tried again here, such as where the last attempt failed;
    /// empty when any will do.
    endpoint_id avoid_endpoint;
};

/// A replica of a plain service, as the instance list has it.
struct service_endpoint {
    endpoint_id id;
    domain_id domain;
    /// This node's share of the requests that it takes at a time; 0 when not
    /// known.
    std::uint32_t capacity = 0;
    /// A leaving endpoint gets no new work.
    bool leaving = false;
};

/// How a dispatched request ended, as far as the endpoint is concerned.
enum class service_outcome : std::uint8_t {
    completed,
    /// It refused for overload.
    overloaded,
    not_sent,
    failed,
    timed_out,
    /// Cancelled from this side; says nothing of the endpoint.
    cancelled
};

/// Send the request to the endpoint.
struct service_dispatch {
    request_id id;
    endpoint_id endpoint;
    /// How long it was queued.
    duration queued{};
};

/// Tell the caller "not run": the request was never dispatched.
struct service_refusal {
    request_id id;
    reason why = reason::none;
    std::chrono::milliseconds retry_after{};
};

/// All that a service_router can ask for.
using service_action = std::variant<service_dispatch, service_refusal>;

/// Bounds of a service_router.
struct service_settings {
    /// The longest that a request of each urgency class is queued.
    std::array<std::chrono::milliseconds, urgency_count> max_queue_time{
        std::chrono::milliseconds(5), std::chrono::milliseconds(5),
        std::chrono::milliseconds(200), std::chrono::milliseconds(1'000)};
    /// Requests queued at the most, over all classes.
    std::size_t max_queued = 1'024;
    /// Service time that is assumed before any was measured.
    std::chrono::milliseconds initial_service_time{10};
    /// The least that a refused caller is told to wait.
    std::chrono::milliseconds min_retry_after{100};
};

} // namespace camphorpoint
