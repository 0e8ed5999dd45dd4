#include "Load/deployment.hpp"

#include <fmt/format.h>

#include <cassert>

namespace camphorpoint {

namespace {

using std::chrono::milliseconds;

constexpr auto engine = endpoint_kind::engine;
constexpr auto service = endpoint_kind::service;

deployment inventarwerk() {
    return {
        "inventarwerk",
        "base-7b",
        "inventory-app",
        {{"licence-match", 0.30, engine, urgency::immediate, true,
          milliseconds(10'000), 8, 24},
         {"device-summary", 0.35, engine, urgency::normal, true,
          milliseconds(30'000), 24, 64},
         {"audit-note", 0.10, engine, urgency::normal, false,
          milliseconds(30'000), 16, 48},
         {"scan-lookup", 0.20, service, urgency::immediate, true,
          milliseconds(5'000), 0, 0},
         {"booking", 0.05, service, urgency::high, false, milliseconds(10'000),
          0, 0}}};
}

deployment anthokipos() {
    return {
        "anthokipos",
        "base-8b",
        "portal",
        {{"buyer-summary", 0.35, engine, urgency::immediate, true,
          milliseconds(10'000), 12, 32},
         {"lot-description", 0.35, engine, urgency::high, true,
          milliseconds(30'000), 24, 64},
         {"settlement-note", 0.05, engine, urgency::normal, false,
          milliseconds(30'000), 16, 32},
         {"lot-status", 0.17, service, urgency::immediate, true,
          milliseconds(5'000), 0, 0},
         {"bid-receipt", 0.08, service, urgency::high, false,
          milliseconds(10'000), 0, 0}}};
}

profile profile_of(task_kind const& task, std::string name) {
    profile result;
    result.name = profile_name(std::move(name));
    result.kind = task.kind;
    result.how_urgent = task.how_urgent;
    result.idempotent = task.idempotent;
    result.default_deadline = task.deadline;
    return result;
}

} // namespace

std::optional<deployment> find_deployment(std::string_view name) {
    for (deployment& each : std::vector{inventarwerk(), anthokipos()}) {
        if (each.name == name) {
            return each;
        }
    }
    return std::nullopt;
}

std::vector<task_kind> engine_tasks(deployment const& site) {
    std::vector<task_kind> result = site.tasks;
    std::erase_if(result, [](task_kind const& each) {
        return each.kind != endpoint_kind::engine;
    });
    return result;
}

profile make_profile(
    deployment const& site, std::size_t adapter, std::uint32_t version) {
    auto const tasks = engine_tasks(site);
    task_kind const& task = tasks[adapter % tasks.size()];
    profile result =
        profile_of(task, fmt::format("{}-{:05}", task.name, adapter));
    result.model = model_id(site.base_model);
    result.adapter.id = adapter_id(fmt::format("{}-{:05}", site.name, adapter));
    result.adapter.version = version;
    return result;
}

profile make_service_profile(deployment const& site, task_kind const& task) {
    assert(task.kind == endpoint_kind::service && "engines need an adapter");
    profile result = profile_of(task, task.name);
    result.model = model_id(site.service);
    return result;
}

} // namespace camphorpoint
