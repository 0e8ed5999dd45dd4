#pragma once

#include "Core/ids.hpp"
#include "Teams/team_definition.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// Name of a service: a group of replicas that answer the same requests.
using service_id = strong_string<struct service_id_tag>;

/// Whether requests of a route may be repeated.
enum class route_kind : std::uint8_t {
    /// A request may run more than once.
    safe,
    /// A request runs at most once.
    unsafe,
    /// A stream of events; a request runs at most once unless the route is
    /// resumable.
    streaming
};

/// A service of a route with the weight by which it gets the route's requests.
struct weighted_service {
    service_id service;
    double weight = 1;
};

/// Where requests with a given host and path prefix are sent, and the rules
/// that apply to them.
struct service_route {
    std::string name;
    std::string host;
    /// Starts and ends with a slash.
    std::string path_prefix;
    route_kind kind = route_kind::unsafe;
    /// The longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{0};
    /// An answer, or the first event of a stream, is on time within this.
    std::chrono::milliseconds objective{0};
    /// Longest pause between two events of a stream that is on time; zero when
    /// the operator names none.
    std::chrono::milliseconds accepted_gap{0};
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Number of replicas to which one request may be sent.
    unsigned attempts = 1;
    /// An interrupted stream may continue at another replica.
    bool resumable = false;
    /// Requests need no API key.
    bool allows_anonymous = false;
    std::vector<weighted_service> weighted_services;

    /// @returns true when running a request a second time does no harm
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

/// What the replicas of an engine service can have loaded.
struct engine_definition {
    unsigned adapter_slots = 0;
    /// Loads of base models that the weight store can start per second.
    double loads_per_second = 1;
    std::vector<engine_model> models;
};

/// A service as the operator declares it.
struct service_definition {
    service_id name;
    /// Connections that a replica accepts from all nodes together; 0 for no
    /// limit.
    unsigned max_connections = 0;
    std::optional<engine_definition> engine;
};

/// Limits on what one caller may send and how long sending may take.
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
    /// Nothing when callers need no API keys.
    std::optional<std::vector<team_definition>> teams;

    /// @returns the service with this name, or null
    service_definition const*
    find_service(service_id const& name) const noexcept;
};

} // namespace camphorpoint
