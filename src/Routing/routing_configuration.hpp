#pragma once

#include "Core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// Names a service: a group of replicas that answer the same requests.
using service_id = strong_string<struct service_id_tag>;

/// What may be repeated on a route.
enum class route_kind : std::uint8_t {
    /// May run more than once.
    safe,
    /// Runs once at most for each request.
    unsafe,
    /// A stream of events; runs once at most unless the route is resumable.
    streaming
};

/// A service's part of a route's requests.
struct weighted_service {
    service_id service;
    double weight = 1;
};

/// Where requests of one host and path prefix go, and what holds for them.
struct service_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::unsafe;
    /// The longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{0};
    /// Within this an answer, or a stream's first event, is on time.
    std::chrono::milliseconds objective{0};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Replicas that one request may be sent to.
    unsigned attempts = 1;
    /// A cut stream may go on at another replica.
    bool resumable = false;
    std::vector<weighted_service> weighted_services;

    /// @returns true when a second run does no harm
    bool idempotent() const noexcept {
        return kind == route_kind::safe ||
               (kind == route_kind::streaming && resumable);
    }
};

/// A base model of an engine.
struct engine_model {
    model_id name;
    std::chrono::milliseconds load_time{0};
};

/// What the replicas of an engine service can hold.
struct engine_definition {
    unsigned adapter_slots = 0;
    /// Loads of base models that the weight store starts in a second.
    double loads_per_second = 1;
    std::vector<engine_model> models;
};

/// A service as declared.
struct service_definition {
    service_id name;
    /// Connections that a replica takes from all nodes together; 0: no limit.
    unsigned max_connections = 0;
    std::optional<engine_definition> engine;
};

/// What one caller may send, and how long it may take.
struct caller_limits {
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 4U << 20U;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One version of all routes and services, in full.
struct routing_configuration {
    std::uint64_t version = 0;
    std::vector<service_route> routes;
    std::vector<service_definition> services;
    caller_limits limits;

    /// @returns the service of the name, or null
    service_definition const*
    find_service(service_id const& name) const noexcept;
};

} // namespace camphorpoint
