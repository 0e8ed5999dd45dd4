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

/// Start time of a replica's process, by its own clock. Guards against a
/// replica that restarts under its former id: it has no adapters and counts its
/// commands from zero again. A node that takes it for the earlier process sends
/// it requests for adapters that are gone, and commands that exceed its slots.
/// Any difference means another process, whichever start time is later, since
/// clocks may have been set back.
using incarnation = std::chrono::sys_time<std::chrono::milliseconds>;

/// A replica's entry in the platform's replica registry, which is seconds old.
struct replica_record {
    endpoint_id id;
    /// Absent when the entry does not contain it.
    std::optional<incarnation> started_at;
    service_id service;
    ip_address address;
    domain_id domain;
    /// Empty when the entry does not contain it.
    software_version software;
    unsigned slots = 1;
    /// How often the replica has written its entry; 0 when it does not say.
    std::uint64_t heartbeat = 0;
    /// The replica is shutting down: no new requests may be sent to it.
    bool leaving = false;
    /// Set when the replica shuts down after this time, whatever it is still
    /// running.
    std::optional<std::chrono::milliseconds> remaining;
    std::vector<model_id> models;
    /// Adapters are named MODEL/ADAPTER.
    std::vector<adapter_ref> adapters;
};

/// A replica's answer to a request for its state. It is some hundred
/// milliseconds old.
struct replica_report {
    /// Absent when the report does not contain it.
    std::optional<incarnation> started_at;
    /// How many commands the replica has accepted.
    std::uint64_t sequence = 0;
    /// The replica is carrying out a command on a base model.
    bool busy = false;
    unsigned queued = 0;
    unsigned active = 0;
    std::vector<model_id> models;
    std::vector<adapter_ref> adapters;
    /// Adapters that are being loaded; they already take slots.
    std::vector<adapter_ref> pending;
};

/// Builds the name under which the nodes know an adapter of a model.
/// @returns MODEL/ADAPTER
inline adapter_id
full_adapter_name(std::string_view model, std::string_view adapter) {
    std::string name(model);
    name += '/';
    name += adapter;
    return adapter_id(std::move(name));
}

} // namespace camphorpoint
