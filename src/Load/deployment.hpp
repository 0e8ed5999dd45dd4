#pragma once

#include "Config/profile.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpoint {

/// One kind of work of a deployment.
struct task_kind {
    std::string name;
    /// Its share of the requests; the shares of a deployment add up to 1.
    double share = 0;
    endpoint_kind kind = endpoint_kind::engine;
    urgency how_urgent = urgency::normal;
    bool idempotent = true;
    std::chrono::milliseconds deadline{30'000};
    /// Length of the answers in tokens, evenly between the two.
    std::uint32_t least_tokens = 0;
    std::uint32_t most_tokens = 0;
};

/// What one of the users' sites asks for.
struct deployment {
    std::string name;
    std::string base_model;
    /// Name of the plain service.
    std::string service;
    std::vector<task_kind> tasks;
};

/// @param name inventarwerk or anthokipos
/// @returns the deployment, or nothing when the name is not known
std::optional<deployment> find_deployment(std::string_view name);

/// The profile that a request of this task for this adapter names. An adapter
/// belongs to one task: task_of gives its place in the deployment's tasks.
/// @param adapter the adapter's number, from 0
profile make_profile(
    deployment const& site, std::size_t adapter, std::uint32_t version);
/// @returns the profile of a task that a plain service does
profile make_service_profile(deployment const& site, task_kind const& task);
/// @returns the tasks that engines do
std::vector<task_kind> engine_tasks(deployment const& site);

} // namespace camphorpoint
