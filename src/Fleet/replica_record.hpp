#pragma once

#include "Core/ids.hpp"
#include "Routing/routing_configuration.hpp"
#include "Settings/node_settings.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorpoint {

/// When a replica started, by its own clock. Guards against one that starts
/// again under the id that it had: it is empty and counts its orders anew, and
/// who takes it for the earlier one sends requests for adapters that are gone
/// and orders beyond its slots. Two that differ are two, whichever is later:
/// clocks may have been set back.
using incarnation = std::chrono::sys_time<std::chrono::milliseconds>;

/// What a replica says of itself in the platform's list. The list is seconds
/// old.
struct replica_record {
    endpoint_id id;
    /// Nothing when it does not say.
    std::optional<incarnation> started_at;
    service_id service;
    ip_address address;
    domain_id domain;
    unsigned slots = 1;
    /// How often it has written its entry; 0 when it does not say.
    std::uint64_t heartbeat = 0;
    /// It leaves: nothing new may be sent to it.
    bool leaving = false;
    /// Set when it will be gone after this time, whatever it runs.
    std::optional<std::chrono::milliseconds> remaining;
    std::vector<model_id> models;
    /// Adapters are named MODEL/ADAPTER.
    std::vector<adapter_ref> adapters;
};

/// What a replica answers when asked for its state. It is some hundred
/// milliseconds old.
struct replica_report {
    /// Nothing when it does not say.
    std::optional<incarnation> started_at;
    /// How many orders the replica has accepted.
    std::uint64_t sequence = 0;
    /// It carries out an order on a base model.
    bool busy = false;
    unsigned queued = 0;
    unsigned active = 0;
    std::vector<model_id> models;
    std::vector<adapter_ref> adapters;
    /// Adapters on their way to it; they take slots already.
    std::vector<adapter_ref> pending;
};

/// The name under which an adapter of a model is known here.
/// @returns MODEL/ADAPTER
inline adapter_id
full_adapter_name(std::string_view model, std::string_view adapter) {
    std::string name(model);
    name += '/';
    name += adapter;
    return adapter_id(std::move(name));
}

} // namespace camphorpoint
